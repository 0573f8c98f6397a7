// Time, memory and message bytes of the decisions over their sizes:
//   build/decision_cost
// Each line gives one size; each table ends with the line fitted through its
// sizes and the largest distance from it.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <new>
#include <string>
#include <vector>

#include <malloc.h>

#include <msgpack.hpp>

#include "decisions/Fit.h"
#include "decisions/Scenarios.h"
#include "poplartrack/admit/AdmissionControl.h"
#include "poplartrack/route/RouteChooser.h"
#include "poplartrack/wire/Codec.h"
#include "poplartrack/wire/OpenAttempt.h"
#include "poplartrack/wire/Probe.h"
#include "poplartrack/wire/TokenReady.h"

namespace poplartrack::bench {
namespace {

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
EndpointView
viewOf(std::size_t aReplicas, std::size_t aModels)
{
  const std::vector<EndpointShape> shapes = mixedShapes();
  EndpointView view;
  for (std::size_t i = 0; i < aReplicas; ++i) {
    const EndpointShape& shape = shapes[(i / aModels) % shapes.size()];
    EndpointInfo info;
    info.name = "oslo-engine-" + std::to_string(i);
    info.incarnation = 1;
    info.address = "10.0.0.1:8000";
    info.zone = shape.zone;
    info.region = "oslo";
    info.service = "engine";
    info.model = "model-" + std::to_string(i % aModels);
    info.modelVersion = "v1";
    info.holds = shape.holds;
    info.load = LoadHint{ 8, 4, 40, 9000, 0 };
    info.loadReportedAt = kStart;
    view.endpoints.push_back(info);
  }
  return view;
}

RouteQuery
query()
{
  RouteQuery wanted;
  wanted.model = "model-0";
  wanted.modelVersion = "v1";
  wanted.layers = kLayers;
  wanted.fromZone = "oslo-0";
  wanted.fromRegion = "oslo";
  wanted.prefillTokens = 100;
  wanted.tokensWanted = 50;
  wanted.prefixHash = 7;
  return wanted;
}

/** One decision over a view: time and the chooser's memory. */
void
routeCost(const char* aTitle,
          const char* aSize,
          const std::vector<double>& aSizes,
          const std::function<EndpointView(std::size_t)>& aView)
{
  std::vector<Sample> times;
  std::vector<Sample> bytes;
  for (const double size : aSizes) {
    const EndpointView view = aView(static_cast<std::size_t>(size));
    const std::size_t before = liveBytes();
    auto chooser = std::make_unique<RouteChooser>(
      RouteChooser::create(RoutePolicy{}, 1).value());
    const auto choose = [&] {
      if (!chooser->choose(view, query(), kStart)) {
        std::abort();
      }
    };
    choose();
    bytes.push_back(
      Sample{ size, static_cast<double>(liveBytes() - before) / 1024 });
    constexpr int kCalls = 2000;
    times.push_back(Sample{ size, microsPerCall(kCalls, choose) });
  }
  printFit(
    (std::string(aTitle) + ": time of a choice").c_str(), aSize, "us", times);
  printFit((std::string(aTitle) + ": memory of a chooser").c_str(),
           aSize,
           "KiB",
           bytes);
}

/** What a view of the endpoints takes, and a copy of it with new hints. */
void
viewCost(const std::vector<double>& aSizes)
{
  std::vector<Sample> bytes;
  std::vector<Sample> times;
  for (const double size : aSizes) {
    const std::size_t before = liveBytes();
    const EndpointView view = viewOf(static_cast<std::size_t>(size), 1);
    bytes.push_back(
      Sample{ size, static_cast<double>(liveBytes() - before) / 1024 });
    constexpr int kCalls = 200;
    times.push_back(Sample{ size, microsPerCall(kCalls, [&] {
                              const EndpointView copy = view;
                              if (copy.endpoints.empty()) {
                                std::abort();
                              }
                            }) });
  }
  printFit("view: memory", "replicas", "KiB", bytes);
  printFit("view: time of one copy", "replicas", "us", times);
}

Configuration
configurationOf(std::size_t aAccounts)
{
  Configuration settings;
  settings.models["model-0"].layers = kLayers;
  for (std::size_t i = 0; i < aAccounts; ++i) {
    AccountSpec spec;
    spec.secretSha256 = std::string(64, 'a');
    spec.requestsPerSecond = 1e9;
    spec.tokensPerSecond = 1e12;
    settings.accounts["account-" + std::to_string(i)] = spec;
  }
  return settings;
}

void
admissionCost(const std::vector<double>& aSizes)
{
  std::vector<Sample> times;
  std::vector<Sample> bytes;
  std::vector<Sample> configures;
  for (const double size : aSizes) {
    const auto accounts = static_cast<std::size_t>(size);
    const Configuration settings = configurationOf(accounts);
    const std::size_t before = liveBytes();
    auto admission = std::make_unique<AdmissionControl>(
      AdmissionControl::create(AdmissionPolicy{}, 1).value());
    admission->configure(settings, kStart);
    std::size_t turn = 0;
    const auto admit = [&] {
      AdmitQuery wanted;
      wanted.account = "account-" + std::to_string(turn++ % accounts);
      wanted.model = "model-0";
      wanted.deadline = kStart + std::chrono::seconds{ 30 };
      const auto answer = admission->admit(wanted, kStart);
      if (const auto* in = std::get_if<Admitted>(&answer)) {
        admission->finish(in->ticket, 0, true, kStart);
      }
    };
    for (std::size_t i = 0; i < accounts; ++i) {
      admit();
    }
    bytes.push_back(
      Sample{ size, static_cast<double>(liveBytes() - before) / 1024 });
    constexpr int kCalls = 20'000;
    times.push_back(Sample{ size, microsPerCall(kCalls, admit) });
    constexpr int kConfigures = 20;
    configures.push_back(Sample{ size, microsPerCall(kConfigures, [&] {
                                   admission->configure(settings, kStart);
                                 }) });
  }
  printFit("accounts: time of admit and finish", "accounts", "us", times);
  printFit("accounts: time of a configuration", "accounts", "us", configures);
  printFit("accounts: memory, all active", "accounts", "KiB", bytes);
}

/** Messages of one entry of a region about its active accounts. */
void
shareCost(const std::vector<double>& aActive, std::size_t aEntries)
{
  std::vector<Sample> bytes;
  std::vector<Sample> messages;
  std::vector<Sample> times;
  std::vector<std::string> entries;
  for (std::size_t i = 0; i < aEntries; ++i) {
    entries.push_back("oslo-entry-" + std::to_string(i));
  }
  for (const double active : aActive) {
    AccountShares shares{ SharePolicy{} };
    shares.setEntries(entries[0], entries, kStart);
    for (int i = 0; i < static_cast<int>(active); ++i) {
      shares.onDemand(accountHash("account-" + std::to_string(i)), 0.5, kStart);
    }
    double sent = 0;
    std::vector<DemandList> lists = shares.demands(kStart);
    for (const DemandList& list : lists) {
      msgpack::sbuffer buffer;
      msgpack::pack(buffer, list.demands);
      sent += static_cast<double>(buffer.size());
    }
    bytes.push_back(Sample{ active, sent });
    messages.push_back(Sample{ active, static_cast<double>(lists.size()) });
    constexpr int kCalls = 200;
    times.push_back(
      Sample{ active, microsPerCall(kCalls, [&] { shares.demands(kStart); }) });
  }
  printFit("shares: payload of one exchange, one way", "active", "B", bytes);
  printFit("shares: messages of one exchange", "active", "sent", messages);
  printFit("shares: time of wishes()", "active", "us", times);
}

Route
routeOf(std::size_t aStages)
{
  Route route;
  for (std::size_t i = 0; i < aStages; ++i) {
    const auto from = static_cast<std::uint32_t>(i);
    route.push_back(RouteStage{ "oslo-engine-" + std::to_string(i),
                                0x1234'5678'9abc'def0,
                                "10.0.0.1:8000",
                                { from, from + 1 } });
  }
  return route;
}

/** What each token and each attempt costs the entry, by stages. */
void
stageCost(const std::vector<double>& aStages)
{
  std::vector<Sample> tokens;
  std::vector<Sample> opens;
  std::vector<Sample> times;
  for (const double size : aStages) {
    const Route route = routeOf(static_cast<std::size_t>(size));
    TokenReady token;
    token.request = RequestId{ ~0ULL, ~0ULL };
    token.load = LoadHint{ 8, 4, 40, 9000, 0 };
    for (const RouteStage& stage : route) {
      token.receipt.push_back(
        ReceiptEntry{ stage.endpoint, stage.incarnation, stage.runs });
    }
    tokens.push_back(Sample{ size, static_cast<double>(encode(token).size()) });
    OpenAttempt open;
    open.request = token.request;
    open.model = "model-0";
    open.modelVersion = "v1";
    open.route = route;
    open.replyTo = "10.0.0.1:8000";
    open.remainingMicros = 30'000'000;
    opens.push_back(
      Sample{ size, size * static_cast<double>(encode(open).size()) });
    RouteChooser chooser = RouteChooser::create(RoutePolicy{}, 1).value();
    chooser.onRouteStarted(route, kStart);
    EndpointView view;
    for (const RouteStage& stage : route) {
      EndpointInfo info;
      info.name = stage.endpoint;
      info.model = "model-0";
      info.modelVersion = "v1";
      info.holds = stage.runs;
      view.endpoints.push_back(info);
    }
    RouteQuery wanted = query();
    wanted.layers = static_cast<std::uint32_t>(size);
    if (!chooser.choose(view, wanted, kStart)) {
      std::abort();
    }
    constexpr int kCalls = 20'000;
    const Duration gap = std::chrono::milliseconds{ 20 };
    times.push_back(Sample{ size, microsPerCall(kCalls, [&] {
                              chooser.onToken(route, gap, kStart);
                            }) });
  }
  printFit("stages: payload of one TokenReady", "stages", "B", tokens);
  printFit("stages: payload of all OpenAttempts", "stages", "B", opens);
  printFit("stages: time of onToken()", "stages", "us", times);
  Probe probe;
  probe.from = "oslo-entry-1";
  probe.address = "10.0.0.1:8000";
  ProbeReply reply;
  reply.endpoint = "oslo-engine-1";
  reply.zone = "oslo-a";
  reply.region = "oslo";
  reply.service = "engine";
  reply.accelerator = "a100";
  reply.model = "model-0";
  reply.modelVersion = "v1";
  reply.load = LoadHint{ 8, 4, 40, 9000, 0 };
  std::printf("probe: payload %zu B, reply %zu B\n",
              encode(probe).size(),
              encode(reply).size());
}

} // namespace
} // namespace poplartrack::bench

int
main()
{
  using namespace poplartrack::bench;
  const std::vector<double> replicas{ 40, 80, 170, 340, 680 };
  routeCost("replicas of one model", "replicas", replicas, [](std::size_t aN) {
    return viewOf(aN, 1);
  });
  // 17, 8, 4, 2 and 1 models share 340 replicas: the size is what is left for
  // the asked one.
  routeCost("one model among 340 replicas",
            "of the model",
            { 20, 42, 85, 170, 340 },
            [](std::size_t aN) { return viewOf(340, 340 / aN); });
  viewCost({ 40, 80, 170, 340, 680 });
  admissionCost({ 925, 1850, 3700, 7400 });
  stageCost({ 1, 2, 4, 8, 16 });
  shareCost({ 12, 25, 50, 100, 200 }, 46);
  return 0;
}
