#include "poplartrack/fleet/DemandTable.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "TwoDigits.h"
#include "poplartrack/base/Milli.h"

namespace poplartrack {
namespace {

/** Time after which the weight of a request has fallen to 1/e. Shorter times
 * would follow the noise of a few requests a second at one relay. */
constexpr Duration kAveragingTime = std::chrono::seconds{ 3 };

/** A relay that is silent for this long has ended or is cut off. */
constexpr Duration kPeerTimeout = std::chrono::seconds{ 2 };

/** Rates below this are not kept. */
constexpr double kMinTokensPerSecond = 1;

/** Returns the weight of a request of this age. */
double
weightAfter(Duration aAge)
{
  return std::exp(-std::chrono::duration<double>(aAge) /
                  std::chrono::duration<double>(kAveragingTime));
}

/** Returns the rate now that follows from tokens summed up to a time. */
TokenRate
rateAt(const TokenRate& aTokens, TimePoint aSummedAt, TimePoint aNow)
{
  const double factor = weightAfter(aNow - aSummedAt) /
                        std::chrono::duration<double>(kAveragingTime).count();
  return { aTokens.prompt * factor,
           aTokens.answer * factor,
           aTokens.requests * factor,
           aTokens.urgency };
}

} // namespace

void
DemandTable::onRequest(const std::string& aService,
                       double aPromptTokens,
                       double aAnswerTokens,
                       TimePoint aNow,
                       int aUrgency)
{
  Recent& recent = this->ownTokens[{ aService, aUrgency }];
  const double weight = weightAfter(aNow - recent.at);
  recent.tokens.prompt =
    recent.tokens.prompt * weight + std::max(0.0, aPromptTokens);
  recent.tokens.answer =
    recent.tokens.answer * weight + std::max(0.0, aAnswerTokens);
  recent.tokens.requests = recent.tokens.requests * weight + 1;
  recent.tokens.urgency = aUrgency;
  recent.at = aNow;
}

DemandTable::ServiceRates
DemandTable::own(std::size_t aMost, TimePoint aNow) const
{
  ServiceRates rates;
  for (const auto& [key, recent] : this->ownTokens) {
    rates.emplace_back(key.first, rateAt(recent.tokens, recent.at, aNow));
  }
  std::stable_sort(
    rates.begin(), rates.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.tokens() > aRight.second.tokens();
    });
  rates.resize(std::min(rates.size(), aMost));
  for (auto& [service, rate] : rates) {
    rate.prompt = roundToTwoDigits(rate.prompt);
    rate.answer = roundToTwoDigits(rate.answer);
    rate.requests = roundToTwoDigits(rate.requests * kMilli) / kMilli;
  }
  return rates;
}

void
DemandTable::onPeer(const std::string& aRelay,
                    const std::string& aZone,
                    ServiceRates aRates,
                    TimePoint aNow)
{
  this->peers.insert_or_assign(aRelay, Peer{ aZone, std::move(aRates), aNow });
}

void
DemandTable::expire(TimePoint aNow)
{
  std::erase_if(this->peers, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.receivedAt > kPeerTimeout;
  });
  std::erase_if(this->ownTokens, [aNow](const auto& aEntry) {
    const Recent& recent = aEntry.second;
    const TokenRate rate = rateAt(recent.tokens, recent.at, aNow);
    return rate.tokens() < kMinTokensPerSecond;
  });
}

std::map<std::string, ZoneDemand>
DemandTable::byService(const std::string& aOwnZone, TimePoint aNow) const
{
  std::map<std::string, ZoneDemand> demand;
  const auto add = [&](const std::string& aService,
                       const std::string& aZone,
                       const TokenRate& aRate) {
    demand[aService][aZone] += aRate;
  };
  for (const auto& [key, recent] : this->ownTokens) {
    add(key.first, aOwnZone, rateAt(recent.tokens, recent.at, aNow));
  }
  for (const auto& [relay, peer] : this->peers) {
    for (const auto& [service, rate] : peer.rates) {
      add(service, peer.zone, rate);
    }
  }
  return demand;
}

} // namespace poplartrack
