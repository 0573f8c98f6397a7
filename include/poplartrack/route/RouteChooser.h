#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/LossEvidence.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/route/EndpointInfo.h"
#include "poplartrack/route/EndpointMemory.h"
#include "poplartrack/route/RoutePolicy.h"
#include "poplartrack/wire/RouteStage.h"

namespace poplartrack {

struct Candidate;
class LayerGraph;
struct PathStage;
class ZoneTable;

/** The request that a route is chosen for. */
struct RouteQuery
{
  std::string model;
  std::string modelVersion;
  /** Layers of the whole model; the route covers [0, layers). */
  std::uint32_t layers = 0;
  /** Availability zone and region of the entry. */
  std::string fromZone;
  std::string fromRegion;
  /** Names of endpoints that the route must not use. */
  std::set<std::string> avoid;
  /** Hash of the prompt's prefix; 0 for no prefix affinity. */
  std::uint64_t prefixHash = 0;
  /** Number of prompt tokens that the first step reads. */
  std::uint32_t prefillTokens = 0;
  /** Number of tokens to generate. */
  std::uint32_t tokensWanted = 0;
  /** Time left until the deadline; 0 if unknown. */
  Duration remaining{ 0 };
};

/** A route and its expected times. */
struct RoutePlan
{
  Route route;
  /** From opening the attempt to the first token at the entry. */
  Duration expectedFirstToken{ 0 };
  /** Between two tokens. */
  Duration expectedPerToken{ 0 };
  /** The part of expectedPerToken that steps wait in queues; admission control
   * uses it as the sign of overload. */
  Duration expectedWait{ 0 };
};

/**
 * Chooses routes by least expected completion time in the graph of layers and
 * endpoints, and endpoints of plain services by least expected wait. Each entry
 * has one chooser. Not thread-safe: callers hold a lock during each call.
 */
class RouteChooser
{
public:
  /** Returns BadSettings if the policy is out of range. */
  static Result<RouteChooser> create(const RoutePolicy& aPolicy,
                                     std::uint64_t aSeed);

  /**
   * Returns the route with the least expected completion time; among nearly
   * equal ones the choice is random. The NoRoute error names the layers that no
   * endpoint holds.
   */
  Result<RoutePlan> choose(const EndpointView& aView,
                           const RouteQuery& aQuery,
                           TimePoint aNow);

  /** Returns an endpoint of a plain service, or NoRoute if there is none that
   * may take work. */
  Result<EndpointInfo> choosePlain(const EndpointView& aView,
                                   std::string_view aService,
                                   const std::string& aZone,
                                   const std::set<std::string>& aAvoid,
                                   TimePoint aNow);

  /** Records that the entry opened an attempt on this route. It counts as load
   * immediately. */
  void onRouteStarted(const Route& aRoute, TimePoint aNow);
  /** Records that the attempt ended. aSucceeded: no stage of it failed. */
  void onRouteEnded(const Route& aRoute, bool aSucceeded, TimePoint aNow);
  /** Records the time between a token and the previous one. Shows which
   * endpoints are slower than their hints say. */
  void onToken(const Route& aRoute, Duration aGap, TimePoint aNow);
  /** Records that an attempt stalled although all its sides answer: one of them
   * is much slower than its hints say. */
  void onStalled(const Route& aRoute, TimePoint aNow);
  /** Records a failure of an endpoint and starts its backoff. Failures during a
   * backoff are ignored. A backoff by silence ends as soon as the endpoint's
   * load is reported again. Returns the end of the backoff if one starts. */
  std::optional<TimePoint> onEndpointFailed(
    std::string_view aEndpoint,
    TimePoint aNow,
    LossEvidence aEvidence = LossEvidence::Refusal);
  /** Records that an endpoint succeeded; resets its failures and its
   * backoff. */
  void onEndpointSucceeded(std::string_view aEndpoint);
  /** Record the start and the end of a call to a plain service's endpoint. */
  void onPlainStarted(const std::string& aEndpoint, TimePoint aNow);
  void onPlainEnded(const std::string& aEndpoint,
                    bool aSucceeded,
                    TimePoint aNow,
                    LossEvidence aEvidence = LossEvidence::Refusal);

  /** Returns the records of the endpoints, for metrics and tests. */
  [[nodiscard]] const EndpointMemory& memory() const { return this->records; }

private:
  RouteChooser(const RoutePolicy& aPolicy, std::uint64_t aSeed);

  /** Returns the endpoints that may run layers of the request. */
  std::vector<Candidate> candidatesOf(const EndpointView& aView,
                                      const RouteQuery& aQuery,
                                      ZoneTable& aZones,
                                      TimePoint aNow);
  /** Returns the expected time of a call to a plain service's endpoint, in
   * microseconds. */
  [[nodiscard]] double plainWait(const EndpointInfo& aInfo,
                                 const EndpointRecord& aRecord,
                                 const std::string& aZone,
                                 TimePoint aNow) const;
  /** Returns the cheapest path; uses endpoints in backoff only if there is none
   * without them. */
  std::vector<PathStage> cheapest(LayerGraph& aGraph);
  /** Removes unused records once per kForgetInterval. */
  void forgetOld(TimePoint aNow);

  RoutePolicy policy;
  std::mt19937_64 random;
  EndpointMemory records;
  /** Smoothed ratio of the measured gaps between tokens to the expected
   * ones. */
  double gapRatio = 1;
  TimePoint nextForget{};
};

} // namespace poplartrack
