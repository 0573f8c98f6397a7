// Replicas that leave: which do, and moving their streams before they end.

#include <algorithm>
#include <map>
#include <vector>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** A leaving replica takes no new work and serves on for the drain time at
 * least. What it runs is moved after this part of it, when its neighbours have
 * had the time to take its layers over. */
constexpr int kLeavingNoticePart = 2;

/** By then it is gone, and with it all that it ran. */
constexpr Duration kLeavingForgotten = std::chrono::seconds{ 20 };

/** A stream that ends in this time is left where it is. */
constexpr Duration kNearlyDone = std::chrono::milliseconds{ 1'000 };

/** Streams that are moved in one round of regular work: at five rounds a second
 * the thirty that a relay has at one replica are moved in a second or so. */
constexpr std::size_t kMovesAtOnce = 5;

} // namespace

/** Notes which replicas have begun to leave, or were taken off the list. */
void
RelayLoop::Impl::noteLeaving(const ReplicaView& aLatest)
{
  std::map<std::string, bool> drains;
  for (const Replica& replica : aLatest.replicas) {
    drains.emplace(replica.id, replica.draining);
  }
  for (const Replica& replica : this->view->replicas) {
    const auto found = drains.find(replica.id);
    if (found == drains.end() || found->second) {
      this->leavingSince.try_emplace(replica.id, this->now);
    }
  }
  std::erase_if(this->leavingSince, [this](const auto& aEntry) {
    return this->now - aEntry.second > kLeavingForgotten;
  });
}

/** Whether the request runs through a replica that will be gone before it has
 * ended, as far as can be told, and may be moved. */
bool
RelayLoop::Impl::leavesSoon(const Exchange& aExchange) const
{
  if (!aExchange.streaming || aExchange.connection == 0) {
    return false;
  }
  const auto& parts = aExchange.path.parts;
  const bool leaves =
    std::any_of(parts.begin(), parts.end(), [this](const PathPart& aPart) {
      const auto found = this->leavingSince.find(aPart.replica);
      return found != this->leavingSince.end() &&
             this->now - found->second >=
               this->settings.drain / kLeavingNoticePart;
    });
  const double left =
    aExchange.need.answer - static_cast<double>(aExchange.events) *
                              static_cast<double>(kTokensPerEvent);
  const auto rest = Duration{ static_cast<std::int64_t>(
    std::max(left, 0.0) *
    static_cast<double>(aExchange.path.perToken.count())) };
  return leaves && rest > kNearlyDone;
}

/**
 * Moves streams off replicas that leave. A leaving replica serves on for some
 * seconds and then ends, in the middle of streams that last longer: their
 * callers saw the answer break off although all of it was planned. A few are
 * moved at a time, since each is read again elsewhere.
 */
void
RelayLoop::Impl::moveOffLeaving()
{
  if (this->leavingSince.empty()) {
    return;
  }
  std::vector<std::uint64_t> moving;
  for (const auto& [id, exchange] : this->exchanges) {
    if (moving.size() < kMovesAtOnce && this->leavesSoon(*exchange)) {
      moving.push_back(id);
    }
  }
  for (const std::uint64_t id : moving) {
    this->repair(*this->exchanges.at(id), true);
  }
}

} // namespace poplartrack
