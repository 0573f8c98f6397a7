#include "PeerTable.h"

namespace poplartrack {
namespace {

/** Number of peers above which unneeded ones are forgotten. */
constexpr std::size_t kPeersBeforeSweep = 1024;

} // namespace

std::uint64_t
PeerTable::connectionTo(const Address& aPeer) const
{
  const auto found = this->peers.find(aPeer);
  return found == this->peers.end() ? 0 : found->second.connection;
}

bool
PeerTable::mayConnect(const Address& aPeer, TimePoint aNow) const
{
  const auto found = this->peers.find(aPeer);
  return found == this->peers.end() || found->second.retryAt <= aNow;
}

void
PeerTable::connected(const Address& aPeer,
                     std::uint64_t aConnection,
                     TimePoint aNow)
{
  if (this->peers.size() >= kPeersBeforeSweep) {
    this->forgetIdle(aNow);
  }
  this->peers[aPeer].connection = aConnection;
}

void
PeerTable::lost(const Address& aPeer, std::uint64_t aConnection)
{
  const auto found = this->peers.find(aPeer);
  if (found != this->peers.end() && found->second.connection == aConnection) {
    found->second.connection = 0;
  }
}

void
PeerTable::failed(const Address& aPeer, TimePoint aNow)
{
  std::uniform_int_distribution<std::int64_t> more{ 0, this->backoff.count() };
  this->peers[aPeer].retryAt =
    aNow + this->backoff + Duration{ more(this->random) };
}

void
PeerTable::forgetIdle(TimePoint aNow)
{
  std::erase_if(this->peers, [aNow](const auto& aEntry) {
    return aEntry.second.connection == 0 && aEntry.second.retryAt <= aNow;
  });
}

} // namespace poplartrack
