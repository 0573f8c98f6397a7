// Admission by pace: whether a path is fast enough for one more request, and
// how many requests may wait for one.

#include <algorithm>

#include "QueueWait.h"
#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** Pauses count as samples for this long after the first event. Later ones were
 * forecast at another load of the path. */
constexpr Duration kPauseSampleTime = std::chrono::milliseconds{ 500 };

/** Replicas with at least this share of the most prompt tokens in prefill on a
 * path are avoided when a faster path is looked for. */
constexpr double kBusyShare = 0.5;

constexpr std::int64_t kMicrosPerMs = 1000;

std::string
msText(Duration aDuration)
{
  return std::to_string(aDuration.count() / kMicrosPerMs) + " ms";
}

} // namespace

/** Returns whether the pace gate decides about the request. A started stream is
 * never held back, also if its caller resumes it by a new request. Neither is a
 * request that may have run, since its refusal would leave the outcome unknown.
 */
bool
RelayLoop::Impl::isPaced(const Exchange& aExchange) const
{
  return this->settings.load.paceAdmission && aExchange.service != nullptr &&
         aExchange.service->engine && !aExchange.answering &&
         !aExchange.lastEvent && aExchange.runs == 0 && !aExchange.doubt;
}

/** Describes the request to the pace gate. */
PaceRequest
RelayLoop::Impl::paceRequestOf(const Exchange& aExchange) const
{
  const RelayRoute& route = *aExchange.route;
  PaceRequest request;
  request.service = aExchange.service->name;
  request.route = route.name;
  request.urgency = urgencyOf(aExchange);
  request.promptTokens = aExchange.need.prompt;
  request.objective = route.objective;
  request.maxPause = route.maxPause;
  request.waited = aExchange.waitingSince ? this->now - *aExchange.waitingSince
                                          : Duration{ 0 };
  request.maxWait = longestWaitOf(aExchange);
  request.beyondShare = aExchange.beyondShare;
  return request;
}

/** Returns the corrected forecast for one more request on a path. */
PaceForecast
RelayLoop::Impl::paceForecastOf(const LayerPath& aPath) const
{
  const bool idle = std::all_of(
    aPath.parts.begin(), aPath.parts.end(), [this](const PathPart& aPart) {
      return this->loads.at(aPart.replica).requests == 0;
    });
  return paceForecast(
    aPath,
    this->paceState.estimate.at(aPath.parts.front().replica, this->now),
    kTokensPerEvent,
    idle);
}

/** Records the request with the pace gate. Returns an error if it needs no
 * search for a path in this round, because one that goes before it was held
 * back. */
std::optional<Error>
RelayLoop::Impl::checkOrder(Exchange& aExchange)
{
  if (!this->isPaced(aExchange)) {
    return std::nullopt;
  }
  const PaceRequest request = this->paceRequestOf(aExchange);
  this->paceState.gate.onRequest(request, this->now);
  if (!this->paceState.gate.isBehindHeld(request)) {
    return std::nullopt;
  }
  return this->holdBack(
    aExchange, {}, PaceCause::Order, PaceGate::verdictBehindHeld(request));
}

/** Returns the path if it is fast enough for the request, or another one that
 * is, or an error by which the request waits or is refused. */
Result<AttemptTarget>
RelayLoop::Impl::admitByPace(Exchange& aExchange, AttemptTarget aTarget)
{
  if (!this->isPaced(aExchange)) {
    return aTarget;
  }
  const PaceRequest request = this->paceRequestOf(aExchange);
  const PaceForecast forecast = this->paceForecastOf(aTarget.path);
  const PaceCause cause =
    this->paceState.gate.check(request, forecast, this->now);
  if (cause != PaceCause::None) {
    Result<AttemptTarget> other = this->chooseFasterPath(aExchange, aTarget);
    if (!other) {
      return this->holdBack(
        aExchange,
        forecast,
        cause,
        this->paceState.gate.onHeldBack(request, forecast, cause));
    }
    this->shared.metrics.count("pace_other_paths_total");
    aTarget = std::move(other.value());
  }
  return aTarget;
}

/** Records that the request has been started, for the limit of the wait queue.
 * Called when its first byte has been sent to a replica. A request that was
 * refused there and waits again is started anew; one that is sent elsewhere at
 * once is not. */
void
RelayLoop::Impl::recordStart(Exchange& aExchange)
{
  if (aExchange.startRecorded || !this->isPaced(aExchange)) {
    return;
  }
  aExchange.startRecorded = true;
  this->paceState.queueBound.onStart(aExchange.service->name, this->now);
  this->shared.metrics.count("queue_starts_total");
}

/** Looks for a path that is fast enough without the parts of a path that make
 * it slow: those with the most prompt tokens in prefill and, if the path is too
 * slow only with its correction, the first replica, which has it. */
