#pragma once

#include <chrono>
#include <functional>
#include <thread>

#include "poplartrack/base/Clock.h"

namespace poplartrack::relaytest {

/** Waits until the condition holds; bounded, so that a fault ends the test. */
inline bool
waitFor(const std::function<bool()>& aCondition)
{
  const TimePoint latest = runtimeNow() + std::chrono::seconds{ 60 };
  while (!aCondition()) {
    if (runtimeNow() >= latest) {
      return false;
    }
    std::this_thread::yield();
  }
  return true;
}

} // namespace poplartrack::relaytest
