#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>

#include "poplartrack/base/Clock.h"
#include "poplartrack/retry/RetryCounts.h"
#include "poplartrack/retry/RetryPriority.h"

namespace poplartrack {

/** A bound that all processes keep together. */
struct SharedRetryPolicy
{
  /** Retries for each request, over any window. */
  double ratio = 0.1;
  /** Retries in any window beside those. */
  double slack = 16;
  Duration window = std::chrono::seconds{ 10 };
};

/**
 * This process's part of a retry budget that all relays share.
 *
 * Dealt out evenly beforehand, the budget of many relays is a few retries each:
 * when replicas die, those with many streams cut them while the others' shares
 * lie unused. Here each relay knows what the others have counted, and takes
 * what is left in proportion to its requests. The parts add up to the whole, so
 * relays that retry at the same moment do not pass the bound together.
 *
 * Part of the budget is kept for streams that have started: releases and full
 * replicas, with a retry for each refused request, used all of it up, and
 * streams that lost a part of their path then were cut.
 *
 * The slack counts only for relays that are heard: one that is cut off from
 * the others uses its own part of it. Pure; not thread-safe.
 */
class SharedRetryBudget
{
public:
  explicit SharedRetryBudget(const SharedRetryPolicy& aPolicy)
    : policy(aPolicy)
  {
  }

  /** Relays that exist, this one included. */
  void setRelays(std::size_t aRelays) { this->relays = aRelays; }
  /** A first try came. */
  void onRequest(TimePoint aNow);
  /** What another relay counted. */
  void onPeer(const std::string& aPeer, RetryCounts aCounts, TimePoint aNow);
  /** Whether one retry may be made now. */
  [[nodiscard]] bool mayRetry(RetryPriority aNeed, TimePoint aNow);
  /** ... and takes it from the budget if so. */
  bool tryRetry(RetryPriority aNeed, TimePoint aNow);
  /** What this relay counted in the window that ends now. */
  [[nodiscard]] RetryCounts own(TimePoint aNow);

private:
  /** Parts of the window in which is counted, and one more: the oldest has
   * left the window in part only, and its retries still count. */
  static constexpr std::size_t kParts = 20;
  static constexpr std::size_t kSlices = kParts + 1;

  struct Peer
  {
    RetryCounts counts;
    TimePoint heard;
  };

  [[nodiscard]] std::int64_t sliceAt(TimePoint aNow) const;
  void advance(TimePoint aNow);

  SharedRetryPolicy policy;
  std::size_t relays = 1;
  std::array<RetryCounts, kSlices> slices{};
  std::int64_t newest = 0;
  std::map<std::string, Peer> peers;
};

} // namespace poplartrack
