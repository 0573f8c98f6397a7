#include "poplartrack/relay/RelayLoop.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "RelayLoopImpl.h"
#include "poplartrack/base/RequestId.h"
#include "poplartrack/base/TcpSocket.h"

namespace poplartrack {
namespace {

constexpr std::uint64_t kListenerKey = 1;
constexpr std::uint64_t kPeersKey = 2;
constexpr std::uint64_t kFirstId = 16;

/** Logs are flushed, peers told and idle connections looked through this
 * often. Peers' loads are then at most this old, plus one way on the network:
 * a relay starts about 3 requests in that time. */
constexpr Duration kRegularPause = std::chrono::milliseconds{ 200 };

/** A relay that told nothing for this long is not heard any more. */
constexpr Duration kPeerSilence = std::chrono::seconds{ 2 };

/** A replica whose endpoint has started again is forgotten after this: no relay
 * has an older list by then, and no stream through it is left. */
constexpr Duration kEndedForgotten = std::chrono::seconds{ 20 };

/** Margin between the bound on revoked keys and the age at which a relay stops
 * sending. It covers a store that answers for a second without what was changed
 * meanwhile, as it does before it drops its history. */
constexpr Duration kRevokeMargin = std::chrono::milliseconds{ 1'000 };

/** Margin between the deadline for a new configuration and the age at which one
 * is not used any more: the way of a request to its replica, and a store whose
 * clock ran a little late. */
constexpr Duration kConfigMargin = std::chrono::milliseconds{ 300 };

GatePolicy
gatePolicy(const RelaySettings& aSettings)
{
  GatePolicy policy;
  policy.keyAge = aSettings.strictRevoke
                    ? std::max(Duration{ 0 }, aSettings.revoke - kRevokeMargin)
                    : Duration::max();
  policy.denyAge = aSettings.revoke - kRevokeMargin;
  policy.configAge = aSettings.configDeadline - kConfigMargin;
  return policy;
}

/** The second tries that all relays have together. */
SharedRetryPolicy
retryPolicy(const RelaySettings& aSettings)
{
  SharedRetryPolicy policy;
  policy.ratio = aSettings.retryRatio;
  policy.slack = aSettings.retrySlack;
  policy.window = aSettings.retryWindow;
  return policy;
}

/** Heartbeats after which the list tells that a replica has ended: it misses
 * three, and the news take a while. */
constexpr int kHeartbeatsToTell = 4;

/** Relays of a deployment until their list has been read. */
constexpr std::size_t kFewRelays = 4;

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
  , nextId(kFirstId)
  , view(std::make_shared<const ReplicaView>())
  , health(this->settings.heartbeat)
  , budgets(retryPolicy(this->settings))
  , crashWatch(this->settings.heartbeat * kHeartbeatsToTell)
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
  this->local = bound.value();
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

void
RelayLoop::Impl::runPosted()
{
  std::vector<std::function<void()>> work;
  {
    const std::scoped_lock lock{ this->postGuard };
    work.swap(this->posted);
  }
  for (const auto& one : work) {
    one();
  }
}

void
RelayLoop::Impl::run()
{
  this->now = runtimeNow();
  this->startedAt = this->now;
  this->regularAt = this->now;
  while (!this->stopping) {
    const std::optional<TimePoint> timer = this->timers.next();
    const TimePoint until =
      timer ? std::min(*timer, this->regularAt) : this->regularAt;
    const auto events = this->poller.wait(this->now, until);
    this->now = runtimeNow();
    this->runPosted();
    for (const ReadyEvent& event : events) {
      this->onEvent(event);
    }
    while (const auto key = this->timers.popDue(this->now)) {
      this->onTimer(*key);
    }
    if (this->now >= this->regularAt) {
      this->regularWork();
      this->regularAt = this->now + kRegularPause;
    }
  }
  this->shared.log.flush();
}

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
    // The flush may have closed it.
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

void
RelayLoop::Impl::onTimer(std::uint64_t aKey)
{
  if (aKey == kWaitQueueTimerKey) {
    this->tryWaiting();
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

void
RelayLoop::Impl::refreshReplicas()
{
  const auto latest = this->shared.replicas.read();
  if (latest == this->view) {
    return;
  }
  this->noteRestarted(*latest);
  this->noteDraining(*latest);
  this->view = latest;
  this->expireDrainReports();
  std::set<std::string> listed;
  for (const Replica& replica : latest->replicas) {
    listed.insert(replica.id);
  }
  this->health.keepOnly(listed);
  this->replicaLimits.keepOnly(listed);
  std::erase_if(this->reportRequestedAt, [&](const auto& aEntry) {
    return !listed.contains(aEntry.first);
  });
  this->confirmCrashes();
}

void
RelayLoop::Impl::publishLostReplicas()
{
  RelayShared::LostReplicas lost;
  for (const std::string& replica : this->health.lost(this->now)) {
    lost.emplace(replica, false);
  }
  for (const std::string& replica : this->health.named(this->now)) {
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
  const auto before = this->shared.lost.read();
  if (*before == lost) {
    return;
  }
  this->shared.lost.replace(
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
      this->hurryThrough(replica);
    }
  }
  if (changed) {
    // The next word would come after 200 ms; the streams of the other relays
    // stand still meanwhile.
    this->broadcastStatus(true);
  }
}

void
RelayLoop::Impl::publishBusy()
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
  this->shared.busy.replace(
    std::make_shared<const std::set<std::string>>(std::move(busy)));
}

void
RelayLoop::Impl::regularWork()
{
  constexpr std::uint32_t kSecondOf = 5;
  this->refreshReplicas();
  this->loads.expirePeers(this->now);
  std::erase_if(this->knownPeers, [this](const auto& aEntry) {
    const bool silent = this->now - aEntry.second.receivedAt > kPeerSilence;
    if (silent) {
      this->links.forget(
        incarnationName(aEntry.first, aEntry.second.echo.incarnation));
    }
    return silent;
  });
  this->shareLimits();
  this->chooseReaders();
  this->reports.expire(this->now);
  this->expireDrainReports();
  std::erase_if(this->restartedReplicas, [this](const auto& aEntry) {
    return this->now - aEntry.second > kEndedForgotten;
  });
  this->publishLostReplicas();
  this->refreshQuarantine();
  this->publishBusy();
  this->budgets.setRelays(
    std::max(this->shared.peers.read()->size() + 1, kFewRelays));
  this->askSlowOnes();
  this->moveOffDraining();
  this->broadcastStatus(false);
  this->closeStaleIdle(this->now);
  this->shared.log.flush();
  if (this->regularCount++ % kSecondOf == 0) {
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

} // namespace poplartrack
