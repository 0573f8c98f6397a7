// What the relay holds in memory for slow callers and replicas, and its limit.

#include <algorithm>
#include <limits>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** Share of the process's memory that requests and answers may take. The rest
 * is for the growth of buffers, the replica list and the configuration. */
constexpr double kHeldShare = 0.4;

/** Reading of answers that was paused goes on below this share of the limit. */
constexpr double kResumeShare = 0.75;

/** Requests and answers up to this size are always read: callers of other
 * services must not suffer from large ones. */
constexpr std::size_t kSmallMessage = std::size_t{ 16 } * 1024;

/** Most bytes of a stream that wait for its caller. More are not read from the
 * replica. */
constexpr std::size_t kMaxUnreadStream = std::size_t{ 256 } * 1024;

constexpr std::size_t kBytesPerMb = std::size_t{ 1024 } * 1024;

} // namespace

std::size_t
RelayLoop::Impl::heldLimit() const
{
  return static_cast<std::size_t>(kHeldShare * this->settings.memoryMb) *
         kBytesPerMb;
}

/** Returns the bytes that are held for callers and replicas; of a request that
 * is being received, as many as it announces. */
std::size_t
RelayLoop::Impl::countHeld() const
{
  std::size_t bytes = 0;
  for (const auto& [id, caller] : this->callers) {
    const std::size_t body = caller->parser ? caller->parser->unreadBytes() : 0;
    bytes += caller->input.size() + caller->output.held() +
             std::max(body, caller->announced);
  }
  for (const auto& [id, connection] : this->connections) {
    bytes += connection->input.size() + connection->output.held();
    bytes += connection->parser ? connection->parser->unreadBytes() : 0;
  }
  for (const auto& [id, exchange] : this->exchanges) {
    bytes += exchange->body.size() + exchange->splitter.partialBytes();
    if (exchange->replaced) {
      bytes += exchange->replaced->attempt.splitter.partialBytes();
    }
  }
  return bytes;
}

/** Returns whether aMore bytes would exceed the limit of what is held. */
bool
RelayLoop::Impl::holdsTooMuch(std::size_t aMore)
{
  if (this->held + aMore < this->heldLimit()) {
    return false;
  }
  this->held = this->countHeld();
  return this->held + aMore >= this->heldLimit();
}

/** Returns whether there is memory for the request that a caller is sending.
 * Its announced length is set aside. */
bool
RelayLoop::Impl::hasMemoryFor(CallerConnection& aCaller)
{
  const std::uint64_t length = aCaller.parser->content_length().value_or(0);
  const std::size_t received = aCaller.parser->unreadBytes();
  const std::size_t size = std::max(static_cast<std::size_t>(length), received);
  if (size <= kSmallMessage || aCaller.announced >= size) {
    return true;
  }
  if (this->holdsTooMuch(size - aCaller.announced)) {
    return false;
  }
  this->held += size - aCaller.announced;
  aCaller.announced = size;
  return true;
}

/** Returns the bytes that are held of an answer or event that is not complete.
 */
std::size_t
RelayLoop::Impl::unfinishedBytes(const ReplicaConnection& aConnection) const
{
  const auto exchange = this->exchanges.find(aConnection.exchange);
  const bool isCurrent = exchange != this->exchanges.end() &&
                         exchange->second->connection == aConnection.id;
  const std::size_t event =
    isCurrent ? exchange->second->splitter.partialBytes() : 0;
  return event + (aConnection.parser ? aConnection.parser->unreadBytes() : 0);
}

/** Returns the connection with the large unfinished answer that should end
 * first, or null: the one with the fewest announced bytes to come, since an
 * answer without a length may never end; else the largest. */
const ReplicaConnection*
RelayLoop::Impl::nextToFinish() const
{
  const ReplicaConnection* largest = nullptr;
  std::size_t most = kSmallMessage;
  const ReplicaConnection* shortest = nullptr;
  std::uint64_t least = std::numeric_limits<std::uint64_t>::max();
  for (const auto& [id, connection] : this->connections) {
    const std::size_t size = this->unfinishedBytes(*connection);
    if (size <= kSmallMessage) {
      continue;
    }
    if (size > most) {
      most = size;
      largest = connection.get();
    }
    const std::uint64_t announced = announcedBytes(*connection->parser);
    if (announced > size && announced - size < least) {
      least = announced - size;
      shortest = connection.get();
    }
  }
  return shortest != nullptr ? shortest : largest;
}

/** Returns the bytes of answers that their callers have not read yet. */
std::size_t
RelayLoop::Impl::countUnwritten() const
{
  std::size_t bytes = 0;
  for (const auto& [id, caller] : this->callers) {
    bytes += caller->output.held();
  }
  return bytes;
}

