// Replicas that fail the requests that begin there: keeping paths from
// beginning at them, and running such a request again elsewhere.

#include "HttpStatus.h"
#include "RelayLoopImpl.h"

namespace poplartrack {

/** Records that a request failed at the first replica of its path before its
 * first event. Failures in the middle of an answer have other causes, such as
 * a lost part of the path. */
void
RelayLoop::Impl::recordFailedStart(const Exchange& aExchange)
{
  if (!this->settings.load.outlierEjection || aExchange.path.parts.empty() ||
      aExchange.runningSince || !this->mayHaveRun(aExchange)) {
    return;
  }
  if (!this->outliers.onFailure(
        aExchange.replica, aExchange.sentAt, this->now)) {
    return;
  }
  this->shared.metrics.count("replica_ejections_total");
  this->shared.log.write(LogLine{ LogPart::Replicas, "ejected" }
                           .with("replica", aExchange.replica)
                           .with("id", aExchange.requestId));
  this->announceChange();
}

/** Records the first event of an attempt, or its successful answer if that is
 * no stream: its first replica serves requests. */
void
RelayLoop::Impl::recordAnswering(const Exchange& aExchange)
{
  if (this->outliers.onSuccess(aExchange.replica)) {
    this->shared.log.write(LogLine{ LogPart::Replicas, "readmitted" }.with(
      "replica", aExchange.replica));
  }
}

/** Ends ejections that no failed trial has confirmed, and forgets the reports
 * of silent peers. */
void
RelayLoop::Impl::expireEjections()
{
  for (const std::string& replica : this->outliers.expire(this->now)) {
    this->shared.log.write(
      LogLine{ LogPart::Replicas, "ejection_expired" }.with("replica",
                                                            replica));
  }
}

/** Returns whether a path of the request may begin at a replica: it is not
 * ejected, and has not failed or refused this request. */
bool
RelayLoop::Impl::mayBeginAt(const Exchange& aExchange,
                            const std::string& aReplica) const
{
  return !this->settings.load.outlierEjection ||
         (this->outliers.mayBegin(aReplica, this->now) &&
          !aExchange.avoid.contains(aReplica));
}

/** Returns whether a request that a replica answered with this error may run
 * again. A resumable stream without an event may: its caller has nothing of it.
 * Running it again after 504 would take longer than its deadline. */
bool
RelayLoop::Impl::mayRunAgain(const Exchange& aExchange, int aStatus)
{
  const RelayRoute& route = *aExchange.route;
  const bool isUnansweredStream =
    this->settings.load.outlierEjection && route.rule == RetryRule::Stream &&
    route.resumable && !aExchange.answering && aStatus != kGatewayTimeout;
  return route.rule == RetryRule::Idempotent || isUnansweredStream;
}

/** Adds the replicas that this relay has ejected to its status message. */
void
RelayLoop::Impl::addEjected(PeerStatus& aStatus) const
{
  static_assert(OutlierEjection::kMaxReported == kMaxEjectedRows);
  aStatus.ejected = this->outliers.report(this->now);
}

} // namespace poplartrack
