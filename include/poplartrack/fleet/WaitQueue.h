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
  /** Its caller has part of the answer and loses most. */
  bool started = false;
  /** 0 is the most urgent. */
  int urgency = 0;
  /** Tokens that it needs memory for. */
  double tokens = 0;
  /** Sent by then, it is still answered within its objective. */
  TimePoint latestOnTimeStart{};
};

/**
 * Requests for which no path has memory, and the order in which they are tried
 * again.
 *
 * Each of them searched for itself before, every 25 ms: with sixty waiting, the
 * searches took all of a relay's processor time, the answers under way came
 * late and the placement lease ran out. In a round of this line only those
 * search that need less than one that has just found nothing.
 *
 * Started streams go first, then by urgency; among equals those that can still
 * be on time, and the oldest of them first. The others, whose answers are late
 * whenever they begin, get what is left: on time an answer is worth four times
 * as much. Pure; not thread-safe.
 */
class WaitQueue
{
public:
  /** A request that is in the line already keeps its place. */
  void add(const Waiter& aWaiter);
  void remove(std::uint64_t aRequest);
  [[nodiscard]] bool empty() const { return this->waiters.empty(); }
  [[nodiscard]] std::size_t size() const { return this->waiters.size(); }

  /** All that wait, in the order in which they are tried. */
  [[nodiscard]] std::vector<std::uint64_t> order(TimePoint aNow) const;

  /** A new round: what had no memory before may have some now. */
  void beginRound() { this->smallestRefused.clear(); }
  /** A search for this request found nothing. */
  void onNoPath(const Waiter& aWaiter);
  /** Whether a search may find something, as far as this round knows. */
  [[nodiscard]] bool mayFindPath(const Waiter& aWaiter) const;

private:
  struct Place
  {
    Waiter waiter;
    /** Counts those that joined: the lower one is older. */
    std::uint64_t number = 0;
  };
  /** Requests that share what a failed search tells: streams that have started
   * may book more than others. */
  struct Kind
  {
    std::string service;
    bool started = false;
    // The linter takes the zero that a defaulted <=> compares with for a null.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Kind&, const Kind&) = default;
  };

  std::map<std::uint64_t, Place> waiters;
  std::uint64_t nextNumber = 0;
  std::map<Kind, double> smallestRefused;
};

} // namespace poplartrack
