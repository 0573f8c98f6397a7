#include "poplartrack/side/SideServer.h"

#include <random>

#include <glog/logging.h>

#include "EndpointLog.h"
#include "poplartrack/place/OrderFence.h"
#include "poplartrack/place/PlacementLease.h"
#include "poplartrack/store/Lease.h"

namespace poplartrack {
namespace {

constexpr Duration kWatchInterval = std::chrono::milliseconds{ 500 };
constexpr Duration kWatchTimeout = std::chrono::seconds{ 1 };
/**
 * How long an entry's report holds that the list shows this instance as
 * leaving. Entries whose list lags report otherwise in between: without this
 * the side would flap and accept work while its instance drains. Longer than
 * several probe intervals, shorter than an operator waits after cancelling a
 * drain.
 */
constexpr Duration kListedLeavingHolds = std::chrono::seconds{ 15 };

constexpr std::int64_t kMaxSilenceSeconds =
  std::chrono::duration_cast<std::chrono::seconds>(EndpointWatch::kMaxSilence)
    .count();

/** Interval between reads of the lease until one succeeds. If 2,700 sides start
 * at once, they make 1,350 reads a second; the platform serves 2,000. */
constexpr Duration kFenceRetry = std::chrono::seconds{ 2 };
constexpr Duration kFenceLearnt = std::chrono::hours{ 24 };

std::uint64_t
freshIncarnation()
{
  // Random, since a side keeps no state over a restart. The lowest bits are
  // zero, so that increments at restarts of the endpoint do not reach the
  // number of another start.
  std::random_device source;
  constexpr unsigned kShift = 31;
  constexpr unsigned kCountBits = 8;
  return ((static_cast<std::uint64_t>(source()) << kShift) ^ source())
         << kCountBits;
}

} // namespace

Result<std::unique_ptr<SideServer>>
SideServer::create(const SideOptions& aOptions)
{
  const std::uint64_t incarnation = freshIncarnation();
  Result<StepLedger> ledger =
    StepLedger::create({}, aOptions.endpoint, incarnation);
  if (!ledger) {
    return ledger.error();
  }
  Result<std::unique_ptr<HttpClient>> http = HttpClient::create({});
  if (!http) {
    return http.error();
  }
  Result<std::unique_ptr<StreamClient>> peers = StreamClient::create({});
  if (!peers) {
    return peers.error();
  }
  std::unique_ptr<SideServer> side{ new SideServer(aOptions,
                                                   std::move(ledger).value(),
                                                   incarnation,
                                                   std::move(http).value(),
                                                   std::move(peers).value()) };
  const Result<Done> listening = side->listen();
  if (!listening) {
    return listening.error();
  }
  side->watchEndpoint();
  side->fenceWatch = std::make_unique<PeriodicThread>(
    [raw = side.get()] { return raw->learnFence(); });
  return side;
}

SideServer::SideServer(const SideOptions& aOptions,
                       StepLedger aLedger,
                       std::uint64_t aIncarnation,
                       std::unique_ptr<HttpClient> aHttp,
                       std::unique_ptr<StreamClient> aPeers)
  : options(aOptions)
  , ledger(std::move(aLedger))
  , watch(aIncarnation)
  , http(std::move(aHttp))
  , peers(std::move(aPeers))
  , engine(*this->http, toText(aOptions.endpointAddress))
  , stages(SideParts{ this->ledger,
                      this->watch,
                      this->engine,
                      *this->peers,
                      this->timers,
                      this->metrics,
                      aOptions.endpoint })
  , plains(SideParts{ this->ledger,
                      this->watch,
                      this->engine,
                      *this->peers,
                      this->timers,
                      this->metrics,
                      aOptions.endpoint })
  , platform(*this->http, PlatformClientSettings{ aOptions.platform })
{
}

SideServer::~SideServer()
{
  // The threads that call the parts end before the parts are destroyed.
  this->fenceWatch.reset();
  this->metricsServer.reset();
  this->server.reset();
  this->timers.stop();
  this->peers.reset();
  this->http.reset();
}

Result<Done>
SideServer::listen()
{
  Result<std::unique_ptr<StreamServer>> wire = StreamServer::create(
    this->options.wire,
    [this](const std::string& aFrame, const Responder& aRespond) {
      this->onFrame(aFrame, aRespond);
    },
    {});
  if (!wire) {
    return wire.error();
  }
  this->server = std::move(wire).value();
  Result<std::unique_ptr<HttpServer>> web = HttpServer::create(
    this->options.metrics,
    [this](const HttpRequest& aRequest) { return this->onHttp(aRequest); },
    {});
  if (!web) {
    return web.error();
  }
  this->metricsServer = std::move(web).value();
  return Done{};
}

Address
SideServer::wireAddress() const
{
  return this->server->address();
}

Address
SideServer::metricsAddress() const
{
  return this->metricsServer->address();
}

void
SideServer::updateLeaving()
{
  const bool listed = runtimeNow() < this->listedLeavingUntil.load();
  const bool leaving = this->draining || this->orderedLeaving || listed;
  this->ledger.with([&](StepLedger& aLedger) {
    if (aLedger.leaving() != leaving) {
      LOG(INFO) << "side: " << this->options.endpoint
                << (leaving ? " is leaving" : " takes work again");
    }
    aLedger.setLeaving(leaving);
  });
}

ProbeReply
SideServer::probe(const Probe& aProbe)
{
  std::uint64_t known = this->revision.load();
  while (known < aProbe.revision &&
         !this->revision.compare_exchange_weak(known, aProbe.revision)) {
  }
  if (aProbe.listedLeaving) {
    this->listedLeavingUntil = runtimeNow() + kListedLeavingHolds;
  }
  this->updateLeaving();
  ProbeReply reply;
  reply.endpoint = this->options.endpoint;
  reply.zone = this->options.zone;
  reply.region = this->options.region;
  reply.incarnation = this->watch.incarnation();
  const std::optional<EngineInfo> info = this->watch.info();
  if (info) {
    reply.service = info->service;
    reply.accelerator = info->accelerator;
    reply.model = info->model;
    reply.modelVersion = info->modelVersion;
    reply.holds = info->holds;
    reply.capacityLayers = info->capacityLayers;
    reply.layersPerSecond = info->layersPerSecond;
  }
  reply.leaving =
    this->ledger.with([](StepLedger& aLedger) { return aLedger.leaving(); });
  reply.revision = this->revision.load();
  reply.silent = this->watch.silent();
  reply.load = this->stages.load();
  reply.fence = this->orders.highest();
  return reply;
}

void
SideServer::takeOrder(const EndpointOrder& aOrder, const Responder& aRespond)
{
  if (const auto refused = this->orders.admit(aOrder, runtimeNow())) {
    this->metrics.countRefusal(refused->kind);
    aRespond(encode(OrderReply{ Refusal::of(*refused) }));
    return;
  }
  if (aOrder.order == OrderKind::Load) {
    this->passLoad(aOrder, aRespond);
    return;
  }
  this->orderedLeaving = aOrder.order == OrderKind::Leave;
  this->updateLeaving();
  aRespond(encode(OrderReply{}));
}

void
SideServer::passLoad(const EndpointOrder& aOrder, const Responder& aRespond)
{
  LOG(INFO) << "side: " << this->options.endpoint << " is to hold "
            << aOrder.model << " " << aOrder.modelVersion << " layers "
            << aOrder.holds.from << " to " << aOrder.holds.to;
  this->engine.order(aOrder.model,
                     aOrder.modelVersion,
                     aOrder.holds,
                     aOrder.fence,
                     [this, aRespond](const Result<Done>& aResult) {
                       const bool sure = aResult || aResult.error().kind ==
                                                      ErrorKind::EndpointFailed;
                       this->orders.onEngineEnd(sure, runtimeNow());
                       OrderReply reply;
                       if (!aResult) {
                         reply.refusal = Refusal::of(aResult.error());
                       }
                       aRespond(encode(reply));
                     });
}

void
SideServer::onEndpointInfo(TimePoint aAskedAt, const Result<EngineInfo>& aInfo)
{
  const TimePoint ended = runtimeNow();
  if (!aInfo) {
    const bool isSilence = aInfo.error().kind == ErrorKind::Network;
    const WatchChange change = isSilence
                                 ? this->watch.onSilence(aAskedAt, ended)
                                 : this->watch.onFailure();
    this->logWatchChange(change, aInfo.error());
    return;
  }
  if (!this->watch.info()) {
    LOG(INFO) << "side: " << this->options.endpoint << " is in use";
  }
  const auto restarted = this->watch.onInfo(aInfo.value());
  logAnswer(this->options.endpoint, this->watch.onAnswer(ended));
  if (restarted) {
    this->stages.onEndpointRestarted(*restarted);
  }
}

void
SideServer::logWatchChange(WatchChange aChange, const Error& aError) const
{
  if (aChange == WatchChange::Silent) {
    LOG(WARNING) << "side: " << this->options.endpoint
                 << " does not answer, is a last resort until it does, for "
                 << kMaxSilenceSeconds << " s at most";
  } else if (aChange == WatchChange::Gone) {
    LOG(WARNING) << "side: " << this->options.endpoint
                 << " is out of use until it answers, " << describe(aError);
  }
}

void
SideServer::watchEndpoint()
{
  this->engine.info(
    kWatchTimeout,
    [this, asked = runtimeNow()](const Result<EngineInfo>& aInfo) {
      this->onEndpointInfo(asked, aInfo);
    });
  this->engine.load(kWatchTimeout, [this](const Result<LoadHint>& aLoad) {
    if (aLoad) {
      this->watch.onReport(aLoad.value());
    }
  });
  this->stages.expire();
  this->updateLeaving();
  this->timers.after(kWatchInterval, [this] { this->watchEndpoint(); });
}

Duration
SideServer::learnFence()
{
  if (this->orders.ready()) {
    return kFenceLearnt;
  }
  const Result<std::uint64_t> number =
    currentFence(this->platform, placementLeaseName(this->options.region));
  if (!number) {
    return kFenceRetry;
  }
  this->orders.onFloor(orderFence(number.value(), 0));
  return kFenceLearnt;
}

void
SideServer::drain()
{
  this->draining = true;
  this->updateLeaving();
}

bool
SideServer::drained()
{
  const bool idle = this->ledger.with(
    [](StepLedger& aLedger) { return aLedger.openAttempts() == 0; });
  // Replies that are still being written count as work in progress.
  return idle && this->server->openCalls() == 0;
}

} // namespace poplartrack
