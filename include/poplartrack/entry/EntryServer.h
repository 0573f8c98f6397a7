#pragma once

#include <atomic>
#include <memory>
#include <stop_token>
#include <string>

#include "poplartrack/base/PeriodicThread.h"
#include "poplartrack/config/ProcessSettings.h"
#include "poplartrack/entry/CallerApi.h"
#include "poplartrack/entry/ConfigWatch.h"
#include "poplartrack/entry/Placer.h"
#include "poplartrack/entry/ShareExchange.h"
#include "poplartrack/store/PlatformClient.h"
#include "poplartrack/wire/StreamServer.h"

namespace poplartrack {

/**
 * The process between callers and sides: answers callers, runs their requests,
 * and keeps its configuration and its view of the endpoints up to date.
 */
class EntryServer
{
public:
  /** Starts to serve at once. A Network error names an address that cannot be
   * listened on. */
  static Result<std::unique_ptr<EntryServer>> create(
    const ProcessSettings& aSettings);
  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;
  ~EntryServer();

  [[nodiscard]] Address callersAddress() const;
  [[nodiscard]] Address wireAddress() const;

  /**
   * First step of a graceful shutdown: health checks get 503, so that the load
   * balancer sends callers elsewhere. Those that still come are served, but
   * none waits for another holder of its idempotency key any longer.
   */
  void startDraining();
  /** Second step: accepts no new connections, and refuses requests that still
   * come on those that callers have kept. */
  void stopListening();
  /** Last step, if the time is up: answers the requests that are open. */
  void endOpenRequests();
  /** Returns whether every request has been answered completely and no end of a
   * claimed call is kept for a retry. */
  [[nodiscard]] bool drained() const;

private:
  struct Made
  {
    std::unique_ptr<HttpClient> http;
    std::unique_ptr<StreamClient> peers;
    std::unique_ptr<RouteChooser> chooser;
    std::unique_ptr<AdmissionControl> admission;
    std::unique_ptr<EndpointTracker> tracker;
  };

  EntryServer(const ProcessSettings& aSettings, Made aMade);

  static Result<Made> make(const ProcessSettings& aSettings);
  Result<Done> listenWire();
  void assemble();
  Result<Done> listenCallers();
  void onFrame(const std::string& aFrame, const Responder& aRespond);
  HttpReply onHttp(const HttpRequest& aRequest);
  HttpReply metricsPage();
  HttpReply statusPage();
  Duration pollInstances();
  Duration retryClaimEnds();
  void onEndpointRestarted(const std::string& aEndpoint);
  void onConfiguration(const Configuration& aConfiguration);

  ProcessSettings settings;
  Metrics metrics;
  std::unique_ptr<HttpClient> http;
  std::unique_ptr<StreamClient> peers;
  Timers timers;
  PlatformClient platform;
  Decider decider;
  std::unique_ptr<EndpointTracker> tracker;
  std::stop_source draining;
  std::stop_source closed;
  /** Whether all parts exist. Frames that arrive before are rejected. */
  std::atomic<bool> assembled{ false };
  std::unique_ptr<StreamServer> server;
  std::unique_ptr<ConfigWatch> configuration;
  std::unique_ptr<EndpointDirectory> endpoints;
  std::unique_ptr<ModelRunner> models;
  std::unique_ptr<PlainDispatcher> plains;
  ClaimKeeper claims;
  ClaimEndWriter claimEnds;
  std::unique_ptr<ShareExchange> shares;
  /** Null if placement is disabled in the settings. */
  std::unique_ptr<Placer> placer;
  std::unique_ptr<CallerApi> api;
  std::unique_ptr<HttpServer> callers;
  std::unique_ptr<PeriodicThread> instanceWatch;
  std::unique_ptr<PeriodicThread> claimRetries;
};

} // namespace poplartrack