/** Returns the answer that is read although too much is held, or null. It is
 * one unfinished answer, so that one ends: at its end, or at its limit. There
 * is none while answers that only wait for their callers reach the limit alone:
 * they need no replica to end, and each further answer that is read would add
 * to them. */
const ReplicaConnection*
RelayLoop::Impl::answerToFinish() const
{
  return this->countUnwritten() < this->heldLimit() ? this->nextToFinish()
                                                    : nullptr;
}

/** Returns the caller of the request in progress on a connection, or null. */
CallerConnection*
RelayLoop::Impl::callerOf(const ReplicaConnection& aConnection) const
{
  const auto exchange = this->exchanges.find(aConnection.exchange);
  if (exchange == this->exchanges.end()) {
    return nullptr;
  }
  const auto caller = this->callers.find(exchange->second->caller);
  return caller == this->callers.end() ? nullptr : caller->second.get();
}

/** Returns whether the caller of a stream has left so much unread that its
 * replica has to wait. */
bool
RelayLoop::Impl::callerLags(const ReplicaConnection& aConnection)
{
  const CallerConnection* caller = this->callerOf(aConnection);
  if (caller == nullptr ||
      !this->exchanges.at(aConnection.exchange)->streaming) {
    return false;
  }
  const std::size_t unread = caller->output.size();
  return unread > kMaxUnreadStream ||
         (unread > kSmallMessage && this->holdsTooMuch(0));
}

/** Returns why no more may be read from a replica now. */
ReadPause
RelayLoop::Impl::pauseDue(const ReplicaConnection& aConnection)
{
  if (aConnection.periodBytes > BulkReads::kFreeBytes &&
      this->bulkReads.exhausted()) {
    return ReadPause::Time;
  }
  if (this->callerLags(aConnection)) {
    return ReadPause::Caller;
  }
  const bool isLarge = this->unfinishedBytes(aConnection) > kSmallMessage;
  return isLarge && this->holdsTooMuch(0) &&
             this->answerToFinish() != &aConnection
           ? ReadPause::Memory
           : ReadPause::None;
}

/** Stops reading from a replica if that has to wait for time, for the caller of
 * the stream, or for memory. */
void
RelayLoop::Impl::pauseIfDue(ReplicaConnection& aConnection)
{
  const ReadPause due = this->pauseDue(aConnection);
  if (due == ReadPause::None || aConnection.pause != ReadPause::None) {
    return;
  }
  aConnection.pause = due;
  this->updateReplicaInterest(aConnection);
  switch (due) {
    case ReadPause::Memory:
      this->shared.metrics.count("answers_paused_total");
      break;
    case ReadPause::Time:
      this->shared.metrics.count("bulk_reads_paused_total");
      break;
    case ReadPause::Caller:
      this->shared.metrics.count("streams_paused_total");
      this->callerOf(aConnection)->pausesStream = true;
      break;
    case ReadPause::Replaced:
    case ReadPause::None:
      break;
  }
}

void
RelayLoop::Impl::resumeReading(ReplicaConnection& aConnection)
{
  aConnection.pause = ReadPause::None;
  this->updateReplicaInterest(aConnection);
}

/** Reads the stream for a caller again once the caller has read most of it. */
void
RelayLoop::Impl::resumeStreamFor(CallerConnection& aCaller)
{
  if (!aCaller.pausesStream || aCaller.output.size() > kSmallMessage / 2) {
    return;
  }
  aCaller.pausesStream = false;
  const auto exchange = this->exchanges.find(aCaller.exchange);
  if (exchange == this->exchanges.end()) {
    return;
  }
  const auto connection = this->connections.find(exchange->second->connection);
  if (connection != this->connections.end() &&
      connection->second->pause == ReadPause::Caller) {
    this->resumeReading(*connection->second);
  }
}

/** Counts what is held, and reads paused answers again: all if there is room,
 * else the one to finish. */
void
RelayLoop::Impl::refreshHeld()
{
  this->held = this->countHeld();
  this->shared.metrics.set("held_bytes", static_cast<std::int64_t>(this->held));
  const auto limit = static_cast<double>(this->heldLimit());
  const bool hasRoom = static_cast<double>(this->held) < kResumeShare * limit;
  const ReplicaConnection* toFinish = this->answerToFinish();
  for (const auto& [id, connection] : this->connections) {
    if (connection->pause == ReadPause::Memory &&
        (hasRoom || connection.get() == toFinish)) {
      this->resumeReading(*connection);
    }
  }
}

} // namespace poplartrack
