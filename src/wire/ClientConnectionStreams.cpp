// Callbacks of nghttp2 for the streams of a ClientConnection.

#include "ClientConnection.h"

#include <utility>

namespace poplartrack {
namespace {

constexpr std::string_view kAccepted = "200";

/** Returns the outcome of a call whose stream was closed on a connection that
 * stays open. The peer handles a call only after its last byte. */
CallOutcome
outcomeOf(const ClientCall& aCall, std::uint32_t aCode)
{
  if (aCode == NGHTTP2_REFUSED_STREAM) {
    return CallOutcome::NotSent;
  }
  if (aCall.replyEnded && aCall.accepted && aCode == NGHTTP2_NO_ERROR) {
    return CallOutcome::Replied;
  }
  return aCall.source.ended() ? CallOutcome::Unknown : CallOutcome::NotSent;
}

} // namespace

ClientCall*
ClientConnection::find(std::int32_t aStream)
{
  const auto found = this->calls.find(aStream);
  return found == this->calls.end() ? nullptr : &found->second;
}

void
ClientConnection::onStatus(std::int32_t aStream, std::string_view aStatus)
{
  if (ClientCall* call = this->find(aStream)) {
    call->accepted = aStatus == kAccepted;
  }
}

void
ClientConnection::onData(std::int32_t aStream, std::string_view aBytes)
{
  ClientCall* call = this->find(aStream);
  if (call == nullptr || call->replyTooLarge) {
    return;
  }
  if (call->reply.size() + aBytes.size() > this->limits.maxFrameBytes) {
    call->replyTooLarge = true;
    this->http2.reset(aStream, NGHTTP2_CANCEL);
    return;
  }
  call->reply += aBytes;
}

void
ClientConnection::onEnd(std::int32_t aStream)
{
  if (ClientCall* call = this->find(aStream)) {
    call->replyEnded = !call->replyTooLarge;
  }
}

void
ClientConnection::onClose(std::int32_t aStream, std::uint32_t aCode)
{
  auto node = this->calls.extract(aStream);
  if (node.empty()) {
    return;
  }
  ClientCall& call = node.mapped();
  const CallOutcome outcome = outcomeOf(call, aCode);
  std::string detail;
  if (call.replyTooLarge) {
    detail = "the reply is over the limit";
  } else if (outcome != CallOutcome::Replied) {
    detail = nghttp2_http2_strerror(aCode);
  }
  this->end(std::move(call), outcome, std::move(detail));
}

ssize_t
ClientConnection::readBody(std::int32_t aStream,
                           std::span<std::uint8_t> aRoom,
                           std::uint32_t& aFlags)
{
  ClientCall* call = this->find(aStream);
  if (call == nullptr) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  const std::size_t size = call->source.read(aRoom, this->http2.queuedBytes());
  if (call->source.ended()) {
    aFlags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(size);
}

} // namespace poplartrack
