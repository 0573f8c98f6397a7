#pragma once

#include <algorithm>

#include "poplartrack/fleet/DemandTable.h"
#include "poplartrack/fleet/EngineProfile.h"

namespace poplartrack {

/** Mean number of tokens of a request. */
struct MeanRequest
{
  double prompt = 0;
  double answer = 0;

  [[nodiscard]] double tokens() const
  {
    return std::max(1.0, this->prompt + this->answer);
  }
};

/** Returns the mean request that the operator declares. */
MeanRequest
declaredMean(const EngineProfile& aProfile);

/** Returns the mean request that callers ask, or the declared one if no
 * requests were counted. */
MeanRequest
askedMean(const EngineProfile& aProfile, const ZoneDemand& aDemand);

/** Returns the requests a second of a rate. If they were not counted, they
 * follow from the tokens and the declared mean. */
double
requestRate(const EngineProfile& aProfile, const TokenRate& aRate);

} // namespace poplartrack
