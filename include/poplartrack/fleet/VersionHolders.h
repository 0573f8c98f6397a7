#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <vector>

#include "poplartrack/base/Address.h"

namespace poplartrack {

/** The relays that are known to have the newest reported version of something,
 * so that a relay that lacks it can ask one of them. Thread-safe. */
class VersionHolders
{
public:
  /** Records that a relay has a version. Reports of older versions are ignored;
   * a newer one replaces all that were reported before. */
  void report(std::uint64_t aVersion, const Address& aRelay)
  {
    const std::scoped_lock lock{ this->guard };
    if (aVersion > this->version) {
      this->version = aVersion;
      this->holders.clear();
    }
    const bool isNew =
      aVersion == this->version && this->holders.size() < kMaxHolders &&
      std::find(this->holders.begin(), this->holders.end(), aRelay) ==
        this->holders.end();
    if (isNew) {
      this->holders.push_back(aRelay);
    }
  }

  /** Returns the relays that have the newest reported version, if it is newer
   * than aKnown. */
  [[nodiscard]] std::vector<Address> newerThan(std::uint64_t aKnown) const
  {
    const std::scoped_lock lock{ this->guard };
    return this->version > aKnown ? this->holders : std::vector<Address>{};
  }

  /** Forgets a relay that did not answer. */
  void forget(const Address& aRelay)
  {
    const std::scoped_lock lock{ this->guard };
    std::erase(this->holders, aRelay);
  }

private:
  /** Enough that the relays of a zone that ask at the same time spread. */
  static constexpr std::size_t kMaxHolders = 8;

  mutable std::mutex guard;
  std::uint64_t version = 0;
  std::vector<Address> holders;
};

} // namespace poplartrack
