#include "ClientConnection.h"

#include <algorithm>
#include <system_error>
#include <utility>

#include "poplartrack/base/TcpSocket.h"

namespace poplartrack {
namespace {

/** Streams that a server may open: none. */
constexpr std::size_t kNoStreams = 0;

} // namespace

ClientConnection::ClientConnection(OwnedFd aFd,
                                   const StreamClientLimits& aLimits,
                                   TimePoint aNow)
  : limits(aLimits)
  , http2(*this, std::move(aFd))
  , keepAlive(aLimits.pingInterval, aLimits.pingTimeout)
  , connectUntil(aNow + aLimits.connectTimeout)
  , now(aNow)
{
}

void
ClientConnection::add(ClientCall aCall, TimePoint aNow)
{
  this->now = aNow;
  if (this->state == State::Open) {
    this->submit(std::move(aCall));
    return;
  }
  this->waiting.push_back(std::move(aCall));
}

void
ClientConnection::submit(ClientCall aCall)
{
  if (this->calls.empty()) {
    this->keepAlive.heard(this->now);
  }
  const std::int32_t stream = this->http2.submitCall();
  if (stream < 0) {
    this->goneAway = true;
    this->end(std::move(aCall), CallOutcome::NotSent, "no stream is left");
    return;
  }
  this->streams.emplace(aCall.number, stream);
  this->calls.emplace(stream, std::move(aCall));
}

void
ClientConnection::onReady(const ReadyEvent& aEvent, TimePoint aNow)
{
  this->now = aNow;
  if (this->state == State::Connecting) {
    this->finishConnect();
    return;
  }
  if (!aEvent.readable || this->closed()) {
    return;
  }
  this->keepAlive.heard(aNow);
  if (!this->http2.receive()) {
    this->close("the peer closed the connection");
  }
}

void
ClientConnection::finishConnect()
{
  const int error = connectError(this->fd());
  if (error != 0) {
    this->close("connect: " + std::generic_category().message(error));
    return;
  }
  const Http2Bounds bounds{ kNoStreams, this->limits.maxFrameBytes };
  if (!this->http2.open(Http2Role::Client, bounds)) {
    this->close("nghttp2 gives no session");
    return;
  }
  this->state = State::Greeting;
}

void
ClientConnection::onSettings()
{
  if (this->state != State::Greeting) {
    return;
  }
  this->state = State::Open;
  this->everOpen = true;
  for (ClientCall& call : std::exchange(this->waiting, {})) {
    this->submit(std::move(call));
  }
}

void
ClientConnection::onTimer(TimePoint aNow)
{
  this->now = aNow;
  if (this->state == State::Connecting || this->state == State::Greeting) {
    if (aNow >= this->connectUntil) {
      this->closeSilent("the peer did not get ready in time");
    }
    return;
  }
  if (this->closed() || this->calls.empty()) {
    return;
  }
  switch (this->keepAlive.check(aNow)) {
    case KeepAlive::Step::Wait:
      return;
    case KeepAlive::Step::Ping:
      this->http2.ping();
      return;
    case KeepAlive::Step::Dead:
      this->closeSilent("the peer does not answer PING");
  }
}

std::optional<TimePoint>
ClientConnection::nextTimer() const
{
  if (this->state == State::Connecting || this->state == State::Greeting) {
    return this->connectUntil;
  }
  if (this->closed() || this->calls.empty()) {
    return std::nullopt;
  }
  return this->keepAlive.next();
}

void
ClientConnection::expire(std::uint64_t aNumber)
{
  constexpr const char* kDetail = "no reply in time";
  const auto found = this->streams.find(aNumber);
  if (found != this->streams.end()) {
    const std::int32_t stream = found->second;
    this->http2.reset(stream, NGHTTP2_CANCEL);
    ClientCall call = std::move(this->calls.extract(stream).mapped());
    // Without its call, the rest of the stream's body is not read: a call that
    // has not been sent completely by now will not be handled.
    const CallOutcome outcome =
      call.source.ended() ? CallOutcome::Unknown : CallOutcome::NotSent;
    this->endSilent(std::move(call), outcome, kDetail);
    return;
  }
  const auto waits = std::find_if(
    this->waiting.begin(),
    this->waiting.end(),
    [aNumber](const ClientCall& aCall) { return aCall.number == aNumber; });
  if (waits != this->waiting.end()) {
    ClientCall call = std::move(*waits);
    this->waiting.erase(waits);
    this->endSilent(std::move(call), CallOutcome::NotSent, kDetail);
  }
}

void
ClientConnection::transmit()
{
  if (this->state != State::Greeting && this->state != State::Open) {
    return;
  }
  if (!this->http2.transmit()) {
    this->close("the connection broke");
    return;
  }
  this->closeWhenDone();
}

void
ClientConnection::closeWhenDone()
{
  const bool left = this->goneAway && this->calls.empty();
  if (left || this->http2.finished()) {
    this->close("the peer ended the connection");
  }
}

void
ClientConnection::closeSilent(const std::string& aDetail)
{
  this->peerSilent = true;
  this->close(aDetail);
}

void
ClientConnection::close(const std::string& aDetail)
{
  if (this->closed()) {
    return;
  }
  this->state = State::Closed;
  for (ClientCall& call : std::exchange(this->waiting, {})) {
    this->end(std::move(call), CallOutcome::NotSent, aDetail);
  }
  // Nothing more is written: what the kernel has not accepted is never sent.
  const std::uint64_t sent = this->http2.sentBytes();
  for (auto& [stream, call] : std::exchange(this->calls, {})) {
    const CallOutcome outcome = call.source.endMayHaveLeft(sent)
                                  ? CallOutcome::Unknown
                                  : CallOutcome::NotSent;
    this->end(std::move(call), outcome, aDetail);
  }
}

bool
ClientConnection::wantsWrite() const
{
  return this->state == State::Connecting || this->http2.blocked();
}

std::vector<EndedCall>
ClientConnection::takeEnded()
{
  return std::exchange(this->ended, {});
}

void
ClientConnection::end(ClientCall aCall,
                      CallOutcome aOutcome,
                      std::string aDetail)
{
  this->streams.erase(aCall.number);
  CallResult result;
  result.outcome = aOutcome;
  result.detail = std::move(aDetail);
  result.silent = this->peerSilent;
  if (aOutcome == CallOutcome::Replied) {
    result.frame = std::move(aCall.reply);
  }
  this->ended.push_back(EndedCall{ std::move(aCall), std::move(result) });
}

void
ClientConnection::endSilent(ClientCall aCall,
                            CallOutcome aOutcome,
                            std::string aDetail)
{
  this->end(std::move(aCall), aOutcome, std::move(aDetail));
  this->ended.back().result.silent = true;
}

} // namespace poplartrack
