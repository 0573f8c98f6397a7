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
  entry->second.waiter.beyondShare = aWaiter.beyondShare;
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
    const bool isLastChance = aNow >= waiter.lastChanceFrom;
    const bool isLate = aNow > waiter.latestOnTimeStart;
    return std::tuple{ !waiter.started, !isLastChance,    waiter.beyondShare,
                       waiter.urgency,  !waiter.returned, isLate,
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

std::map<std::string, std::size_t>
WaitQueue::lengths() const
{
  std::map<std::string, std::size_t> lengths;
  for (const auto& [request, entry] : this->waiters) {
    if (!entry.waiter.started && !entry.waiter.exempt) {
      ++lengths[entry.waiter.service];
    }
  }
  return lengths;
}

std::size_t
WaitQueue::lengthOf(const std::string& aService) const
{
  return static_cast<std::size_t>(std::count_if(
    this->waiters.begin(), this->waiters.end(), [&](const auto& aEntry) {
      const Waiter& waiter = aEntry.second.waiter;
      return !waiter.started && !waiter.exempt && waiter.service == aService;
    }));
}

std::optional<std::uint64_t>
WaitQueue::lastOf(const std::string& aService) const
{
  // Returned callers give up when they are refused again.
  const auto refusalRank = [](const Entry& aEntry) {
    return std::tuple{ !aEntry.waiter.returned,
                       aEntry.waiter.beyondShare,
                       aEntry.waiter.urgency,
                       aEntry.sequence };
  };
  const Entry* last = nullptr;
  for (const auto& [request, entry] : this->waiters) {
    const Waiter& waiter = entry.waiter;
    if (waiter.started || waiter.exempt || waiter.service != aService) {
      continue;
    }
    if (last == nullptr || refusalRank(entry) > refusalRank(*last)) {
      last = &entry;
    }
  }
  return last == nullptr ? std::nullopt : std::optional{ last->waiter.request };
}

void
WaitQueue::onNoPath(const Waiter& aWaiter, ErrorKind aReason)
{
  if (this->knownFailure(aWaiter) == aReason) {
    return;
  }
  this->failedSearches[SearchGroup{ aWaiter.service, aWaiter.started }]
    .push_back(FailedSearch{ aWaiter.tokens, aWaiter.maxCrossings, aReason });
}

std::optional<ErrorKind>
WaitQueue::knownFailure(const Waiter& aWaiter) const
{
  const auto group =
    this->failedSearches.find(SearchGroup{ aWaiter.service, aWaiter.started });
  if (group == this->failedSearches.end()) {
    return std::nullopt;
  }
  std::optional<ErrorKind> reason;
  for (const FailedSearch& failed : group->second) {
    if (!failed.implies(aWaiter)) {
      continue;
    }
    reason = failed.reason;
    if (failed.reason == ErrorKind::NoRoute) {
      // It does not depend on memory, so it takes precedence.
      break;
    }
  }
  return reason;
}

} // namespace poplartrack
