#include "poplartrack/fleet/OutageLeadership.h"

namespace poplartrack {

void
OutageLeadership::onHeld(std::uint64_t aFence, TimePoint aUntil)
{
  this->fence = aFence;
  this->leaseEnd = aUntil;
}

std::optional<std::uint64_t>
OutageLeadership::fenceToLead(const OutageView& aView, TimePoint aNow)
{
  if (aView.peerHoldsLease || aView.peerReleasedFence > this->fence ||
      aNow - this->leaseEnd > kMaxTime) {
    this->fence = 0;
  }
  const bool connected = aView.freshPeers * 2 >= aView.listedPeers;
  if (this->fence == 0 || aView.proofAge < kOutageProofAge || !connected) {
    return std::nullopt;
  }
  return this->fence;
}

} // namespace poplartrack
