#include "poplartrack/fleet/WaitQueue.h"

#include <algorithm>
#include <tuple>

namespace poplartrack {

void
WaitQueue::add(const Waiter& aWaiter)
{
  const auto [place, isNew] =
    this->waiters.try_emplace(aWaiter.request, Place{ aWaiter, 0 });
  if (isNew) {
    place->second.number = this->nextNumber++;
  }
}

void
WaitQueue::remove(std::uint64_t aRequest)
{
  this->waiters.erase(aRequest);
}

std::vector<std::uint64_t>
WaitQueue::order(TimePoint aNow) const
{
  std::vector<const Place*> places;
  places.reserve(this->waiters.size());
  for (const auto& [request, place] : this->waiters) {
    places.push_back(&place);
  }
  const auto rank = [aNow](const Place* aPlace) {
    const Waiter& waiter = aPlace->waiter;
    return std::tuple{ !waiter.started,
                       waiter.urgency,
                       aNow > waiter.latestOnTimeStart,
                       aPlace->number };
  };
  std::sort(
    places.begin(), places.end(), [&](const Place* aLeft, const Place* aRight) {
      return rank(aLeft) < rank(aRight);
    });
  std::vector<std::uint64_t> order;
  order.reserve(places.size());
  for (const Place* place : places) {
    order.push_back(place->waiter.request);
  }
  return order;
}

void
WaitQueue::onNoPath(const Waiter& aWaiter)
{
  const auto [smallest, isNew] = this->smallestRefused.try_emplace(
    Kind{ aWaiter.service, aWaiter.started }, aWaiter.tokens);
  if (!isNew) {
    smallest->second = std::min(smallest->second, aWaiter.tokens);
  }
}

bool
WaitQueue::mayFindPath(const Waiter& aWaiter) const
{
  const auto smallest =
    this->smallestRefused.find(Kind{ aWaiter.service, aWaiter.started });
  return smallest == this->smallestRefused.end() ||
         aWaiter.tokens < smallest->second;
}

} // namespace poplartrack
