// Streams: forwarding their events to the caller, and deciding whether they are
// complete.

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "HttpStatus.h"
#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** Formats one chunk of a chunked body. */
std::string
chunkOf(std::string_view aBytes)
{
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  std::string text{ size.data() };
  text.append(aBytes).append("\r\n");
  return text;
}

constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace

/** Returns whether an answer with this status is the stream of the exchange. */
bool
RelayLoop::Impl::isStream(const Exchange& aExchange, int aStatus)
{
  return aExchange.streaming && isSuccess(aStatus);
}

/** Forwards the part of a stream that has been received. Other answers are
 * forwarded whole, by onAnswerDone. */
void
RelayLoop::Impl::onAnswerBody(Exchange& aExchange,
                              ReplicaConnection& aConnection)
{
  if (isStream(aExchange, aConnection.parser->head().status)) {
    const std::string bytes = aConnection.parser->takeBody();
    this->forwardEvents(aExchange, takeNewEvents(aExchange, bytes), false);
    return;
  }
  this->recordProgress(aExchange);
}

/** Returns the complete events among the bytes that the caller does not have
 * yet, as received. */
std::string
RelayLoop::Impl::takeNewEvents(Exchange& aExchange, std::string_view aBytes)
{
  std::string text;
  for (const StreamEvent& event : aExchange.splitter.feed(aBytes)) {
    // A resumed run may repeat events that the caller has already received.
    if (event.id && aExchange.lastEvent && *event.id <= *aExchange.lastEvent) {
      continue;
    }
    if (event.id) {
      aExchange.lastEvent = event.id;
    }
    aExchange.hasUnnumberedEvent =
      aExchange.hasUnnumberedEvent || (event.hasData && !event.id);
    if (event.hasData || event.id) {
      ++aExchange.attemptEvents;
      aExchange.hasLostPartialEvent = false;
    }
    ++aExchange.events;
    text.append(event.bytes);
  }
  return text;
}

/** Returns whether a stream whose body has ended in the regular way is
 * complete. A replica may stop inside an event, or before the first one. A run
 * that goes on after an event and brings none says that there are no more; that
 * is true if another replica says so, too. */
bool
RelayLoop::Impl::isCompleteStream(Exchange& aExchange)
{
  if (!aExchange.splitter.endsBetweenEvents()) {
    return false;
  }
  if (aExchange.attemptEvents > 0) {
    return true;
  }
  return aExchange.lastEvent && !aExchange.hasLostPartialEvent &&
         aExchange.emptyEnds++ > 0;
}

/** Returns whether the end of the connection may be the end of the answer. A
 * stream without an event cannot be told from one whose replica crashed. */
bool
RelayLoop::Impl::mayEndAtClose(const Exchange& aExchange,
                               const ResponseParser& aParser)
{
  return !isStream(aExchange, aParser.head().status) ||
         (aExchange.attemptEvents > 0 &&
          aExchange.splitter.endsBetweenEvents());
}

/** Forwards events to the caller, the first ones with the head of the answer.
 * With aEnd, also ends the chunked body. */
void
RelayLoop::Impl::forwardEvents(Exchange& aExchange,
                               const std::string& aEvents,
                               bool aEnd)
{
  const auto caller = this->callers.find(aExchange.caller);
  if (caller == this->callers.end()) {
    return;
  }
  if (!aEvents.empty() || aEnd) {
    this->dropReplaced(aExchange);
  }
  std::string text;
  const bool first = !aExchange.answering;
  if (first && (!aEvents.empty() || aEnd)) {
    aExchange.answering = true;
    aExchange.firstEvent = this->now - aExchange.arrived;
    this->shared.metrics.observe("first_event_seconds", aExchange.firstEvent);
    const auto connection = this->connections.find(aExchange.connection);
    text = this->answerHead(aExchange,
                            connection->second->parser->head(),
                            "Transfer-Encoding: chunked\r\n");
  }
  if (!aEvents.empty()) {
    const bool firstOnPath = !aExchange.runningSince || aExchange.repairedAt;
    this->recordEventTime(aExchange);
    this->recordPace(aExchange);
    if (!aExchange.runningSince) {
      aExchange.runningSince = this->now;
      this->recordBegun(aExchange);
      this->recordAnswering(aExchange);
    }
    this->endPrefill(aExchange);
    this->recordRepairTime(aExchange);
    text.append(chunkOf(aEvents));
    this->recordProgress(aExchange);
    if (firstOnPath && this->settings.load.lossProbes) {
      // The timer was set by the forecast of the first event.
      this->armExchange(aExchange);
    }
  }
  if (aEnd) {
    text.append(kLastChunk);
  }
  if (!text.empty()) {
    this->sendToCaller(*caller->second, ByteBlocks{ std::move(text) });
  }
}

/** Records the arrival of events, and the pause of a stream that lost a replica
 * of its path before them. */
void
RelayLoop::Impl::recordEventTime(Exchange& aExchange)
{
  const bool lost = std::exchange(aExchange.disturbedByLoss, false);
  const bool first = !aExchange.eventTimes.last();
  const bool disturbed =
    lost || !aExchange.runningSince || aExchange.repairedAt.has_value();
  const Duration pause = aExchange.eventTimes.onEvents(this->now, disturbed);
  if (lost && !first) {
    this->shared.metrics.observe("loss_pause_seconds", pause);
  }
}

/** Returns the time since the last event of a stream, or since its attempt was
 * sent if it has none, in ms. */
std::int64_t
RelayLoop::Impl::lateMs(const Exchange& aExchange) const
{
  constexpr std::int64_t kMicrosPerMs = 1000;
  const TimePoint since =
    aExchange.eventTimes.last().value_or(aExchange.sentAt);
  return (this->now - since).count() / kMicrosPerMs;
}

/** Records the time from a repair to the first event after it. */
void
RelayLoop::Impl::recordRepairTime(Exchange& aExchange)
{
  if (!aExchange.repairedAt) {
    return;
  }
  const Duration duration = this->now - *aExchange.repairedAt;
  aExchange.repairedAt.reset();
  constexpr std::int64_t kMicrosPerMs = 1000;
  this->shared.metrics.observe("repair_seconds", duration);
  this->shared.log.write(LogLine{ LogPart::Path, "moves_again" }
                           .with("id", aExchange.requestId)
                           .with("after_ms", duration.count() / kMicrosPerMs));
}

/** Forwards the end of a stream whose body has ended. Returns false if the
 * stream is not complete, and its attempt has failed. */
bool
RelayLoop::Impl::endStream(Exchange& aExchange, ReplicaConnection& aConnection)
{
  const std::string bytes = aConnection.parser->takeBody();
  std::string events = takeNewEvents(aExchange, bytes);
  const bool isComplete = this->isCompleteStream(aExchange);
  if (isComplete) {
    events.append(aExchange.splitter.takePartial());
  }
  this->forwardEvents(aExchange, events, isComplete);
  if (!isComplete) {
    this->onAttemptFailed(aExchange,
                          ReplicaFailure::Faulty,
                          aExchange.splitter.endsBetweenEvents()
                            ? "ended without an event"
                            : "ended inside an event");
  }
  return isComplete;
}

} // namespace poplartrack
