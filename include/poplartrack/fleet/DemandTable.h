#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/TokenRate.h"

namespace poplartrack {

/** Demand by availability zone. */
using ZoneDemand = std::map<std::string, TokenRate>;

/** What callers ask of each model service in each availability zone: the
 * requests that this relay receives, and what the others report of theirs. Not
 * thread-safe. */
class DemandTable
{
public:
  /** Rates by service and urgency. */
  using ServiceRates = std::vector<std::pair<std::string, TokenRate>>;

  /** Records a request of a caller of this relay. aUrgency: from 0, the most
   * urgent, to 9. */
  void onRequest(const std::string& aService,
                 double aPromptTokens,
                 double aAnswerTokens,
                 TimePoint aNow,
                 int aUrgency = 0);
  /** Returns this relay's rates, rounded to two digits; at most aMost pairs of
   * service and urgency, those with the most tokens first. */
  [[nodiscard]] ServiceRates own(std::size_t aMost, TimePoint aNow) const;
  /** Replaces what another relay reported. */
  void onPeer(const std::string& aRelay,
              const std::string& aZone,
              ServiceRates aRates,
              TimePoint aNow);
  /** Forgets relays that have been silent for too long, and services that
   * nobody has asked for lately. */
  void expire(TimePoint aNow);
  /** Returns the demand for each service by zone. aOwnZone: this relay's. */
  [[nodiscard]] std::map<std::string, ZoneDemand> byService(
    const std::string& aOwnZone,
    TimePoint aNow) const;

private:
  /** Tokens of past requests; each weighs less the longer ago it was. */
  struct Recent
  {
    TokenRate tokens;
    TimePoint at{};
  };
  struct Peer
  {
    std::string zone;
    ServiceRates rates;
    TimePoint receivedAt;
  };

  /** By service and urgency. */
  std::map<std::pair<std::string, int>, Recent> ownTokens;
  std::map<std::string, Peer> peers;
};

} // namespace poplartrack
