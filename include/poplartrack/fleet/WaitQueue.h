#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Error.h"

namespace poplartrack {

/** A request that waits for memory of replicas. */
struct Waiter
{
  std::uint64_t request = 0;
  std::string service;
  /** Whether it is a stream whose caller already has part of the answer and
   * would lose most by a refusal. */
  bool started = false;
  /** The limit of the queue's length does not apply to it; see QueueBound. */
  bool exempt = false;
  /** Its account uses more than its share; see AccountCapacity. */
  bool beyondShare = false;
  /** 0 is the most urgent. */
  int urgency = 0;
  /** Its caller was refused before and has returned when it was told to. */
  bool returned = false;
  /** For a returned caller: when it goes before new requests of all urgencies,
   * since it would soon be refused again. */
  TimePoint lastChanceFrom = TimePoint::max();
  /** Tokens that it needs memory for. */
  double tokens = 0;
  /** Zone crossings that its path may have. */
  std::uint32_t maxCrossings = std::numeric_limits<std::uint32_t>::max();
  /** Latest time of sending at which its answer still meets the route's
   * objective. */
  TimePoint latestOnTimeStart{};
};

/**
 * Requests for which no path has memory, and the order in which they are tried
 * again.
 *
 * All of them are tried in rounds. In a round, a request searches for a path
 * only if it needs less memory, or may cross more zones, than each one that has
 * already found none. If
 * each request searched for itself every 25 ms, sixty waiting ones would take
 * all of a relay's processor time: answers in progress would be late and the
 * placement lease would expire.
 *
 * Started streams go first, then returned callers at their last chance, then
 * requests of accounts within their share, then the others; within each of
 * these, requests go by urgency. Among equals, returned callers go first, since
 * those that are refused again give up; then those that can still be on time,
 * the oldest ahead. The others are late whenever they start and get what is
 * left, because an answer on time is worth four times as much. Pure; not
 * thread-safe.
 */
class WaitQueue
{
public:
  /** Adds a request. One that is already queued keeps its position among
   * equals; only whether it is beyond its account's share is replaced. */
  void add(const Waiter& aWaiter);
  void remove(std::uint64_t aRequest);
  [[nodiscard]] bool empty() const { return this->waiters.empty(); }
  [[nodiscard]] std::size_t size() const { return this->waiters.size(); }

  /** Returns all queued requests in the order in which they are tried. */
  [[nodiscard]] std::vector<std::uint64_t> order(TimePoint aNow) const;

  /** Returns the number of waiting requests by service, without started
   * streams. */
  [[nodiscard]] std::map<std::string, std::size_t> lengths() const;
  /** The same for one service. */
  [[nodiscard]] std::size_t lengthOf(const std::string& aService) const;
  /** Returns the waiting request of a service that is refused first: one beyond
   * its account's share, else any; of these the least urgent, then the newest.
   * Returned callers come last, and started streams are left out. */
  [[nodiscard]] std::optional<std::uint64_t> lastOf(
    const std::string& aService) const;

  /** Starts a new round: memory may have become free since the last one. */
  void beginRound() { this->failedSearches.clear(); }
  /** Records that a search for this request found no path, and why. */
  void onNoPath(const Waiter& aWaiter, ErrorKind aReason);
  /** Returns why a search would find no path, as far as this round has shown;
   * nullopt if it may find one. */
  [[nodiscard]] std::optional<ErrorKind> knownFailure(
    const Waiter& aWaiter) const;

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

  /** What a request that found no path asked for. The result holds for all that
   * need as much memory and may not cross more zones. */
  struct FailedSearch
  {
    double tokens = 0;
    std::uint32_t maxCrossings = 0;
    ErrorKind reason = ErrorKind::Overloaded;

    [[nodiscard]] bool implies(const Waiter& aWaiter) const
    {
      return this->tokens <= aWaiter.tokens &&
             this->maxCrossings >= aWaiter.maxCrossings;
    }
  };

  std::map<std::uint64_t, Entry> waiters;
  std::uint64_t nextSequence = 0;
  /** Those of this round that no other one implies. */
  std::map<SearchGroup, std::vector<FailedSearch>> failedSearches;
};

} // namespace poplartrack
