#include "poplartrack/retry/SharedRetryBudget.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** Part of the bound that is used. The rest is for counts that are on their
 * way: a word may be lost, and the next one comes after 200 ms, from other
 * zones after 400. */
constexpr double kUsed = 0.85;

/** A relay that is silent for this long is not heard. */
constexpr Duration kSilence = std::chrono::seconds{ 2 };

/** What was counted in the newest slice and these before it may not be in what
 * the others know: for half a second at least, in which two words are sent. */
constexpr std::int64_t kUntoldSlices = 1;

/** Part of what is used that retries of each need may take, in the order of the
 * needs. */
constexpr std::array<double, 3> kPartOfNeed{ 0.6, 0.7, 1.0 };

} // namespace

std::int64_t
SharedRetryBudget::sliceAt(TimePoint aNow) const
{
  const Duration slice = this->policy.window / static_cast<int>(kParts);
  return aNow.time_since_epoch() / std::max(slice, Duration{ 1 });
}

void
SharedRetryBudget::advance(TimePoint aNow)
{
  const std::int64_t now = std::max(this->sliceAt(aNow), this->newest);
  const std::int64_t passed = now - this->newest;
  const std::int64_t stale =
    std::min<std::int64_t>(passed, static_cast<std::int64_t>(kSlices));
  for (std::int64_t i = 0; i < stale; ++i) {
    this->slices[static_cast<std::size_t>(now - i) % kSlices] = RetryCounts{};
  }
  this->newest = now;
  std::erase_if(this->peers, [&](const auto& aEntry) {
    return aNow - aEntry.second.heard > this->policy.window;
  });
}

void
SharedRetryBudget::onRequest(TimePoint aNow)
{
  this->advance(aNow);
  ++this->slices[static_cast<std::size_t>(this->newest) % kSlices].requests;
}

void
SharedRetryBudget::onPeer(const std::string& aPeer,
                          RetryCounts aCounts,
                          TimePoint aNow)
{
  this->peers.insert_or_assign(aPeer, Peer{ aCounts, aNow });
}

RetryCounts
SharedRetryBudget::own(TimePoint aNow)
{
  this->advance(aNow);
  RetryCounts sum;
  for (const RetryCounts& slice : this->slices) {
    sum.requests += slice.requests;
    sum.retries += slice.retries;
  }
  // The oldest slice's requests may have left the window: the next slot of the
  // ring holds them.
  sum.requests -=
    this->slices[static_cast<std::size_t>(this->newest + 1) % kSlices].requests;
  return sum;
}

bool
SharedRetryBudget::mayRetry(RetryPriority aNeed, TimePoint aNow)
{
  const RetryCounts mine = this->own(aNow);
  RetryCounts latest;
  for (std::int64_t i = 0; i <= kUntoldSlices; ++i) {
    const RetryCounts& slice =
      this->slices[static_cast<std::size_t>(this->newest - i) % kSlices];
    latest.requests += slice.requests;
    latest.retries += slice.retries;
  }
  const double untold = latest.retries;
  double requests = mine.requests;
  double told = mine.retries - untold;
  std::size_t heard = 1;
  for (const auto& [name, peer] : this->peers) {
    requests += peer.counts.requests;
    told += peer.counts.retries;
    heard += aNow - peer.heard <= kSilence ? 1 : 0;
  }
  const double known = static_cast<double>(std::max(this->relays, heard));
  const double slack = this->policy.slack * static_cast<double>(heard) / known;
  const double used = kUsed * kPartOfNeed.at(static_cast<std::size_t>(aNeed));
  const double left = used * (this->policy.ratio * requests + slack) - told;
  // Requests that the others may not know of yet would make the parts more
  // than the whole. One more each, so that a relay without any has a part too.
  const double settled =
    mine.requests - std::min(mine.requests, latest.requests);
  const double part = (settled + 1) / (requests + static_cast<double>(heard));
  return untold + 1 <= part * left;
}

bool
SharedRetryBudget::tryRetry(RetryPriority aNeed, TimePoint aNow)
{
  if (!this->mayRetry(aNeed, aNow)) {
    return false;
  }
  ++this->slices[static_cast<std::size_t>(this->newest) % kSlices].retries;
  return true;
}

} // namespace poplartrack
