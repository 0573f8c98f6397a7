#include "poplartrack/fleet/PaceGate.h"

#include <algorithm>
#include <bit>

namespace poplartrack {
namespace {

/** For how long after its last request a route's limits count for less urgent
 * requests. */
constexpr Duration kRecentRequest = std::chrono::seconds{ 3 };

/** Fraction of an objective up to which a request may load a path that the next
 * more urgent kind uses. Each further level of urgency between them takes the
 * same fraction again, so that each level has headroom of its own. */
constexpr double kHeadroomShare = 0.8;

/** The same for the longest pause. One more request lengthens pauses much less
 * than the wait for the next prefill. */
constexpr double kPauseHeadroomShare = 0.95;

/** Largest number of levels that count. With more, the least urgent requests
 * could only use paths without any queue. */
constexpr int kMaxHeadroomLevels = 3;

/** Other work may delay a request that is late even without it by the limit of
 * its route divided by this. */
constexpr int kLateDivisor = 2;

/** Weight of a new request in a kind's smoothed prompt length. */
constexpr double kPromptWeight = 0.1;

/** Bound of the factor by which a forecast is converted to another prompt
 * length. Fixed times, such as those of network hops, do not grow with it. */
constexpr double kMaxPromptRatio = 8;

/** Returns the longest forecast with which a path still takes a request.
 * aRouteLimit: objective or longest pause of the route; 0: it has none. aIdle:
 * the forecast without other work. If that is beyond the route's limit, the
 * request is late on this path in any case, and only the delay by other work
 * is limited. */
Duration
limitOf(Duration aRouteLimit, Duration aIdle)
{
  if (aRouteLimit <= Duration{ 0 }) {
    return Duration::max();
  }
  return aIdle <= aRouteLimit ? aRouteLimit
                              : aIdle + aRouteLimit / kLateDivisor;
}

/** Returns whether a request will miss its objective because it has waited: its
 * wait so far and the forecast of its first event together are longer. */
bool
willBeLate(const PaceRequest& aRequest, Duration aFirstEvent)
{
  return aRequest.objective > Duration{ 0 } &&
         aRequest.waited > Duration{ 0 } &&
         aFirstEvent > aRequest.objective - aRequest.waited;
}

/** Returns the share of a limit that is left below a number of levels, each of
 * which leaves aLevelShare of what is above it. */
double
limitShareBelow(double aLevelShare, int aLevels)
{
  double share = 1;
  for (int i = 0; i < aLevels; ++i) {
    share *= aLevelShare;
  }
  return share;
}

double
micros(Duration aDuration)
{
  return static_cast<double>(aDuration.count());
}

/** Returns a bit for an urgency; those beyond the last bit share it. */
std::uint32_t
levelBit(int aUrgency)
{
  constexpr int kLastBit = 31;
  return std::uint32_t{ 1 } << std::clamp(aUrgency, 0, kLastBit);
}

} // namespace

const PaceGate::Kinds*
PaceGate::kindsOf(const PaceRequest& aRequest) const
{
  const auto found = this->services.find(aRequest.service);
  return found == this->services.end() ? nullptr : &found->second;
}

/** Returns the kind of a request. Adding one drops those of its service that
 * have had no recent requests. */
PaceGate::Kind&
PaceGate::kindOf(const PaceRequest& aRequest, TimePoint aNow)
{
  const auto service = this->services.find(aRequest.service);
  Kinds& kinds = service == this->services.end()
                   ? this->services[std::string{ aRequest.service }]
                   : service->second;
  const auto found =
    std::find_if(kinds.begin(), kinds.end(), [&](const Kind& aKind) {
      return aKind.isOf(aRequest);
    });
  if (found != kinds.end()) {
    return *found;
  }
  std::erase_if(kinds, [aNow](const Kind& aKind) {
    return aNow - aKind.requestedAt > kRecentRequest;
  });
  Kind kind;
  kind.route = aRequest.route;
  kind.urgency = aRequest.urgency;
  kind.promptTokens = aRequest.promptTokens;
  kinds.push_back(std::move(kind));
  return kinds.back();
}

void
PaceGate::onRequest(const PaceRequest& aRequest, TimePoint aNow)
{
  if (aRequest.beyondShare) {
    return;
  }
  Kind& kind = this->kindOf(aRequest, aNow);
  kind.requestedAt = aNow;
  kind.objective = aRequest.objective;
  kind.maxPause = aRequest.maxPause;
  if (aRequest.waited <= Duration{ 0 }) {
    kind.promptTokens +=
      kPromptWeight * (aRequest.promptTokens - kind.promptTokens);
  }
}

/** Returns why the path would have too little headroom left for requests of a
 * kind. The time to the first event of such a request, with its smoothed prompt
 * length, is compared with a share of the kind's objective, and the time
 * between two events with a share of its longest pause. aLevels: the urgencies
 * that need headroom, a bit each. */
PaceCause
PaceGate::checkHeadroom(const PaceRequest& aRequest,
                        const Kind& aKind,
                        const PaceForecast& aForecast,
                        std::uint32_t aLevels)
{
  const int levels =
    std::min(std::popcount(aLevels & ~(levelBit(aKind.urgency) - 1)),
             kMaxHeadroomLevels);
  const double ratio =
    aRequest.promptTokens > 0 && aKind.promptTokens > 0
      ? std::clamp(aKind.promptTokens / aRequest.promptTokens,
                   1 / kMaxPromptRatio,
                   kMaxPromptRatio)
      : 1;
  const double own = ratio * micros(aForecast.firstEvent - aForecast.queued);
  const double idle = ratio * micros(aForecast.idleFirstEvent);
  if (aForecast.queued > Duration{ 0 } && aKind.objective > Duration{ 0 } &&
      micros(aForecast.queued) + own >
        limitShareBelow(kHeadroomShare, levels) *
          std::max(micros(aKind.objective), idle)) {
    return PaceCause::Headroom;
  }
  if (aKind.maxPause > Duration{ 0 } &&
      micros(aForecast.pause) >
        std::max(limitShareBelow(kPauseHeadroomShare, levels) *
                   micros(aKind.maxPause),
                 micros(aForecast.idlePause))) {
    return PaceCause::Headroom;
  }
  return PaceCause::None;
}

PaceCause
PaceGate::check(const PaceRequest& aRequest,
                const PaceForecast& aForecast,
                TimePoint aNow) const
{
  if (aForecast.idle) {
    return PaceCause::None;
  }
  if (aForecast.firstEvent >
      limitOf(aRequest.objective, aForecast.idleFirstEvent)) {
    return PaceCause::FirstEvent;
  }
  if (aForecast.pause > limitOf(aRequest.maxPause, aForecast.idlePause)) {
    return PaceCause::Pause;
  }
  const Kinds* kinds = this->kindsOf(aRequest);
  if (kinds == nullptr) {
    return PaceCause::None;
  }
  const bool late = willBeLate(aRequest, aForecast.firstEvent);
  const auto needsHeadroom = [&](const Kind& aKind) {
    return aNow - aKind.requestedAt <= kRecentRequest &&
           (aKind.urgency < aRequest.urgency || (late && aKind.isOf(aRequest)));
  };
  std::uint32_t levels = 0;
  for (const Kind& kind : *kinds) {
    levels |= needsHeadroom(kind) ? levelBit(kind.urgency) : 0;
  }
  for (const Kind& kind : *kinds) {
    const PaceCause cause = needsHeadroom(kind)
                              ? checkHeadroom(aRequest, kind, aForecast, levels)
                              : PaceCause::None;
    if (cause != PaceCause::None) {
      return cause;
    }
  }
  return PaceCause::None;
}

bool
PaceGate::isBehindHeld(const PaceRequest& aRequest) const
{
  const Kinds* kinds = this->kindsOf(aRequest);
  return kinds != nullptr &&
         std::any_of(kinds->begin(), kinds->end(), [&](const Kind& aKind) {
           if (aKind.lastHeldRound != this->round) {
             return false;
           }
           if (aRequest.beyondShare) {
             return true;
           }
           const bool behindLate =
             aKind.heldLatePrompt <= aRequest.promptTokens &&
             willBeLate(aRequest, aKind.heldLateFirstEvent);
           const bool behindSmaller =
             std::min(aKind.heldPrompt, aKind.heldLatePrompt) <=
             aRequest.promptTokens;
           return (aKind.urgency < aRequest.urgency && behindSmaller) ||
                  (aKind.isOf(aRequest) &&
                   (aKind.heldPrompt <= aRequest.promptTokens || behindLate));
         });
}

PaceVerdict
PaceGate::onHeldBack(const PaceRequest& aRequest,
                     const PaceForecast& aForecast,
                     PaceCause aCause)
{
  const auto service = this->services.find(aRequest.service);
  if (service != this->services.end() && !aRequest.beyondShare) {
    for (Kind& kind : service->second) {
      if (!kind.isOf(aRequest)) {
        continue;
      }
      if (kind.lastHeldRound != this->round) {
        kind.lastHeldRound = this->round;
        kind.heldPrompt = kNoneHeld;
        kind.heldLatePrompt = kNoneHeld;
        kind.heldLateFirstEvent = Duration::max();
      }
      if (willBeLate(aRequest, aForecast.firstEvent)) {
        kind.heldLatePrompt =
          std::min(kind.heldLatePrompt, aRequest.promptTokens);
        kind.heldLateFirstEvent =
          std::min(kind.heldLateFirstEvent, aForecast.firstEvent);
      } else {
        kind.heldPrompt = std::min(kind.heldPrompt, aRequest.promptTokens);
      }
    }
  }
  const Duration left = aRequest.maxWait - aRequest.waited;
  // A path works off at most a second of its queue in a second.
  const bool tooLong =
    aCause == PaceCause::FirstEvent &&
    aForecast.firstEvent -
        limitOf(aRequest.objective, aForecast.idleFirstEvent) >
      left;
  return left <= Duration{ 0 } || tooLong ? PaceVerdict::Refuse
                                          : PaceVerdict::Wait;
}

PaceVerdict
PaceGate::verdictBehindHeld(const PaceRequest& aRequest)
{
  return aRequest.waited >= aRequest.maxWait ? PaceVerdict::Refuse
                                             : PaceVerdict::Wait;
}

} // namespace poplartrack