Result<AttemptTarget>
RelayLoop::Impl::chooseFasterPath(const Exchange& aExchange,
                                  const AttemptTarget& aSlow)
{
  double most = 0;
  for (const PathPart& part : aSlow.path.parts) {
    most = std::max(most, this->loads.at(part.replica).prefillTokens);
  }
  std::set<std::string> avoided;
  for (const PathPart& part : aSlow.path.parts) {
    const double prefill = this->loads.at(part.replica).prefillTokens;
    if (prefill > 0 && prefill >= kBusyShare * most) {
      avoided.insert(part.replica);
    }
  }
  const PaceRequest request = this->paceRequestOf(aExchange);
  const PaceForecast uncorrected =
    paceForecast(aSlow.path, {}, kTokensPerEvent, false);
  if (avoided.empty() ||
      this->paceState.gate.check(request, uncorrected, this->now) ==
        PaceCause::None) {
    avoided.insert(aSlow.replica);
  }
  Result<AttemptTarget> other = this->choosePath(aExchange, {}, avoided);
  if (!other) {
    return other;
  }
  const PaceCause cause = this->paceState.gate.check(
    request, this->paceForecastOf(other.value().path), this->now);
  if (cause != PaceCause::None) {
    return Error{ ErrorKind::Overloaded, std::string{ nameOf(cause) } };
  }
  return other;
}

/** Records that the pace gate holds the request back, and returns the error by
 * which it waits or is refused. */
Error
RelayLoop::Impl::holdBack(Exchange& aExchange,
                          const PaceForecast& aForecast,
                          PaceCause aCause,
                          PaceVerdict aVerdict)
{
  const std::size_t queue = this->waiting.lengthOf(aExchange.service->name);
  const RelayRoute& route = *aExchange.route;
  const bool refused = aVerdict == PaceVerdict::Refuse;
  aExchange.paceRefused = refused;
  if (aCause != PaceCause::Order) {
    aExchange.pace = aForecast;
  }
  if (refused) {
    this->shared.metrics.count("pace_refusals_total");
  } else if (!aExchange.paceHeld) {
    this->shared.metrics.count("pace_waits_total");
    this->shared.log.write(
      LogLine{ LogPart::Path, "held" }
        .with("id", aExchange.requestId)
        .with("cause", nameOf(aCause))
        .with("first_ms", aForecast.firstEvent.count() / kMicrosPerMs)
        .with("queued_ms", aForecast.queued.count() / kMicrosPerMs)
        .with("pause_ms", aForecast.pause.count() / kMicrosPerMs)
        .with("objective_ms", route.objective.count() / kMicrosPerMs)
        .with("max_pause_ms", route.maxPause.count() / kMicrosPerMs)
        .with("queue", static_cast<std::int64_t>(queue)));
  }
  aExchange.paceHeld = true;
  return Error{ ErrorKind::Overloaded,
                "too slow (" + std::string{ nameOf(aCause) } +
                  "): " + this->paceText(aExchange) };
}

/** Formats the last forecast of the request, its limits and its queue. */
std::string
RelayLoop::Impl::paceText(const Exchange& aExchange) const
{
  const RelayRoute& route = *aExchange.route;
  const std::string known =
    aExchange.pace ? "first event after " + msText(aExchange.pace->firstEvent) +
                       ", pauses of " + msText(aExchange.pace->pause)
                   : "no forecast";
  return known + "; objective " + msText(route.objective) + ", longest pause " +
         msText(route.maxPause) + "; " +
         std::to_string(this->waiting.lengthOf(aExchange.service->name)) +
         " requests wait";
}

/** Records how the first events and pauses of a stream compare with the
 * forecast. Called when an event was received, before it is recorded. A retry
 * or a repaired stream is left out: its times include a loss. The times at
 * which this relay sent and read are known up to the length of the iterations
 * of its loop in which it did. */
void
RelayLoop::Impl::recordPace(const Exchange& aExchange)
{
  const bool isFirstAttempt =
    aExchange.sends == 1 && aExchange.runs == 0 && aExchange.repairs == 0;
  if (!this->settings.load.paceAdmission || !isFirstAttempt ||
      aExchange.path.parts.empty()) {
    return;
  }
  const PaceForecast forecast =
    paceForecast(aExchange.path, {}, kTokensPerEvent, false);
  const Duration ownDelay = aExchange.progressDelay + this->readDelay;
  if (!aExchange.runningSince) {
    this->paceState.estimate.addFirstEvent(aExchange.replica,
                                           forecast.firstEvent,
                                           this->now - aExchange.sentAt,
                                           ownDelay,
                                           this->now);
  } else if (this->now - *aExchange.runningSince <= kPauseSampleTime) {
    this->paceState.estimate.addPause(aExchange.replica,
                                      forecast.pause,
                                      this->now - aExchange.lastProgress,
                                      ownDelay,
                                      this->now);
  }
}

/** Refuses the requests that wait beyond what can be started within the longest
 * wait; WaitQueue::lastOf() gives their order. */
void
RelayLoop::Impl::refuseOverLimit()
{
  if (!this->settings.load.paceAdmission) {
    return;
  }
  for (const auto& [service, length] : this->waiting.lengths()) {
    std::size_t overLimit = this->paceState.queueBound.requestsOverLimit(
      service, length, kMaxQueueWait, this->now);
    for (; overLimit > 0; --overLimit) {
      const auto last = this->waiting.lastOf(service);
      const auto found =
        last ? this->exchanges.find(*last) : this->exchanges.end();
      if (found == this->exchanges.end()) {
        break;
      }
      Exchange& exchange = *found->second;
      this->shared.metrics.count("queue_evictions_total");
      this->refuse(
        exchange,
        Error{ ErrorKind::Overloaded,
               "the wait queue is too long: " + this->paceText(exchange) },
        exchange.runs == 0);
    }
  }
}

} // namespace poplartrack
