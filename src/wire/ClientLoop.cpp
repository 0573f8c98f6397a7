#include "ClientLoop.h"

#include <algorithm>

#include "poplartrack/base/TcpSocket.h"

namespace poplartrack {
namespace {

void
tell(CallDone& aDone, CallOutcome aOutcome, std::string aDetail)
{
  CallResult result;
  result.outcome = aOutcome;
  result.detail = std::move(aDetail);
  aDone(std::move(result));
}

} // namespace

ClientLoop::~ClientLoop()
{
  this->stopping = true;
  this->poller.wake();
  this->thread.join();
}

void
ClientLoop::call(NewCall aCall)
{
  if (!this->inbox.push(aCall)) {
    tell(aCall.done, CallOutcome::NotSent, "the client is closing");
  }
}

void
ClientLoop::run()
{
  while (!this->stopping) {
    this->turn();
  }
  this->endAll();
}

/** One round: new calls first, so that those which callers made when they
 * were told of an end leave without another wait; then events; then timers. A
 * peer's answer that has come goes before a timer that is due, so that a
 * process that was paused does not take its own pause for its peers' silence.
 */
void
ClientLoop::turn()
{
  const SystemClock clock;
  TimePoint now = clock.now();
  for (NewCall& call : this->inbox.take()) {
    this->begin(std::move(call), now);
  }
  this->settleTouched(now);
  const std::span<const ReadyEvent> events =
    this->poller.wait(now, this->waitUntil(now));
  now = clock.now();
  for (const ReadyEvent& event : events) {
    const auto found = this->links.find(event.key);
    if (found != this->links.end()) {
      found->second->connection.onReady(event, now);
      this->touch(event.key);
    }
  }
  this->runTimers(now);
  this->settleTouched(now);
}

/** The time of the next timer; now when calls have come meanwhile. */
std::optional<TimePoint>
ClientLoop::waitUntil(TimePoint aNow)
{
  if (!this->inbox.empty()) {
    return aNow;
  }
  const std::optional<TimePoint> call = this->callTimers.next();
  const std::optional<TimePoint> check = this->connectionTimers.next();
  if (!call || !check) {
    return call ? call : check;
  }
  return std::min(*call, *check);
}

void
ClientLoop::settleTouched(TimePoint aNow)
{
  std::sort(this->touched.begin(), this->touched.end());
  const auto last = std::unique(this->touched.begin(), this->touched.end());
  this->touched.erase(last, this->touched.end());
  for (const std::uint64_t id : std::exchange(this->touched, {})) {
    this->settle(id, aNow);
  }
}

void
ClientLoop::touch(std::uint64_t aConnection)
{
  this->touched.push_back(aConnection);
}

void
ClientLoop::begin(NewCall aCall, TimePoint aNow)
{
  if (aCall.frame.size() > this->limits.maxFrameBytes) {
    tell(aCall.done, CallOutcome::NotSent, "the frame is over the limit");
    return;
  }
  const std::uint64_t id = this->connectionTo(aCall.peer, aNow);
  if (id == 0) {
    tell(aCall.done, CallOutcome::NotSent, "no connection to the peer");
    return;
  }
  ClientCall call;
  call.number = ++this->lastCall;
  call.source = FrameSource{ std::move(aCall.frame) };
  call.done = std::move(aCall.done);
  this->callTimers.arm(call.number, aCall.deadline);
  this->places.emplace(call.number, id);
  this->links.at(id)->connection.add(std::move(call), aNow);
  this->touch(id);
}

std::uint64_t
ClientLoop::connectionTo(const Address& aPeer, TimePoint aNow)
{
  const std::uint64_t id = this->peers.connectionTo(aPeer);
  const auto found = this->links.find(id);
  if (found != this->links.end()) {
    const ClientConnection& present = found->second->connection;
    if (!present.closed() && !present.leaving()) {
      return id;
    }
  }
  return this->connect(aPeer, aNow);
}

/** The new connection's number; 0 when there can be none now. */
std::uint64_t
ClientLoop::connect(const Address& aPeer, TimePoint aNow)
{
  if (!this->peers.mayConnect(aPeer, aNow)) {
    return 0;
  }
  Result<OwnedFd> fd = connectTcp(aPeer);
  const std::uint64_t id = ++this->lastConnection;
  if (!fd || !this->poller.add(fd.value().get(), id, true)) {
    this->peers.failed(aPeer, aNow);
    return 0;
  }
  this->links.emplace(
    id,
    std::unique_ptr<Link>(
      new Link{ { std::move(fd).value(), this->limits, aNow }, aPeer, true }));
  this->peers.connected(aPeer, id, aNow);
  return id;
}

void
ClientLoop::runTimers(TimePoint aNow)
{
  while (const auto number = this->callTimers.popDue(aNow)) {
    const std::uint64_t id = this->places.at(*number);
    this->links.at(id)->connection.expire(*number);
    this->touch(id);
  }
  while (const auto id = this->connectionTimers.popDue(aNow)) {
    this->links.at(*id)->connection.onTimer(aNow);
    this->touch(*id);
  }
}

/** Writes what is due on a connection, tells callers what has ended and sets
 * its next timer. */
void
ClientLoop::settle(std::uint64_t aId, TimePoint aNow)
{
  const auto found = this->links.find(aId);
  if (found == this->links.end()) {
    return;
  }
  ClientConnection& connection = found->second->connection;
  connection.transmit();
  std::vector<EndedCall> ended = connection.takeEnded();
  for (const EndedCall& call : ended) {
    this->callTimers.cancel(call.call.number);
    this->places.erase(call.call.number);
  }
  if (connection.closed()) {
    this->drop(aId, aNow);
  } else {
    this->watch(aId, *found->second);
    const std::optional<TimePoint> timer = connection.nextTimer();
    if (timer) {
      this->connectionTimers.arm(aId, *timer);
    } else {
      this->connectionTimers.cancel(aId);
    }
  }
  for (EndedCall& call : ended) {
    call.call.done(std::move(call.result));
  }
}

void
ClientLoop::watch(std::uint64_t aId, Link& aLink)
{
  const bool wantsWrite = aLink.connection.wantsWrite();
  if (wantsWrite != aLink.watchesWrite) {
    this->poller.change(aLink.connection.fd(), aId, wantsWrite);
    aLink.watchesWrite = wantsWrite;
  }
}

void
ClientLoop::drop(std::uint64_t aId, TimePoint aNow)
{
  const std::unique_ptr<Link> link = std::move(this->links.at(aId));
  this->links.erase(aId);
  this->connectionTimers.cancel(aId);
  this->peers.lost(link->peer, aId);
  if (!link->connection.wasOpen() && !link->connection.timedOut()) {
    this->peers.failed(link->peer, aNow);
  }
}

void
ClientLoop::endAll()
{
  constexpr const char* kDetail = "the client is closing";
  for (auto& [id, link] : this->links) {
    link->connection.close(kDetail);
    for (EndedCall& call : link->connection.takeEnded()) {
      tell(call.call.done, CallOutcome::Unknown, kDetail);
    }
  }
  for (NewCall& call : this->inbox.close()) {
    tell(call.done, CallOutcome::Unknown, kDetail);
  }
}

} // namespace poplartrack
