#pragma once

#include <chrono>
#include <optional>
#include <string>

#include <glog/logging.h>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Logs the first answer of an endpoint after a silence.
 * @param aSilentFor as returned by EndpointWatch::onAnswer() */
inline void
logAnswer(const std::string& aEndpoint,
          const std::optional<Duration>& aSilentFor)
{
  if (!aSilentFor) {
    return;
  }
  const auto millis =
    std::chrono::duration_cast<std::chrono::milliseconds>(*aSilentFor);
  LOG(INFO) << "side: " << aEndpoint << " answers again, " << millis.count()
            << " ms after it was taken for silent";
}

} // namespace poplartrack
