#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "poplartrack/relay/RelaySettings.h"
#include "poplartrack/relay/RelayShared.h"
#include "poplartrack/store/PlatformLike.h"

namespace poplartrack {

/** The list of a region's relays, as rows of the store: each writes where it
 * takes datagrams, and reads where the others do. One thread calls. */
template<PlatformLike Store>
class RelayDirectory
{
public:
  RelayDirectory(const RelaySettings& aSettings,
                 RelayShared& aShared,
                 Store& aStore)
    : settings(aSettings)
    , shared(aShared)
    , store(aStore)
  {
  }

  /** Writes the own row, if it is not there yet, and reads the others' when
   * that is due. */
  void refresh(TimePoint aNow)
  {
    if (aNow < this->nextTry) {
      return;
    }
    if (!this->joined) {
      this->join();
    }
    const Duration pause = this->shared.polls ? kReadPause : kReadPauseOthers;
    if (!this->listed || aNow - this->readAt >= pause) {
      this->read(aNow);
    }
    const bool done =
      this->joined && this->listed && aNow - this->readAt < pause;
    this->nextTry = done ? aNow : aNow + kRetryPause;
  }

private:
  /** The list is read again this often: a relay that joins is heard by the
   * others from its own words, and hears them after this long at most. */
  static constexpr Duration kReadPause = std::chrono::seconds{ 20 };
  /** ... and by those that do not look at the store for others: they are told
   * of what they miss by the words of those that do. */
  static constexpr Duration kReadPauseOthers = std::chrono::seconds{ 60 };
  /** Pause after a call that failed. Tried in every round of duties, four times
   * a second, the list was most of what relays asked of a store that was away:
   * up to 770 calls in 8 s, 24 relays. */
  static constexpr Duration kRetryPause = std::chrono::milliseconds{ 1'500 };
  static constexpr const char* kTable = "relays";
  /** Most relays of one region. Those left out would not hear each other, and
   * each would take the retry budget's slack for its own. */
  static constexpr std::size_t kMost = 1'000;

  void join();
  void read(TimePoint aNow);

  const RelaySettings& settings;
  RelayShared& shared;
  Store& store;
  bool joined = false;
  bool listed = false;
  TimePoint readAt{};
  TimePoint nextTry{};
};

template<PlatformLike Store>
void
RelayDirectory<Store>::join()
{
  const std::string key = this->settings.region + "/" + this->settings.name;
  const std::string own = toText(this->settings.peers);
  // A fleet that starts anew has no rows: written at once, each relay's first
  // calls are one fewer.
  this->joined =
    this->store.transact({ TableWrite{ kTable, key, 0, own } }).ok();
  if (this->joined) {
    return;
  }
  const Result<std::optional<TableRow>> row = this->store.readRow(kTable, key);
  if (!row) {
    return;
  }
  if (row.value() && row.value()->value == own) {
    this->joined = true;
    return;
  }
  const std::uint64_t expect = row.value() ? row.value()->version : 0;
  this->joined =
    this->store.transact({ TableWrite{ kTable, key, expect, own } }).ok();
}

template<PlatformLike Store>
void
RelayDirectory<Store>::read(TimePoint aNow)
{
  const Result<std::vector<TableRow>> rows =
    this->store.scanRows(kTable, this->settings.region + "/", {}, kMost);
  if (!rows) {
    return;
  }
  this->listed = true;
  this->readAt = aNow;
  std::vector<Address> peers;
  for (const TableRow& row : rows.value()) {
    const Result<Address> address = addressFromText(row.value);
    if (address && address.value() != this->settings.peers) {
      peers.push_back(address.value());
    }
  }
  if (*this->shared.peers.read() != peers) {
    this->shared.log.write(LogLine{ LogPart::Peers, "listed" }.with(
      "relays", static_cast<std::int64_t>(peers.size())));
    this->shared.peers.replace(
      std::make_shared<const std::vector<Address>>(std::move(peers)));
  }
}

} // namespace poplartrack
