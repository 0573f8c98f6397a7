#include "poplartrack/relay/RelayLoop.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "RelayLoopImpl.h"
#include "poplartrack/base/RequestId.h"
#include "poplartrack/base/TcpSocket.h"

namespace poplartrack {
namespace {

/** Keys of the listener and of the datagram socket in the poller. The next key
 * is kWaitQueueTimerKey. */
constexpr std::uint64_t kListenerKey = 1;
constexpr std::uint64_t kPeersKey = 2;
/** First id of a connection or exchange; smaller ones are fixed keys. */
constexpr std::uint64_t kFirstDynamicId = 16;

/** Interval of runPeriodicTasks, which also sends the status message. The loads
 * that peers report are at most this old, plus the network delay; a relay
 * starts about 3 requests in that time. */
constexpr Duration kPeriodicInterval = std::chrono::milliseconds{ 200 };

/** A relay that has sent no status message for this long is no longer a known
 * peer. */
constexpr Duration kPeerTimeout = std::chrono::seconds{ 2 };

/** How long the restart of a replica is remembered. By then no relay has a list
 * from before the restart, and no stream through the replica is left. */
constexpr Duration kRestartRecordTtl = std::chrono::seconds{ 20 };

/** Margin between the bound on the use of revoked keys and the age of the
 * configuration at which a relay stops sending. It covers a store whose answers
 * lack recent changes for a second, as happens before it drops its history. */
constexpr Duration kRevokeMargin = std::chrono::milliseconds{ 1'000 };

/** Margin between the deadline for applying a new configuration and the age at
 * which a relay stops using its own. It covers the time that a request takes to
 * reach its replica, and a store whose clock is slightly behind. */
constexpr Duration kConfigMargin = std::chrono::milliseconds{ 300 };

/** Derives the age limits of the configuration from the settings. */
GatePolicy
gatePolicy(const RelaySettings& aSettings)
{
  GatePolicy policy;
  policy.maxKeyAge =
    aSettings.strictRevoke
      ? std::max(Duration{ 0 }, aSettings.revoke - kRevokeMargin)
      : Duration::max();
  policy.maxDenyAge = aSettings.revoke - kRevokeMargin;
  policy.maxConfigAge = aSettings.configDeadline - kConfigMargin;
  return policy;
}

/** Returns the retry budget that all relays share. */
SharedRetryPolicy
retryPolicy(const RelaySettings& aSettings)
{
  SharedRetryPolicy policy;
  policy.ratio = aSettings.retryRatio;
  policy.slack = aSettings.retrySlack;
  policy.window = aSettings.retryWindow;
  return policy;
}

/** Number of heartbeats after which the replica list shows that a replica has
 * crashed: it is removed after three missed ones, and the update of the list
 * takes time to arrive. */
constexpr int kHeartbeatsToReportCrash = 4;

/** Smallest number of relays that the retry budgets assume: the list of relays
 * may not have been read yet. */
constexpr std::size_t kMinAssumedRelays = 4;

/** Number of relays that the retry budgets assume while this relay does not
 * know its peers yet: the largest region. With the few that it knows, each of
 * many relays that start at once would take the slack of all. */
constexpr std::size_t kLargestRegion = 1'000;

} // namespace

RelayLoop::Impl::Impl(RelaySettings aSettings,
                      RelayHeaderNames aNames,
                      RelayShared& aShared,
                      ReplicaCalls aCalls,
                      Poller aPoller)
  : settings(std::move(aSettings))
  , names(std::move(aNames))
  , shared(aShared)
  , calls(std::move(aCalls))
  , gate(gatePolicy(this->settings))
  , poller(std::move(aPoller))
  , nextId(kFirstDynamicId)
  , view(std::make_shared<const ReplicaView>())
  , health(this->settings.heartbeat)
  , budgets(retryPolicy(this->settings))
  , crashWatch(this->settings.heartbeat * kHeartbeatsToReportCrash)
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
  {
    const std::scoped_lock lock{ this->postGuard };
    this->posted.push_back(std::move(aWork));
  }
  this->poller.wake();
}

/** Runs the work that other threads, or the loop itself, have posted. */
void
RelayLoop::Impl::runPosted()
{
  std::vector<std::function<void()>> work;
  {
    const std::scoped_lock lock{ this->postGuard };
    work.swap(this->posted);
  }
  for (const auto& task : work) {
    task();
  }
}

/** Runs the event loop until the relay stops. */
void
RelayLoop::Impl::run()
{
  this->now = runtimeNow();
  this->startedAt = this->now;
  this->nextPeriodicAt = this->now;
  while (!this->stopping) {
    const std::optional<TimePoint> timer = this->timers.next();
    const TimePoint until =
      timer ? std::min(*timer, this->nextPeriodicAt) : this->nextPeriodicAt;
    const TimePoint waitsFrom = runtimeNow();
    const auto events = this->poller.wait(waitsFrom, until);
    const TimePoint wokeAt = runtimeNow();
    this->loopLoad.record(wokeAt - waitsFrom, waitsFrom - this->now);
    this->now = wokeAt;
    this->runPosted();
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

/** Dispatches a timer that has expired: of the wait queue, an exchange or a
 * caller. */
void
RelayLoop::Impl::onTimer(std::uint64_t aKey)
{
  if (aKey == kWaitQueueTimerKey) {
    this->dispatchWaiting();
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

/** Switches to the latest replica list and drops what is kept for replicas that
 * have exited. */
void
RelayLoop::Impl::refreshReplicas()
{
  const auto latest = this->shared.replicas.read();
  if (latest == this->view) {
    return;
  }
  this->detectRestarts(*latest);
  this->recordDraining(*latest);
  this->view = latest;
  this->expireDrainReports();
  std::set<std::string> listed;
  for (const Replica& replica : latest->replicas) {
    listed.insert(replica.id);
  }
  this->recentReplicas.onList(listed, this->now);
  const std::set<std::string> kept = this->recentReplicas.ids();
  this->health.keepOnly(kept);
  this->replicaLimits.keepOnly(kept);
  this->forgetDrainAnnouncements(kept);
  std::erase_if(this->reportRequestedAt, [&](const auto& aEntry) {
    return !kept.contains(aEntry.first);
  });
  this->confirmCrashes();
}

/**
 * Updates the shared map of lost replicas. For each replica, it says whether
 * the loss is certain; a replica that only this relay cannot reach is not
 * certainly lost. Replicas that are slow, or have restarted, count as lost.
 * When an entry is added or changes, the other relays are informed at once.
 */
void
RelayLoop::Impl::publishLostReplicas()
{
  RelayShared::LostReplicas lost;
  for (const std::string& replica : this->health.deadReplicas(this->now)) {
    lost.emplace(replica, false);
  }
  for (const std::string& replica : this->health.blockedOn(this->now)) {
    lost.insert_or_assign(replica, true);
  }
  for (const auto& [replica, pace] : this->health.degraded()) {
    lost.insert_or_assign(replica, true);
  }
  for (const std::string& replica : this->reports.slow()) {
    lost.insert_or_assign(replica, true);
  }
  for (const auto& [replica, since] : this->restartedReplicas) {
    lost.insert_or_assign(replica, true);
  }
  for (const std::string& replica : this->reports.suspects()) {
    if (this->isLost(replica)) {
      lost.insert_or_assign(replica, true);
    }
  }
  const auto before = this->shared.lostReplicas.read();
  if (*before == lost) {
    return;
  }
  this->shared.lostReplicas.replace(
    std::make_shared<const RelayShared::LostReplicas>(lost));
  bool changed = false;
  for (const auto& [replica, certain] : lost) {
    const auto known = before->find(replica);
    if (known != before->end() && known->second == certain) {
      continue;
    }
    changed = true;
    this->shared.log.write(LogLine{ LogPart::Replicas, "lost" }
                             .with("replica", replica)
                             .with("named", certain ? 1 : 0));
    if (certain) {
      this->rearmStallTimers(replica);
    }
  }
  if (changed) {
    // The next periodic status message is up to 200 ms away. The streams of the
    // other relays through the lost replica would stall until then.
    this->broadcastStatus(true);
  }
}

/** Publishes which replicas have requests of any relay in flight. Only the
 * holder of the placement lease needs to know. */
void
RelayLoop::Impl::publishBusyReplicas()
{
  if (!this->shared.holdsLease) {
    return;
  }
  std::set<std::string> busy;
  for (const Replica& replica : this->view->replicas) {
    if (this->loads.at(replica.id).requests > 0) {
      busy.insert(replica.id);
    }
  }
  this->shared.busyReplicas.replace(
    std::make_shared<const std::set<std::string>>(std::move(busy)));
}

/** Expires old state, publishes what other threads need, checks slow and
 * draining replicas, sends the status message and closes expired idle
 * connections. Sets the metrics once a second. */
void
RelayLoop::Impl::runPeriodicTasks()
{
  constexpr std::uint32_t kRunsPerSecond = 5;
  this->refreshReplicas();
  this->loads.expirePeers(this->now);
  std::erase_if(this->knownPeers, [this](const auto& aEntry) {
    const bool silent = this->now - aEntry.second.receivedAt > kPeerTimeout;
    if (silent) {
      this->links.forget(
        incarnationName(aEntry.first, aEntry.second.echo.incarnation));
    }
    return silent;
  });
  this->updateLimitShares();
  this->expireBackoffs();
  this->updateStorePolling();
  this->reports.expire(this->now);
  this->expireDrainReports();
  std::erase_if(this->restartedReplicas, [this](const auto& aEntry) {
    return this->now - aEntry.second > kRestartRecordTtl;
  });
  this->publishLostReplicas();
  this->refreshQuarantine();
  this->publishBusyReplicas();
  const std::size_t minRelays =
    this->isSettling() ? kLargestRegion : kMinAssumedRelays;
  this->budgets.setRelays(
    std::max(this->shared.peers.read()->size() + 1, minRelays));
  this->requestSlowReplicaReports();
  this->moveOffDraining();
  this->broadcastStatus(false);
  this->refreshHeld();
  this->closeExpiredIdle(this->now);
  this->shared.log.flush();
  if (this->periodicRuns++ % kRunsPerSecond == 0) {
    Metrics& metrics = this->shared.metrics;
    metrics.set("callers_open",
                static_cast<std::int64_t>(this->callers.size()));
    metrics.set("replica_connections_open",
                static_cast<std::int64_t>(this->connections.size()));
    metrics.set("requests_open",
                static_cast<std::int64_t>(this->exchanges.size()));
    metrics.set("log_lines_left_out",
                static_cast<std::int64_t>(this->shared.log.dropped()));
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
                  ReplicaCalls aCalls)
{
  Result<Poller> poller = Poller::create();
  if (!poller) {
    return poller.error();
  }
  auto impl = std::make_unique<Impl>(std::move(aSettings),
                                     std::move(aNames),
                                     aShared,
                                     std::move(aCalls),
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
