#include "ServerConnection.h"

#include <algorithm>
#include <utility>

namespace poplartrack {
namespace {

/** How long a draining connection without calls waits for the peer to close it.
 * Closing it first could reset it and lose a reply that the peer has not read.
 */
constexpr Duration kLinger = std::chrono::seconds{ 1 };

constexpr std::uint64_t kFrameHeaderSize = 9;

} // namespace

ServerConnection::ServerConnection(std::uint64_t aId,
                                   OwnedFd aFd,
                                   ServerShared& aShared,
                                   TimePoint aNow)
  : id(aId)
  , shared(aShared)
  , http2(*this, std::move(aFd))
  , keepAlive(aShared.limits.pingInterval, aShared.limits.pingTimeout)
  , now(aNow)
  , lastCallAt(aNow)
{
}

ServerConnection::~ServerConnection()
{
  for (const auto& [stream, call] : this->calls) {
    this->shared.bufferedBytes -= call.body.size();
    if (!call.reply.ended()) {
      --this->shared.openCalls;
    }
  }
  this->shared.openCalls -= this->unwritten.size();
}

bool
ServerConnection::open()
{
  const StreamServerLimits& limits = this->shared.limits;
  return this->http2.open(
    Http2Role::Server,
    Http2Bounds{ limits.maxStreamsPerConnection, limits.maxFrameBytes });
}

void
ServerConnection::onReady(const ReadyEvent& aEvent, TimePoint aNow)
{
  this->now = aNow;
  if (!aEvent.readable) {
    return;
  }
  this->keepAlive.heard(aNow);
  if (!this->http2.receive()) {
    this->isClosed = true;
  }
}

void
ServerConnection::onTimer(TimePoint aNow)
{
  this->now = aNow;
  if (aNow < this->nextTimer()) {
    return;
  }
  if (!this->idle()) {
    const KeepAlive::Step step = this->keepAlive.check(aNow);
    if (step == KeepAlive::Step::Ping) {
      this->http2.ping();
    }
    this->isClosed = this->isClosed || step == KeepAlive::Step::Dead;
    return;
  }
  if (this->leavingSince) {
    this->isClosed = true;
    return;
  }
  this->drain(aNow);
}

TimePoint
ServerConnection::nextTimer() const
{
  if (!this->idle()) {
    return this->keepAlive.next();
  }
  if (this->leavingSince) {
    return std::max(*this->leavingSince, this->lastCallAt) + kLinger;
  }
  return this->lastCallAt + this->shared.limits.idleTimeout;
}

void
ServerConnection::drain(TimePoint aNow)
{
  if (this->leavingSince) {
    return;
  }
  this->leavingSince = aNow;
  this->http2.goAway();
}

void
ServerConnection::transmit()
{
  if (this->isClosed) {
    return;
  }
  // A session that ended although this side did not close it has detected a
  // protocol error.
  const bool alive =
    this->http2.transmit() && (this->leavingSince || !this->http2.finished());
  this->isClosed = !alive;
  this->countWritten();
}

void
ServerConnection::countWritten()
{
  const std::uint64_t sent = this->http2.sentBytes();
  while (!this->unwritten.empty() && this->unwritten.front() <= sent) {
    this->unwritten.pop_front();
    --this->shared.openCalls;
  }
}

void
ServerConnection::onOpen(std::int32_t aStream)
{
  if (this->leavingSince) {
    // Until GOAWAY has been written, nghttp2 still accepts streams, which the
    // peer will consider as not handled.
    this->http2.reset(aStream, NGHTTP2_REFUSED_STREAM);
    return;
  }
  this->calls.emplace(aStream, Call{});
  ++this->shared.openCalls;
}

void
ServerConnection::onData(std::int32_t aStream, std::string_view aBytes)
{
  const auto found = this->calls.find(aStream);
  if (found == this->calls.end()) {
    return;
  }
  std::string& body = found->second.body;
  const StreamServerLimits& limits = this->shared.limits;
  if (body.size() + aBytes.size() > limits.maxFrameBytes ||
      this->shared.bufferedBytes + aBytes.size() > limits.maxBufferedBytes) {
    this->refuse(aStream);
    return;
  }
  body += aBytes;
  this->shared.bufferedBytes += aBytes.size();
}

/** Rejects a call; REFUSED_STREAM shows the peer that it was not handled. */
void
ServerConnection::refuse(std::int32_t aStream)
{
  this->forget(aStream);
  this->http2.reset(aStream, NGHTTP2_REFUSED_STREAM);
}

void
ServerConnection::onEnd(std::int32_t aStream)
{
  const auto found = this->calls.find(aStream);
  if (found == this->calls.end()) {
    return;
  }
  Call& call = found->second;
  if (this->idle()) {
    this->keepAlive.heard(this->now);
  }
  call.handed = true;
  ++this->handedCalls;
  this->lastCallAt = this->now;
  std::string frame = std::exchange(call.body, {});
  this->shared.bufferedBytes -= frame.size();
  this->shared.handler(
    std::move(frame),
    [replies = this->shared.replies, connection = this->id, aStream](
      std::string aReply) {
      PendingReply pending{ connection, aStream, std::move(aReply) };
      replies->push(pending);
    });
}

void
ServerConnection::reply(std::int32_t aStream, std::string aFrame)
{
  const auto found = this->calls.find(aStream);
  if (found == this->calls.end() || found->second.answered) {
    return;
  }
  Call& call = found->second;
  call.answered = true;
  if (aFrame.size() > this->shared.limits.maxFrameBytes) {
    this->http2.reset(aStream, NGHTTP2_INTERNAL_ERROR);
    return;
  }
  call.reply = FrameSource{ std::move(aFrame) };
  if (!this->http2.submitReply(aStream)) {
    this->http2.reset(aStream, NGHTTP2_INTERNAL_ERROR);
  }
}

void
ServerConnection::onClose(std::int32_t aStream, std::uint32_t)
{
  this->forget(aStream);
}

void
ServerConnection::forget(std::int32_t aStream)
{
  const auto node = this->calls.extract(aStream);
  if (node.empty()) {
    return;
  }
  const Call& call = node.mapped();
  this->shared.bufferedBytes -= call.body.size();
  if (call.handed) {
    --this->handedCalls;
    this->lastCallAt = this->now;
  }
  if (!call.reply.ended()) {
    --this->shared.openCalls;
  }
}

ssize_t
ServerConnection::readBody(std::int32_t aStream,
                           std::span<std::uint8_t> aRoom,
                           std::uint32_t& aFlags)
{
  const auto found = this->calls.find(aStream);
  if (found == this->calls.end()) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  FrameSource& source = found->second.reply;
  const std::uint64_t queued = this->http2.queuedBytes();
  const std::size_t size = source.read(aRoom, queued);
  if (source.ended()) {
    aFlags |= NGHTTP2_DATA_FLAG_EOF;
    this->unwritten.push_back(queued + kFrameHeaderSize + size);
  }
  return static_cast<ssize_t>(size);
}

} // namespace poplartrack
