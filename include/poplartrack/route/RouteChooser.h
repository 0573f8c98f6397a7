#pragma once

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "poplartrack/base/Clock.h"
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

/** What a route is wanted for. */
struct RouteQuery
{
  std::string model;
  std::string modelVersion;
  /** Layers of the whole model; the route covers [0, layers). */
  std::uint32_t layers = 0;
  /** Where the asking entry stands. */
  std::string fromZone;
  std::string fromRegion;
  /** Endpoints that the route must not touch. */
  std::set<std::string> avoid;
  /** Hash of the prompt's prefix; 0: no affinity wanted. */
  std::uint64_t prefixHash = 0;
  /** Inputs of the first step. */
  std::uint32_t prefillTokens = 0;
  std::uint32_t tokensWanted = 0;
  /** Time left until the deadline; 0 when unknown. */
  Duration remaining{ 0 };
};

/** A route and what it is expected to take. */
struct RoutePlan
{
  Route route;
  /** From the open to the first token at the entry. */
  Duration expectedFirstToken{ 0 };
  /** Between two tokens. */
  Duration expectedPerToken{ 0 };
  /** Part of expectedPerToken that steps wait in queues: the sign of overload
   * that admission takes. */
  Duration expectedWait{ 0 };
};

/**
 * Chooses routes by least expected completion over the layered graph of
 * endpoints, and endpoints of plain services by least expected wait. One
 * instance serves an entry. Not thread-safe: callers hold one lock over it.
 */
class RouteChooser
{
public:
  /** BadSettings when the policy is out of range. */
  static Result<RouteChooser> create(const RoutePolicy& aPolicy,
                                     std::uint64_t aSeed);

  /**
   * The route of least expected completion, among near-equals a random one.
   * NoRoute names the layers that no endpoint covers.
   */
  Result<RoutePlan> choose(const EndpointView& aView,
                           const RouteQuery& aQuery,
                           TimePoint aNow);

  /** An endpoint of a plain service; NoRoute when none is fit. */
  Result<EndpointInfo> choosePlain(const EndpointView& aView,
                                   std::string_view aService,
                                   const std::string& aZone,
                                   const std::set<std::string>& aAvoid,
                                   TimePoint aNow);

  /** The entry opened an attempt on this route: counts as load at once. */
  void onRouteStarted(const Route& aRoute, TimePoint aNow);
  /** The attempt ended; well: no stage of it was to blame. */
  void onRouteEnded(const Route& aRoute, bool aWell, TimePoint aNow);
  /** A token came this long after the one before. Tells which endpoints are
   * slower than their hints claim. */
  void onToken(const Route& aRoute, Duration aGap, TimePoint aNow);
  /** An attempt stalled though all its sides answer: one of them is far slower
   * than it claims. */
  void onStalled(const Route& aRoute, TimePoint aNow);
  /** One endpoint is to blame for a failure: it rests for a while. */
  void onEndpointFailed(std::string_view aEndpoint, TimePoint aNow);
  /** One endpoint answered: its failures are forgotten. */
  void onEndpointSucceeded(std::string_view aEndpoint);
  /** A call to a plain service's endpoint began or ended. */
  void onPlainStarted(const std::string& aEndpoint, TimePoint aNow);
  void onPlainEnded(const std::string& aEndpoint, bool aWell, TimePoint aNow);

  /** What is remembered of endpoints, for metrics and tests. */
  [[nodiscard]] const EndpointMemory& memory() const { return this->known; }

private:
  RouteChooser(const RoutePolicy& aPolicy, std::uint64_t aSeed);

  std::vector<Candidate> candidatesOf(const EndpointView& aView,
                                      const RouteQuery& aQuery,
                                      ZoneTable& aZones,
                                      TimePoint aNow);
  [[nodiscard]] double plainWait(const EndpointInfo& aInfo,
                                 const EndpointRecord& aRecord,
                                 const std::string& aZone,
                                 TimePoint aNow) const;
  std::vector<PathStage> cheapest(LayerGraph& aGraph);
  void forgetOld(TimePoint aNow);

  RoutePolicy policy;
  std::mt19937_64 random;
  EndpointMemory known;
  /** Gaps between tokens over what was expected of them, smoothed. */
  double pace = 1;
  TimePoint nextForget{};
};

} // namespace poplartrack
