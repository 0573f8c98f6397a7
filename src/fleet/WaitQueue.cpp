#include "poplartrack/fleet/WaitQueue.h"

#include <algorithm>
#include <tuple>

namespace poplartrack {

void
WaitQueue::add(const Waiter& aWaiter)
{
  const auto [entry, isNew] =
    this->waiters.try_emplace(aWaiter.request, Entry{ aWaiter, 0 });
  if (isNew) {
    entry->second.sequence = this->nextSequence++;
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
  std::vector<const Entry*> entries;
  entries.reserve(this->waiters.size());
  for (const auto& [request, entry] : this->waiters) {
    entries.push_back(&entry);
  }
  const auto rank = [aNow](const Entry* aEntry) {
    const Waiter& waiter = aEntry->waiter;
    return std::tuple{ !waiter.started,
                       waiter.urgency,
                       aNow > waiter.latestOnTimeStart,
                       aEntry->sequence };
  };
  std::sort(entries.begin(),
            entries.end(),
            [&](const Entry* aLeft, const Entry* aRight) {
              return rank(aLeft) < rank(aRight);
            });
  std::vector<std::uint64_t> order;
  order.reserve(entries.size());
  for (const Entry* entry : entries) {
    order.push_back(entry->waiter.request);
  }
  return order;
}

void
WaitQueue::onNoPath(const Waiter& aWaiter)
{
  const auto [smallest, isNew] = this->smallestFailed.try_emplace(
    SearchGroup{ aWaiter.service, aWaiter.started }, aWaiter.tokens);
  if (!isNew) {
    smallest->second = std::min(smallest->second, aWaiter.tokens);
  }
}

bool
WaitQueue::mayFindPath(const Waiter& aWaiter) const
{
  const auto smallest =
    this->smallestFailed.find(SearchGroup{ aWaiter.service, aWaiter.started });
  return smallest == this->smallestFailed.end() ||
         aWaiter.tokens < smallest->second;
}

} // namespace poplartrack
