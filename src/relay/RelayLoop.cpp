#include "poplartrack/relay/RelayLoop.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "LoopKeys.h"
#include "RelayLoopImpl.h"
#include "RelayPolicies.h"
#include "poplartrack/base/RequestId.h"
#include "poplartrack/base/TcpSocket.h"

namespace poplartrack {
namespace {

/** Interval of runPeriodicTasks, which also sends the status message. The loads
 * that peers report are at most this old, plus the network delay; a relay
 * starts about 3 requests in that time. */
constexpr Duration kPeriodicInterval = std::chrono::milliseconds{ 200 };

} // namespace

RelayLoop::Impl::Impl(RelaySettings aSettings,
                      RelayHeaderNames aNames,
                      RelayShared& aShared,
                      ReplicaCalls aCalls,
                      LoopClock aClock,
                      Poller aPoller)
  : settings(std::move(aSettings))
  , names(std::move(aNames))
  , shared(aShared)
  , calls(std::move(aCalls))
  , clock(std::move(aClock))
  , gate(gatePolicy(this->settings))
  , answerBounds(answerLimits(this->settings, this->heldLimit()))
  , poller(std::move(aPoller))
  , loopLoad(this->settings.acceptLoad)
  , nextId(kFirstDynamicId)
  , bulkReads(kPeriodicInterval, this->settings.bulkReadShare)
  , view(std::make_shared<const ReplicaView>())
  , health(this->settings.heartbeat)
  , budgets(retryPolicy(this->settings))
  , crashState{ CrashWatch{ crashReportTime(this->settings) }, {}, {}, {}, {} }
  , ownIncarnation(randomRequestId().low)
{
}

RelayLoop::Impl::~Impl()
{
  this->stopping = true;
  this->poller.wake();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
RelayLoop::Impl::stop()
{
  this->post([this] {
    this->endOpenRequests();
    this->stopping = true;
  });
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

/** Ends the requests that are open when the process ends. */
void
RelayLoop::Impl::endOpenRequests()
{
  std::vector<std::uint64_t> open;
  for (const auto& [id, exchange] : this->exchanges) {
    open.push_back(id);
  }
  for (const std::uint64_t id : open) {
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
      continue;
    }
    Exchange& exchange = *found->second;
    const bool ran = this->mayHaveRun(exchange) || exchange.runs > 0;
    this->dropAttempt(exchange, ran);
    this->refuse(
      exchange, Error{ ErrorKind::Draining, "the process ends" }, !ran);
  }
}

/** Opens the listener for callers and the socket for datagrams. */
Result<Done>
RelayLoop::Impl::listen()
{
  Result<OwnedFd> fd = listenTcp(this->settings.callers);
  if (!fd) {
    return fd.error();
  }
  const Result<Address> bound = localAddress(fd.value().get());
  if (!bound) {
    return bound.error();
  }
  this->localCallers = bound.value();
  this->listener = std::move(fd).value();
  this->poller.add(this->listener.get(), kListenerKey, false);
  const Result<Done> peers = this->openPeers();
  if (!peers) {
    return peers.error();
  }
  this->poller.add(this->peerSocket.get(), kPeersKey, false);
  this->replicaLimits.setSelf({ this->localPeers, this->settings.zone });
  return Done{};
}

void
RelayLoop::Impl::start()
{
  this->shared.sendListDelta = [this](const ReplicaListDelta& aDelta) {
    this->post([this, aDelta] { this->sendListDelta(aDelta); });
  };
  this->shared.onReplicaSignals = [this](const Address& aAddress,
                                         const ReplicaSignals& aSignals) {
    this->post(
      [this, aAddress, aSignals] { this->onSignals(aAddress, aSignals); });
  };
  this->thread = std::thread([this] { this->run(); });
}

void
RelayLoop::Impl::post(std::function<void()> aWork)
{
  this->posted.add(std::move(aWork));
  this->poller.wake();
}

/** Runs the event loop until the relay stops. */
void
RelayLoop::Impl::run()
{
  this->now = this->clock();
  this->startedAt = this->now;
  this->nextPeriodicAt = this->now;
  while (!this->stopping) {
    const std::optional<TimePoint> timer = this->timers.next();
    const TimePoint until =
      timer ? std::min(*timer, this->nextPeriodicAt) : this->nextPeriodicAt;
    const TimePoint waitsFrom = this->clock();
    const auto events = this->poller.wait(waitsFrom, until);
    const TimePoint wokeAt = this->clock();
    this->readDelay = waitsFrom - this->now;
    this->loopLoad.record(wokeAt - waitsFrom, this->readDelay);
    this->now = wokeAt;
    this->posted.run();
    if (this->stopping) {
      // What is read from here on would get no answer.
      break;
    }
    for (const ReadyEvent& event : events) {
      this->onEvent(event);
    }
    while (const auto key = this->timers.popDue(this->now)) {
      this->onTimer(*key);
    }
    if (this->now >= this->nextPeriodicAt) {
      this->runPeriodicTasks();
      this->nextPeriodicAt = this->now + kPeriodicInterval;
    }
  }
  this->shared.log.flush();
}

/** Dispatches an event of the poller by its key. */
void
RelayLoop::Impl::onEvent(const ReadyEvent& aEvent)
{
  if (aEvent.key == kListenerKey) {
    this->acceptCallers();
    return;
  }
  if (aEvent.key == kPeersKey) {
    this->readPeers();
    return;
  }
  if (const auto caller = this->callers.find(aEvent.key);
      caller != this->callers.end()) {
    if (aEvent.writable && caller->second->watchesWrite) {
      this->flushCaller(*caller->second);
    }
    // The flush may have closed the connection.
    const auto still = this->callers.find(aEvent.key);
    if (aEvent.readable && still != this->callers.end()) {
      this->onCallerReadable(*still->second);
    }
    return;
  }
  const auto replica = this->connections.find(aEvent.key);
  if (replica != this->connections.end()) {
    this->onReplicaEvent(*replica->second, aEvent);
  }
}

/** Dispatches a timer that has expired: of the wait queue, the check for
 * losses, a message about changes, an exchange or a caller. */
void
RelayLoop::Impl::onTimer(std::uint64_t aKey)
{
  if (aKey == kWaitQueueTimerKey) {
    this->dispatchWaiting();
    return;
  }
  if (aKey == kLossCheckTimerKey) {
    this->checkLosses();
    return;
  }
  if (aKey == kChangeTimerKey) {
    this->sendChanges();
    return;
  }
  if (const auto exchange = this->exchanges.find(aKey);
      exchange != this->exchanges.end()) {
    this->onExchangeTimer(*exchange->second);
    return;
  }
  if (const auto caller = this->callers.find(aKey);
      caller != this->callers.end()) {
    this->onCallerTimer(*caller->second);
  }
}

RelayLoop::RelayLoop(std::unique_ptr<Impl> aImpl)
  : impl(std::move(aImpl))
{
}

RelayLoop::~RelayLoop() = default;

Result<std::unique_ptr<RelayLoop>>
RelayLoop::create(RelaySettings aSettings,
                  RelayHeaderNames aNames,
                  RelayShared& aShared,
                  ReplicaCalls aCalls,
                  LoopClock aClock)
{
  Result<Poller> poller = Poller::create();
  if (!poller) {
    return poller.error();
  }
  auto impl = std::make_unique<Impl>(std::move(aSettings),
                                     std::move(aNames),
                                     aShared,
                                     std::move(aCalls),
                                     std::move(aClock),
                                     std::move(poller).value());
  const Result<Done> listening = impl->listen();
  if (!listening) {
    return listening.error();
  }
  impl->start();
  return std::unique_ptr<RelayLoop>(new RelayLoop(std::move(impl)));
}

Address
RelayLoop::callersAddress() const
{
  return this->impl->address();
}

Address
RelayLoop::peersAddress() const
{
  return this->impl->peersAddress();
}

void
RelayLoop::stop()
{
  this->impl->stop();
}

void
RelayLoop::post(std::function<void()> aWork)
{
  this->impl->post(std::move(aWork));
}

std::size_t
RelayLoop::openRequests() const
{
  return this->impl->openRequests();
}

std::size_t
RelayLoop::unwrittenAnswers() const
{
  return this->impl->unwrittenAnswers();
}

} // namespace poplartrack
