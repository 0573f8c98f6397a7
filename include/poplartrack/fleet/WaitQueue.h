#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** A request that waits for memory of replicas. */
struct Waiter
{
  std::uint64_t request = 0;
  std::string service;
  /** Whether it is a stream whose caller already has part of the answer and
   * would lose most by a refusal. */
  bool started = false;
  /** 0 is the most urgent. */
  int urgency = 0;
  /** Tokens that it needs memory for. */
  double tokens = 0;
  /** Latest time of sending at which its answer still meets the route's
   * objective. */
  TimePoint latestOnTimeStart{};
};

/**
 * Requests for which no path has memory, and the order in which they are tried
 * again.
 *
 * All of them are tried in rounds. In a round, a request searches for a path
 * only if it needs less memory than each one that has already found none. If
 * each request searched for itself every 25 ms, sixty waiting ones would take
 * all of a relay's processor time: answers in progress would be late and the
 * placement lease would expire.
 *
 * Started streams go first, then requests by urgency. Among equals, those that
 * can still be on time go first, the oldest ahead. The others are late whenever
 * they start and get what is left, because an answer on time is worth four
 * times as much. Pure; not thread-safe.
 */
class WaitQueue
{
public:
  /** Adds a request; one that is already queued keeps its position. */
  void add(const Waiter& aWaiter);
  void remove(std::uint64_t aRequest);
  [[nodiscard]] bool empty() const { return this->waiters.empty(); }
  [[nodiscard]] std::size_t size() const { return this->waiters.size(); }

  /** Returns all queued requests in the order in which they are tried. */
  [[nodiscard]] std::vector<std::uint64_t> order(TimePoint aNow) const;

  /** Starts a new round: memory may have become free since the last one. */
  void beginRound() { this->smallestFailed.clear(); }
  /** Records that a search for this request found no path. */
  void onNoPath(const Waiter& aWaiter);
  /** Returns whether a search may find a path, as far as this round has shown.
   */
  [[nodiscard]] bool mayFindPath(const Waiter& aWaiter) const;

private:
  struct Entry
  {
    Waiter waiter;
    /** Order of arrival; a lower one is older. */
    std::uint64_t sequence = 0;
  };
  /** Requests for which the result of a failed search holds in common. Started
   * streams may reserve more memory than others. */
  struct SearchGroup
  {
    std::string service;
    bool started = false;
    // The linter takes the zero that a defaulted <=> compares with for a null.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const SearchGroup&, const SearchGroup&) = default;
  };

  std::map<std::uint64_t, Entry> waiters;
  std::uint64_t nextSequence = 0;
  std::map<SearchGroup, double> smallestFailed;
};

} // namespace poplartrack
