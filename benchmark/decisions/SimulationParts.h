#pragma once

#include <cstdint>
#include <optional>

#include "poplartrack/admit/AdmissionControl.h"
#include "poplartrack/retry/RetryBudget.h"
#include "poplartrack/retry/StallDetector.h"
#include "poplartrack/route/EndpointInfo.h"
#include "poplartrack/wire/RouteStage.h"

namespace poplartrack::bench {

/** What an event is. */
enum class Kind
{
  Arrival,
  StepArrives,
  BatchEnds,
  Hints,
  StallCheck,
  Retry,
  Happening,
};

/** One event; index means a request, endpoint or entry by its kind. */
struct Event
{
  double at = 0;
  std::uint64_t order = 0;
  Kind kind = Kind::Arrival;
  std::uint32_t index = 0;
  std::uint32_t attempt = 0;

  bool operator<(const Event& aOther) const
  {
    return at != aOther.at ? at > aOther.at : order > aOther.order;
  }
};

/** One entry with the real decision code. */
template<typename Chooser>
struct SimulatedEntry
{
  Chooser chooser;
  AdmissionControl admission;
  RetryBudget budget;
  EndpointView view;
  bool seenAll = false;
};

/** One request. */
struct SimulatedRequest
{
  std::uint32_t entry = 0;
  double arrived = 0;
  double lastToken = 0;
  std::uint32_t wanted = 0;
  std::uint32_t done = 0;
  std::uint32_t attempt = 0;
  std::uint32_t stage = 0;
  std::uint64_t ticket = 0;
  bool over = false;
  /** The attempt's KV is built: steps are decode steps. */
  bool prefilled = false;
  /** Its prompt's prefix, 0: none. */
  std::uint32_t prefix = 0;
  Route route;
  std::optional<StallDetector> watch;
};

} // namespace poplartrack::bench
