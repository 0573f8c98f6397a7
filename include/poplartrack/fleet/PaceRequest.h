#pragma once

#include <string_view>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** A request as the pace gate sees it. */
struct PaceRequest
{
  std::string_view service;
  std::string_view route;
  /** 0 is the most urgent. */
  int urgency = 0;
  double promptTokens = 0;
  /** Objective for the first event, and the longest pause between events; 0 if
   * the route has none. */
  Duration objective{ 0 };
  Duration maxPause{ 0 };
  /** How long it has been in the wait queue, and how long it may be. */
  Duration waited{ 0 };
  Duration maxWait{ 0 };
  /** Its account uses more than its share; see AccountCapacity. */
  bool beyondShare = false;
};

} // namespace poplartrack
