#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "poplartrack/fleet/PaceCause.h"
#include "poplartrack/fleet/PaceForecast.h"
#include "poplartrack/fleet/PaceRequest.h"
#include "poplartrack/fleet/PaceVerdict.h"

namespace poplartrack {

/**
 * Decides whether a path is fast enough for one more request, and whether a
 * request that finds no such path waits or is refused.
 *
 * The forecast time from sending the request to its first event is compared
 * with its route's objective, and the forecast time between two events with the
 * route's longest pause; neither may be longer. If it would be longer even
 * without other work on the path, other work may add up to half of the limit to
 * it: holding a long prompt back for longer would not help anyone.
 *
 * A less urgent request must leave headroom: a part of the limits of each more
 * urgent kind of request (route and urgency) that was seen in the last three
 * seconds. A request that has waited so long that it will miss its objective
 * must leave headroom for one of its own kind that can be on time. Otherwise
 * the queue on the path would stay as long as the objective, and each request
 * that waits at all would be late. While a request is held back, so are less
 * urgent ones whose prompt is at least as long, and all requests beyond their
 * account's share: any start delays those that wait for a path. Requests beyond
 * their share hold no other request back and need no headroom.
 *
 * A path without requests always takes one, whatever the forecast. Otherwise a
 * wrong forecast could keep a service out of use, since only requests that are
 * sent can correct it. Pure; not thread-safe.
 */
class PaceGate
{
public:
  /** Records that a request was received or still waits, which makes the limits
   * of its route count for less urgent ones. */
  void onRequest(const PaceRequest& aRequest, TimePoint aNow);
  /** Returns why the path with this forecast may not take the request; None if
   * it may. */
  [[nodiscard]] PaceCause check(const PaceRequest& aRequest,
                                const PaceForecast& aForecast,
                                TimePoint aNow) const;
  /** Returns whether no path need be searched for the request in this round,
   * since a request that goes before it was held back in it. */
  [[nodiscard]] bool isBehindHeld(const PaceRequest& aRequest) const;
  /** Records that the request is held back because of this forecast, that of
   * the fastest path found. Returns whether it waits or is refused. */
  PaceVerdict onHeldBack(const PaceRequest& aRequest,
                         const PaceForecast& aForecast,
                         PaceCause aCause);
  /** Returns whether a request for which isBehindHeld() is true waits or is
   * refused. */
  [[nodiscard]] static PaceVerdict verdictBehindHeld(
    const PaceRequest& aRequest);
  /** Starts a new round over the wait queue: paths may have become faster since
   * the last one. */
  void beginRound() { ++this->round; }

private:
  static constexpr double kNoneHeld = std::numeric_limits<double>::infinity();

  /** The requests of one route and urgency. */
  struct Kind
  {
    std::string route;
    int urgency = 0;
    Duration objective{ 0 };
    Duration maxPause{ 0 };
    /** The prompts' lengths, exponentially smoothed. */
    double promptTokens = 0;
    /** When a request of this kind was last received or waited. */
    TimePoint requestedAt{};
    /** The round in which requests of this kind were last held back. */
    std::uint64_t lastHeldRound = 0;
    /** Shortest prompt, in tokens, of the requests held back in that round that
     * could have been on time. */
    double heldPrompt = kNoneHeld;
    /** The same of those that would have been late because of their wait, and
     * the least forecast of their first event. */
    double heldLatePrompt = kNoneHeld;
    Duration heldLateFirstEvent = Duration::max();

    [[nodiscard]] bool isOf(const PaceRequest& aRequest) const
    {
      return this->urgency == aRequest.urgency && this->route == aRequest.route;
    }
  };
  using Kinds = std::vector<Kind>;

  Kind& kindOf(const PaceRequest& aRequest, TimePoint aNow);
  [[nodiscard]] const Kinds* kindsOf(const PaceRequest& aRequest) const;
  [[nodiscard]] static PaceCause checkHeadroom(const PaceRequest& aRequest,
                                               const Kind& aKind,
                                               const PaceForecast& aForecast,
                                               std::uint32_t aLevels);

  /** By service. */
  std::map<std::string, Kinds, std::less<>> services;
  std::uint64_t round = 1;
};

} // namespace poplartrack
