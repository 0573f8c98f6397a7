#include "cli/RunRelay.h"

#include <unistd.h>

#include <csignal>
#include <ctime>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "cli/RoleArguments.h"
#include "cli/RoleSignals.h"
#include "config/SettingsBinding.h"
#include "platform/RelayNames.h"
#include "platform/ReplicaOrders.h"
#include "platform/UsersStore.h"
#include "platform/WireNames.h"
#include "poplartrack/http/HttpServer.h"
#include "poplartrack/relay/FleetControl.h"
#include "poplartrack/relay/RelayLoop.h"
#include "poplartrack/relay/RelaySettings.h"
#include "poplartrack/relay/SnapshotClient.h"
#include "poplartrack/relay/SnapshotServer.h"

namespace poplartrack {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/** The settings file may change without a signal; it is looked at this often.
 */
constexpr Duration kSettingsPause = std::chrono::seconds{ 2 };

/** A stopping relay takes new connections for this long: the balancer asks
 * once a second and acts on the second miss. */
constexpr Duration kBalancerNotices = std::chrono::milliseconds{ 2'600 };

/** Kept of the time between SIGTERM and SIGKILL for ending itself. */
constexpr Duration kEndingMargin = std::chrono::milliseconds{ 500 };

/** Waits for one of the role's signals; 0 when none came in time. */
int
waitForSignal(Duration aMost)
{
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  constexpr std::int64_t kNanosPerMicro = 1'000;
  const sigset_t set = roleSignals();
  const timespec pause{ aMost.count() / kMicrosPerSecond,
                        aMost.count() % kMicrosPerSecond * kNanosPerMicro };
  const int signal = sigtimedwait(&set, nullptr, &pause);
  return signal > 0 ? signal : 0;
}

std::string
contentOf(const std::string& aPath)
{
  std::ifstream stream{ aPath, std::ios::binary };
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

/** Whether the balancer may send callers here: the newest configuration is
 * known, and replicas to serve them. */
bool
isReady(const RelayShared& aShared, const RelaySettings& aSettings)
{
  return !aShared.draining && aShared.config.read() != nullptr &&
         aShared.freshness.age() <= aSettings.revoke * 3 / 4 &&
         !aShared.replicas.read()->replicas.empty();
}

HttpReply
answerHealth(RelayShared& aShared,
             const RelaySettings& aSettings,
             const HttpRequest& aRequest)
{
  HttpReply reply;
  if (aRequest.path == wire_names::kReadyPath) {
    reply.status = isReady(aShared, aSettings) ? kOk : kUnavailable;
    return reply;
  }
  if (aRequest.path == "/metrics") {
    aShared.metrics.set("config_age_ms",
                        aShared.freshness.age().count() / 1000);
    reply.headers["Content-Type"] = "text/plain; version=0.0.4";
    reply.body = aShared.metrics.render();
    return reply;
  }
  reply.status = kNotFound;
  return reply;
}

/** Checks a changed settings file. What it says holds from the next start: a
 * restarted process reads it anew. */
void
onSettingsChanged(const std::string& aPath, RelayShared& aShared)
{
  const Checked<RelaySettings> settings = loadRelaySettings(aPath);
  LogLine line{ LogPart::Process, "settings_changed" };
  line.with("usable", settings.ok() ? 1 : 0);
  if (!settings.ok()) {
    line.with("problems", toText(settings.problems));
  }
  aShared.log.write(line);
}

/** Runs until SIGTERM or SIGINT. aContent: the settings file as it was read at
 * the start. */
void
waitForStop(const std::string& aPath,
            const std::string& aContent,
            RelayShared& aShared)
{
  std::string content = aContent;
  while (true) {
    const int signal = waitForSignal(kSettingsPause);
    if (signal == SIGTERM || signal == SIGINT) {
      return;
    }
    std::string latest = contentOf(aPath);
    if (latest != content) {
      content = std::move(latest);
      onSettingsChanged(aPath, aShared);
    }
  }
}

/** Finishes what callers have open, within the time until SIGKILL. */
void
drainRelay(RelayLoop& aLoop,
           RelayShared& aShared,
           const RelaySettings& aSettings)
{
  const TimePoint start = aShared.clock.now();
  const TimePoint latest = start + aSettings.grace - kEndingMargin;
  aShared.draining = true;
  aShared.log.write(LogLine{ LogPart::Process, "draining" }.with(
    "open", static_cast<std::int64_t>(aLoop.openRequests())));
  constexpr Duration kLook = std::chrono::milliseconds{ 50 };
  while (aShared.clock.now() < latest) {
    aShared.refusesRequests = aShared.clock.now() - start >= kBalancerNotices;
    if (aShared.refusesRequests && aLoop.openRequests() == 0 &&
        aLoop.unwrittenAnswers() == 0) {
      break;
    }
    waitForSignal(kLook);
  }
  const std::size_t open = aLoop.openRequests();
  // A request that is read while the process ends would get no answer.
  aLoop.stop();
  aShared.log.write(
    LogLine{ LogPart::Process, "stopped" }
      .with("open", static_cast<std::int64_t>(open))
      .with("unwritten", static_cast<std::int64_t>(aLoop.unwrittenAnswers())));
}

ExitCode
serve(const std::string& aPath,
      const std::string& aContent,
      const RelaySettings& aSettings)
{
  RelayShared shared{ STDOUT_FILENO };
  shared.joining = true;
  const auto http = HttpClient::create(HttpClientLimits{});
  if (!http) {
    std::cerr << "poplartrack: " << describe(http.error()) << '\n';
    return ExitCode::Unreachable;
  }
  UsersStore store{ *http.value(), aSettings.store };
  ReplicaOrders orders{ *http.value(),
                        [&shared](const Address& aReplica,
                                  const ReplicaSignals& aSignals) {
                          shared.onReplicaSignals(aReplica, aSignals);
                        } };
  const auto loop =
    RelayLoop::create(aSettings, platformHeaderNames(), shared, orders.calls());
  if (!loop) {
    std::cerr << "poplartrack: " << describe(loop.error()) << '\n';
    return ExitCode::Usage;
  }
  const auto health = HttpServer::create(
    aSettings.health,
    [&](const HttpRequest& aRequest) {
      return answerHealth(shared, aSettings, aRequest);
    },
    HttpServerLimits{});
  if (!health) {
    std::cerr << "poplartrack: " << describe(health.error()) << '\n';
    return ExitCode::Usage;
  }
  const auto snapshots = SnapshotServer::create(aSettings.peers, shared);
  if (!snapshots) {
    std::cerr << "poplartrack: " << describe(snapshots.error()) << '\n';
    return ExitCode::Usage;
  }
  SnapshotClient snapshotClient{ *http.value() };
  shared.log.write(LogLine{ LogPart::Process, "started" }
                     .with("name", aSettings.name)
                     .with("zone", aSettings.zone)
                     .with("version", POPLARTRACK_VERSION));
  FleetControl<UsersStore> control{
    aSettings,
    shared,
    store,
    [&orders](const Replica& aReplica,
              LayerRange aLayers,
              std::uint64_t aFence,
              std::function<void(Result<Done>)> aDone) {
      orders.place(aReplica, aLayers, aFence, std::move(aDone));
    },
    [&snapshotClient](
      const Address& aRelay, const SnapshotQuery& aQuery, Duration aTimeout) {
      return snapshotClient.fetch(aRelay, aQuery, aTimeout);
    }
  };
  waitForStop(aPath, aContent, shared);
  // The lease is given back beside the draining: the store may not answer, and
  // the grace time has begun.
  std::thread leaving{ [&control] { control.releaseLease(); } };
  drainRelay(*loop.value(), shared, aSettings);
  leaving.detach();
  shared.log.flush();
  // Long polls at the store may wait for a second yet: they hold nothing that
  // must be put back.
  std::cout.flush();
  std::_Exit(static_cast<int>(ExitCode::Ok));
}

} // namespace

ExitCode
runRelay(int argc, char** argv)
{
  const RoleArguments arguments = parseRoleArguments(argc, argv, "relay");
  if (arguments.exit) {
    return *arguments.exit;
  }
  // Before the settings are read: a signal may come at any time.
  blockRoleSignals();
  // A peer that closes a connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler)
  const Checked<std::string> content = readSettingsFile(arguments.settings);
  if (!content.ok()) {
    std::cerr << toText(content.problems);
    return ExitCode::Usage;
  }
  const Checked<RelaySettings> settings =
    parseRelaySettings(arguments.settings, content.value);
  if (!settings.ok()) {
    std::cerr << toText(settings.problems);
    return ExitCode::Usage;
  }
  return serve(arguments.settings, content.value, settings.value);
}

} // namespace poplartrack
