#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/entry/RequestRun.h"
#include "poplartrack/route/RouteChooser.h"

namespace poplartrack {

/** How a request ended. */
struct RunEnd
{
  bool whole = false;
  /** Valid when not whole. */
  Error error;
  RunState ran = RunState::Unknown;
};

/** What the caller's thread can send at this moment. */
struct RunOutput
{
  std::vector<std::uint32_t> tokens;
  std::optional<RunEnd> end;
};

/**
 * One model request in progress: its state machine, and the output that the
 * caller's thread has not sent yet. The state machine runs on the I/O threads,
 * protected by guard.
 */
class ActiveRun
{
public:
  ActiveRun(const RequestSpec& aSpec,
            RequestRun aRun,
            RoutePlan aPlan,
            TimePoint aStarted)
    : spec(aSpec)
    , plan(std::move(aPlan))
    , started(aStarted)
    , run(std::move(aRun))
  {
  }

  /** Waits until there are tokens after the first aTaken, or the request has
   * ended. Its own timers end it by its deadline; aLatest bounds the wait if
   * they fail to. */
  RunOutput waitOutput(std::size_t aTaken, TimePoint aLatest);
  /** Waits for the end. */
  RunOutput waitEnd(TimePoint aLatest);

  const RequestSpec spec;
  /** The plan that admission was based on: the first attempt's route. */
  const RoutePlan plan;
  const TimePoint started;
  std::mutex guard;
  /** Protected by guard, as are all members below. */
  RequestRun run;
  TimePoint firstToken{};
  TimePoint lastToken{};
  /** The earliest timer that is set for nextWake(). */
  std::optional<TimePoint> wakeSet;
  /** The route whose use was reported to the chooser. */
  Route usedRoute;
  std::set<std::string> blamed;

  /** Adds to the output and wakes the caller's thread. The caller holds
   * guard. */
  void deliver(std::uint32_t aToken);
  void finish(RunEnd aEnd);
  [[nodiscard]] const std::optional<RunEnd>& end() const { return this->ended; }

private:
  std::condition_variable changed;
  std::vector<std::uint32_t> delivered;
  std::optional<RunEnd> ended;
};

} // namespace poplartrack
