#include "poplartrack/retry/SharedRetryBudget.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** Part of the bound that relays use. The rest covers counts that have not
 * arrived yet: a status message may be lost, and the next one comes after
 * 200 ms, or after 400 ms from another zone. */
constexpr double kUsablePart = 0.85;

/** A relay from which no counts have arrived for this long does not add to the
 * slack. */
constexpr Duration kPeerTimeout = std::chrono::seconds{ 2 };

/** The counts of the current slice and of this many slices before it are
 * assumed not to have reached the other relays yet. With a window of 10 s these
 * slices span at least half a second, in which two status messages are sent. */
constexpr std::int64_t kUnreportedSlices = 1;

/** Part of the usable bound that retries of each RetryPriority may take, in the
 * order of its values. */
constexpr std::array<double, 3> kPartByPriority{ 0.6, 0.7, 1.0 };

} // namespace

std::int64_t
SharedRetryBudget::sliceAt(TimePoint aNow) const
{
  const Duration slice =
    this->policy.window / static_cast<int>(kSlicesPerWindow);
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
    return aNow - aEntry.second.receivedAt > this->policy.window;
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
  // The requests of the oldest slice may have left the window. That slice is in
  // the ring's next slot.
  sum.requests -=
    this->slices[static_cast<std::size_t>(this->newest + 1) % kSlices].requests;
  return sum;
}

bool
SharedRetryBudget::mayRetry(RetryPriority aPriority, TimePoint aNow)
{
  const RetryCounts counted = this->own(aNow);
  RetryCounts latest;
  for (std::int64_t i = 0; i <= kUnreportedSlices; ++i) {
    const RetryCounts& slice =
      this->slices[static_cast<std::size_t>(this->newest - i) % kSlices];
    latest.requests += slice.requests;
    latest.retries += slice.retries;
  }
  const double unreported = latest.retries;
  double requests = counted.requests;
  double reported = counted.retries - unreported;
  std::size_t reporting = 1;
  for (const auto& [name, peer] : this->peers) {
    requests += peer.counts.requests;
    reported += peer.counts.retries;
    reporting += aNow - peer.receivedAt <= kPeerTimeout ? 1 : 0;
  }
  const double total = static_cast<double>(std::max(this->relays, reporting));
  const double slack =
    this->policy.slack * static_cast<double>(reporting) / total;
  const double usable =
    kUsablePart * kPartByPriority.at(static_cast<std::size_t>(aPriority));
  const double left =
    usable * (this->policy.ratio * requests + slack) - reported;
  // Only requests that the other relays may already know of count towards the
  // share: with the newer ones, the relays' shares would add up to more than
  // the whole. One is added for each relay, so that a relay without requests
  // has a share too.
  const double reportedRequests =
    counted.requests - std::min(counted.requests, latest.requests);
  const double share =
    (reportedRequests + 1) / (requests + static_cast<double>(reporting));
  return unreported + 1 <= share * left;
}

bool
SharedRetryBudget::tryRetry(RetryPriority aPriority, TimePoint aNow)
{
  if (!this->mayRetry(aPriority, aNow)) {
    return false;
  }
  ++this->slices[static_cast<std::size_t>(this->newest) % kSlices].retries;
  return true;
}

} // namespace poplartrack
