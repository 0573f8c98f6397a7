// Answers of replicas that exceed a bound, and the time that reads in bulk
// take.

#include <algorithm>

#include "RelayLoopImpl.h"

namespace poplartrack {

/** Returns the bound that the answer on a connection exceeds, if any. */
std::optional<AnswerExcess>
RelayLoop::Impl::excessIn(const Exchange& aExchange,
                          const ReplicaConnection& aConnection) const
{
  const ResponseParser& parser = *aConnection.parser;
  const bool hasBody = aExchange.head.method != "HEAD";
  AnswerProgress progress;
  progress.problem = parser.problem();
  progress.isStream = isStream(aExchange, parser.head().status);
  progress.isForeign = aConnection.discardingAnswer;
  progress.bodyBytes = std::max(
    parser.bodyBytes(), hasBody ? announcedBytes(parser) : std::uint64_t{ 0 });
  progress.partialEventBytes = aExchange.splitter.partialBytes();
  progress.interim = aConnection.interimAnswers;
  progress.foreign = aConnection.foreignAnswers;
  progress.foreignBytes =
    aConnection.foreignBytes +
    (aConnection.discardingAnswer ? parser.consumedBytes() : 0);
  return excessOf(progress, this->answerBounds);
}

/** Counts and logs an answer of a replica that exceeds a bound. aRequest: id of
 * the request; empty if the answer is to a status query. */
void
RelayLoop::Impl::countExcess(AnswerExcess aExcess,
                             const std::string& aReplica,
                             const std::string& aRequest)
{
  this->shared.metrics.countExcess(aExcess);
  LogLine line{ LogPart::Replicas, "answer_over_limit" };
  line.with("replica", aReplica).with("cause", nameOf(aExcess));
  if (!aRequest.empty()) {
    line.with("id", aRequest);
  }
  this->shared.log.write(line);
}

/** Ends the attempt of a request whose answer exceeds a bound. */
void
RelayLoop::Impl::onExcess(Exchange& aExchange, AnswerExcess aExcess)
{
  this->countExcess(aExcess, aExchange.replica, aExchange.requestId);
  this->recordFailedStart(aExchange);
  this->onAttemptFailed(aExchange, ReplicaFailure::Faulty, "answer over limit");
}

/** Counts received bytes. Returns whether this read is in bulk. */
bool
RelayLoop::Impl::countBulk(ReplicaConnection& aConnection, std::size_t aBytes)
{
  if (aConnection.period != this->bulkReads.period()) {
    aConnection.period = this->bulkReads.period();
    aConnection.periodBytes = 0;
  }
  aConnection.periodBytes += aBytes;
  return aConnection.periodBytes > BulkReads::kFreeBytes;
}

/** Begins a new period of reads in bulk, and reads paused answers again. */
void
RelayLoop::Impl::beginBulkPeriod()
{
  this->bulkReads.beginPeriod();
  for (const auto& [id, connection] : this->connections) {
    if (connection->pause == ReadPause::Time) {
      this->resumeReading(*connection);
    }
  }
}

} // namespace poplartrack
