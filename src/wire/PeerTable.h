#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <unordered_map>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"

namespace poplartrack {

/**
 * The connection to each peer, and when a failed connect may be retried.
 *
 * When a zone is available again, hundreds of processes would connect to each
 * of its instances at the same time. The backoff after a failed connect has a
 * random part as long as its fixed part, which spreads them.
 */
class PeerTable
{
public:
  PeerTable(Duration aBackoff, std::uint64_t aSeed)
    : backoff(aBackoff)
    , random(aSeed)
  {
  }

  /** Returns the connection for new calls to a peer; 0 if there is none. */
  [[nodiscard]] std::uint64_t connectionTo(const Address& aPeer) const;
  /** Returns whether a connect may be tried. */
  [[nodiscard]] bool mayConnect(const Address& aPeer, TimePoint aNow) const;
  /** Sets the connection for new calls to the peer. */
  void connected(const Address& aPeer,
                 std::uint64_t aConnection,
                 TimePoint aNow);
  /** Removes a connection that has ended, unless a later one replaced it. */
  void lost(const Address& aPeer, std::uint64_t aConnection);
  /** Handles a failed connect to the peer. */
  void failed(const Address& aPeer, TimePoint aNow);
  /** Number of known peers. */
  [[nodiscard]] std::size_t size() const { return this->peers.size(); }

private:
  struct Peer
  {
    std::uint64_t connection = 0;
    /** No connect before this. */
    TimePoint retryAt{};
  };
  struct AddressHash
  {
    std::size_t operator()(const Address& aAddress) const noexcept
    {
      constexpr std::size_t kSpread = 0x9E3779B97F4A7C15ULL;
      return std::hash<std::string>{}(aAddress.host) ^ aAddress.port * kSpread;
    }
  };

  void forgetIdle(TimePoint aNow);

  Duration backoff;
  std::mt19937_64 random;
  std::unordered_map<Address, Peer, AddressHash> peers;
};

} // namespace poplartrack
