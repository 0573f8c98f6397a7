#include "poplartrack/entry/EntryServer.h"

#include <random>

#include <glog/logging.h>

namespace poplartrack {
namespace {

/** Shorter than the longest pause of a call that waits for its key
 * (ClaimWaitPolicy::maxPause). */
constexpr Duration kClaimRetryPause = std::chrono::milliseconds{ 250 };

std::uint64_t
freshSeed()
{
  std::random_device source;
  return source();
}

Duration
jittered(Duration aPause)
{
  thread_local std::mt19937_64 random{ freshSeed() };
  // Instances that started together must not poll in step from then on.
  constexpr double kLeast = 0.8;
  constexpr double kMost = 1.2;
  std::uniform_real_distribution<double> factor{ kLeast, kMost };
  return Duration{ static_cast<Duration::rep>(
    static_cast<double>(aPause.count()) * factor(random)) };
}

} // namespace

Result<EntryServer::Made>
EntryServer::make(const ProcessSettings& aSettings)
{
  Made made;
  Result<std::unique_ptr<HttpClient>> http = HttpClient::create({});
  if (!http) {
    return http.error();
  }
  made.http = std::move(http).value();
  Result<std::unique_ptr<StreamClient>> peers = StreamClient::create({});
  if (!peers) {
    return peers.error();
  }
  made.peers = std::move(peers).value();
  Result<RouteChooser> chooser = RouteChooser::create({}, freshSeed());
  if (!chooser) {
    return chooser.error();
  }
  made.chooser = std::make_unique<RouteChooser>(std::move(chooser).value());
  Result<AdmissionControl> admission =
    AdmissionControl::create({}, freshSeed());
  if (!admission) {
    return admission.error();
  }
  made.admission =
    std::make_unique<AdmissionControl>(std::move(admission).value());
  ProbePolicy probes;
  probes.silence = aSettings.tuning.probeInterval;
  Result<EndpointTracker> tracker = EndpointTracker::create(
    probes, aSettings.region, freshSeed(), runtimeNow());
  if (!tracker) {
    return tracker.error();
  }
  made.tracker = std::make_unique<EndpointTracker>(std::move(tracker).value());
  return made;
}

Result<std::unique_ptr<EntryServer>>
EntryServer::create(const ProcessSettings& aSettings)
{
  Result<Made> made = make(aSettings);
  if (!made) {
    return made.error();
  }
  std::unique_ptr<EntryServer> entry{ new EntryServer(
    aSettings, std::move(made).value()) };
  if (const Result<Done> wire = entry->listenWire(); !wire) {
    return wire.error();
  }
  entry->assemble();
  if (const Result<Done> callers = entry->listenCallers(); !callers) {
    return callers.error();
  }
  return entry;
}

EntryServer::EntryServer(const ProcessSettings& aSettings, Made aMade)
  : settings(aSettings)
  , http(std::move(aMade.http))
  , peers(std::move(aMade.peers))
  , platform(*this->http, PlatformClientSettings{ aSettings.platform })
  , decider(std::move(*aMade.chooser), std::move(*aMade.admission), {})
  , tracker(std::move(aMade.tracker))
  , claims(ClaimKeeper::through(this->platform))
  , claimEnds(this->claims.end)
{
}

EntryServer::~EntryServer()
{
  this->draining.request_stop();
  // The threads end first. Until the last of them has, replies to probes and
  // frames of other entries use the configuration, so it is destroyed later.
  this->callers.reset();
  this->claimRetries.reset();
  this->instanceWatch.reset();
  this->placer.reset();
  if (this->configuration) {
    this->configuration->stop();
  }
  this->server.reset();
  this->timers.stop();
  this->peers.reset();
  this->configuration.reset();
  this->http.reset();
}

Result<Done>
EntryServer::listenWire()
{
  Result<std::unique_ptr<StreamServer>> wire = StreamServer::create(
    this->settings.wire,
    [this](const std::string& aFrame, const Responder& aRespond) {
      this->onFrame(aFrame, aRespond);
    },
    {});
  if (!wire) {
    return wire.error();
  }
  this->server = std::move(wire).value();
  return Done{};
}

void
EntryServer::assemble()
{
  const std::string replyTo = toText(this->server->address());
  KeeperOptions keeper;
  keeper.pollInterval = this->settings.tuning.configPoll;
  keeper.peers = this->settings.peerEntries;
  keeper.seed = freshSeed();
  this->configuration = std::make_unique<ConfigWatch>(
    keeper,
    this->platform,
    *this->peers,
    this->server->address(),
    [this](const std::shared_ptr<const Configuration>& aFresh) {
      this->onConfiguration(*aFresh);
    });
  this->endpoints =
    std::make_unique<EndpointDirectory>(std::move(*this->tracker),
                                        *this->peers,
                                        this->timers,
                                        this->settings.name,
                                        replyTo);
  const EntryParts parts{ this->metrics,         *this->peers,
                          this->timers,          *this->endpoints,
                          this->decider,         this->settings.zone,
                          this->settings.region, replyTo };
  this->models = std::make_unique<ModelRunner>(parts, RunPolicy{});
  this->plains = std::make_unique<PlainDispatcher>(parts, PlainPolicy{});
  this->shares = std::make_unique<ShareExchange>(
    parts,
    this->settings.name,
    [this] { return this->configuration->revision(); },
    [this](const std::string& aPeer, std::uint64_t aRevision) {
      this->configuration->heard(aPeer, aRevision);
    });
  this->api = std::make_unique<CallerApi>(
    CallerApiParts{ this->metrics,
                    this->decider,
                    *this->endpoints,
                    *this->models,
                    *this->plains,
                    this->claims,
                    this->claimEnds,
                    this->configuration->published(),
                    replyTo,
                    this->draining.get_token(),
                    this->closed.get_token() });
  this->assembled = true;
  this->endpoints->start([this] { return this->configuration->revision(); },
                         [this](std::uint64_t aRevision) {
                           this->configuration->heard({}, aRevision);
                         },
                         [this](const std::string& aEndpoint) {
                           this->onEndpointRestarted(aEndpoint);
                         });
  this->instanceWatch =
    std::make_unique<PeriodicThread>([this] { return this->pollInstances(); });
  this->claimRetries =
    std::make_unique<PeriodicThread>([this] { return this->retryClaimEnds(); });
  this->shares->start();
  if (this->settings.tuning.placement) {
    this->placer = std::make_unique<Placer>(
      PlacerParts{ this->platform,
                   *this->peers,
                   *this->endpoints,
                   this->configuration->published(),
                   this->metrics },
      this->settings.region,
      this->settings.name + "-" + toText(randomRequestId()));
    this->placer->start();
  }
  this->configuration->start();
}

Result<Done>
EntryServer::listenCallers()
{
  HttpServerLimits limits;
  limits.maxConnections = this->settings.tuning.maxCallers;
  Result<std::unique_ptr<HttpServer>> web = HttpServer::create(
    this->settings.callers,
    [this](const HttpRequest& aRequest) { return this->onHttp(aRequest); },
    limits);
  if (!web) {
    return web.error();
  }
  this->callers = std::move(web).value();
  return Done{};
}

Address
EntryServer::callersAddress() const
{
  return this->callers->address();
}

Address
EntryServer::wireAddress() const
{
  return this->server->address();
}

HttpReply
EntryServer::onHttp(const HttpRequest& aRequest)
{
  if (aRequest.path == "/metrics") {
    return this->metricsPage();
  }
  if (aRequest.path == "/status") {
    return this->statusPage();
  }
  if (aRequest.path == "/healthz") {
    HttpReply reply;
    const bool fit =
      !this->draining.stop_requested() && this->configuration->revision() != 0;
    reply.status = fit ? 200 : 503;
    reply.body = fit ? "ok\n" : "draining or without configuration\n";
    return reply;
  }
  return this->api->handle(aRequest);
}

Duration
EntryServer::pollInstances()
{
  const Result<std::vector<InstanceInfo>> list = this->platform.listInstances();
  if (list) {
    this->endpoints->onInstanceList(list.value());
    this->shares->onInstanceList(list.value());
  } else {
    this->metrics.countRetry(RetryReason::PlatformUnavailable);
  }
  return jittered(this->settings.tuning.instancePoll);
}

Duration
EntryServer::retryClaimEnds()
{
  if (const std::uint64_t dropped = this->claimEnds.retry(runtimeNow());
      dropped > 0) {
    this->metrics.count("claim_ends_dropped_total", dropped);
  }
  return kClaimRetryPause;
}

void
EntryServer::onConfiguration(const Configuration& aConfiguration)
{
  this->decider.with(
    [&](RouteChooser&, AdmissionControl& aAdmission, RetryBudget&) {
      aAdmission.configure(aConfiguration, runtimeNow());
    });
}

void
EntryServer::onEndpointRestarted(const std::string& aEndpoint)
{
  this->models->onEndpointGone(aEndpoint);
  // The failures are those of its earlier incarnation. Otherwise a burst of
  // them during the restart would leave the only replica of a layer unused for
  // 20 s more.
  this->decider.with(
    [&](RouteChooser& aChooser, AdmissionControl&, RetryBudget&) {
      aChooser.onEndpointSucceeded(aEndpoint);
    });
}

void
EntryServer::startDraining()
{
  this->draining.request_stop();
  LOG(INFO) << "entry: draining";
}

void
EntryServer::stopListening()
{
  // Answers close their connections before requests are refused: the refusal
  // must say so, too.
  this->callers->stopListening();
  this->closed.request_stop();
}

void
EntryServer::endOpenRequests()
{
  this->models->endAll();
  this->plains->endAll();
}

bool
EntryServer::drained() const
{
  return this->callers->openRequests() == 0 && this->models->active() == 0 &&
         this->claimEnds.kept() == 0;
}

} // namespace poplartrack
