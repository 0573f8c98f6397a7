#include "poplartrack/fleet/MeanRequest.h"

namespace poplartrack {

MeanRequest
declaredMean(const EngineProfile& aProfile)
{
  return { aProfile.meanPromptTokens, aProfile.meanAnswerTokens };
}

MeanRequest
askedMean(const EngineProfile& aProfile, const ZoneDemand& aDemand)
{
  TokenRate sum;
  bool isCounted = false;
  for (const auto& [zone, rate] : aDemand) {
    isCounted = isCounted || rate.requests > 0;
    sum.prompt += rate.prompt;
    sum.answer += rate.answer;
    sum.requests += requestRate(aProfile, rate);
  }
  if (!isCounted) {
    return declaredMean(aProfile);
  }
  return { sum.prompt / sum.requests, sum.answer / sum.requests };
}

double
requestRate(const EngineProfile& aProfile, const TokenRate& aRate)
{
  return aRate.requests > 0 ? aRate.requests
                            : aRate.tokens() / declaredMean(aProfile).tokens();
}

} // namespace poplartrack
