#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/PeriodicThread.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/http/HttpServer.h"
#include "poplartrack/side/OrderGate.h"
#include "poplartrack/side/PlainRunner.h"
#include "poplartrack/side/StageRunner.h"
#include "poplartrack/store/PlatformClient.h"
#include "poplartrack/wire/EndpointOrder.h"
#include "poplartrack/wire/Probe.h"
#include "poplartrack/wire/StreamServer.h"

namespace poplartrack {

/** Settings of a side. */
struct SideOptions
{
  std::string name;
  std::string zone;
  std::string region;
  Address wire;
  Address metrics;
  std::string endpoint;
  Address endpointAddress;
  Address platform;
};

/**
 * The process beside one endpoint, which receives requests only through it.
 * Accepts calls from entries and other sides, monitors the endpoint, and
 * rejects new work while it drains.
 */
class SideServer
{
public:
  /** Starts to serve at once. A Network error names an address that cannot be
   * listened on. */
  static Result<std::unique_ptr<SideServer>> create(
    const SideOptions& aOptions);
  SideServer(const SideServer&) = delete;
  SideServer& operator=(const SideServer&) = delete;
  ~SideServer();

  [[nodiscard]] Address wireAddress() const;
  [[nodiscard]] Address metricsAddress() const;

  /** Starts a graceful shutdown: rejects new work, finishes work in
   * progress. */
  void drain();
  /** Returns whether no work is in progress any more. */
  [[nodiscard]] bool drained();

private:
  SideServer(const SideOptions& aOptions,
             StepLedger aLedger,
             std::uint64_t aIncarnation,
             std::unique_ptr<HttpClient> aHttp,
             std::unique_ptr<StreamClient> aPeers);

  Result<Done> listen();
  void onFrame(const std::string& aFrame, const Responder& aRespond);
  ProbeReply probe(const Probe& aProbe);
  void updateLeaving();
  void takeOrder(const EndpointOrder& aOrder, const Responder& aRespond);
  void passLoad(const EndpointOrder& aOrder, const Responder& aRespond);
  HttpReply onHttp(const HttpRequest& aRequest);
  void watchEndpoint();
  /** Handles the end of a query that was sent at aAskedAt. */
  void onEndpointInfo(TimePoint aAskedAt, const Result<EngineInfo>& aInfo);
  void logWatchChange(WatchChange aChange, const Error& aError) const;
  Duration learnFence();

  SideOptions options;
  Metrics metrics;
  SideLedger ledger;
  EndpointWatch watch;
  std::unique_ptr<HttpClient> http;
  std::unique_ptr<StreamClient> peers;
  Timers timers;
  EngineClient engine;
  StageRunner stages;
  PlainRunner plains;
  /** The newest configuration revision that any entry has reported. */
  std::atomic<std::uint64_t> revision{ 0 };
  PlatformClient platform;
  OrderGate orders;
  std::atomic<bool> draining{ false };
  std::atomic<bool> orderedLeaving{ false };
  /** Until when the report of an entry holds that the list shows this instance
   * as leaving. */
  std::atomic<TimePoint> listedLeavingUntil{ TimePoint::min() };
  std::unique_ptr<StreamServer> server;
  std::unique_ptr<HttpServer> metricsServer;
  std::unique_ptr<PeriodicThread> fenceWatch;
};

} // namespace poplartrack
