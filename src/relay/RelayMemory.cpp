// What the relay holds in memory for slow callers and replicas, and its limit.

#include <algorithm>

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
    bytes += caller->input.size() + caller->output.held() +
             std::max(caller->parser->unreadBody().size(), caller->announced);
  }
  for (const auto& [id, connection] : this->connections) {
    bytes += connection->input.size() + connection->output.held();
    bytes += connection->parser ? connection->parser->unreadBody().size() : 0;
  }
  for (const auto& [id, exchange] : this->exchanges) {
    bytes += exchange->body.size();
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
  const std::size_t received = aCaller.parser->unreadBody().size();
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

/** Returns the connection with the largest unfinished answer, or null. */
ReplicaConnection*
RelayLoop::Impl::largestAnswer() const
{
  ReplicaConnection* largest = nullptr;
  std::size_t most = kSmallMessage;
  for (const auto& [id, connection] : this->connections) {
    const std::size_t size =
      connection->parser ? connection->parser->unreadBody().size() : 0;
    if (size > most) {
      most = size;
      largest = connection.get();
    }
  }
  return largest;
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
 * the largest unfinished one, so that one ends. There is none while answers
 * that only wait for their callers reach the limit alone: they need no replica
 * to end, and each further answer that is read would add to them. */
const ReplicaConnection*
RelayLoop::Impl::answerToFinish() const
{
  return this->countUnwritten() < this->heldLimit() ? this->largestAnswer()
                                                    : nullptr;
}

/** Stops reading a large answer while too much is held, until other answers
 * have been written to their callers. */
void
RelayLoop::Impl::pauseIfTooMuchHeld(ReplicaConnection& aConnection)
{
  const bool isLarge = aConnection.parser->unreadBody().size() > kSmallMessage;
  if (aConnection.readPaused || !isLarge || !this->holdsTooMuch(0) ||
      this->answerToFinish() == &aConnection) {
    return;
  }
  aConnection.readPaused = true;
  this->shared.metrics.count("answers_paused_total");
  this->updateReplicaInterest(aConnection);
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
    if (connection->readPaused && (hasRoom || connection.get() == toFinish)) {
      connection->readPaused = false;
      this->updateReplicaInterest(*connection);
    }
  }
}

} // namespace poplartrack
