#include "poplartrack/relay/RelaySettings.h"

#include <array>

#include "../config/SettingsBinding.h"

namespace poplartrack {
namespace {

using enum SettingType;

constexpr double kMaxMs = 3'600'000;
constexpr double kMaxSeconds = 3'600;

constexpr std::array kRows{
  SettingRow{ "process.name",
              Name,
              0,
              0,
              "",
              "",
              "name of the process, unique" },
  SettingRow{ "process.zone",
              Name,
              0,
              0,
              "",
              "",
              "availability zone of the instance" },
  SettingRow{ "process.region", Name, 0, 0, "", "", "region of the instance" },
  SettingRow{ "listen.callers", AddressText, 0, 0, "", "", "HTTP for callers" },
  SettingRow{ "listen.health",
              AddressText,
              0,
              0,
              "",
              "",
              "HTTP for readiness and metrics" },
  SettingRow{ "listen.peers",
              AddressText,
              0,
              0,
              "",
              "",
              "datagrams between relays (UDP), and snapshots for relays "
              "that start (TCP)" },
  SettingRow{ "store.address", AddressText, 0, 0, "", "", "the shared store" },
  SettingRow{ "limits.descriptors",
              Integer,
              64,
              1'048'576,
              "",
              "1024",
              "limit on the open file descriptors of the process" },
  SettingRow{ "limits.link_mbps",
              Number,
              0.001,
              1e9,
              "",
              "1000",
              "rate of the instance's network link" },
  SettingRow{ "limits.memory_mb",
              Number,
              16,
              1e6,
              "",
              "256",
              "memory limit of the process" },
  SettingRow{ "limits.accept_load",
              Number,
              0.05,
              1,
              "",
              "0.6",
              "new connections are closed unread while the process works for "
              "this share of its time or more" },
  SettingRow{ "limits.answer_head_kb",
              Number,
              1,
              1'024,
              "",
              "64",
              "largest head of an answer of a replica; also of its trailers, "
              "and of the size line of a chunk" },
  SettingRow{ "limits.answer_mb",
              Number,
              0.001,
              1e6,
              "",
              "32",
              "largest body of an answer that is no stream; at most 0.4 of "
              "limits.memory_mb" },
  SettingRow{ "limits.stream_mb",
              Number,
              0.001,
              1e6,
              "",
              "16",
              "largest stream, all its events together" },
  SettingRow{ "limits.event_kb",
              Number,
              1,
              1e6,
              "",
              "1024",
              "largest event of a stream" },
  SettingRow{ "limits.bulk_read_share",
              Number,
              0.01,
              1,
              "",
              "0.1",
              "largest share of the event loop's time for answers that arrive "
              "faster than 20 KB/s" },
  SettingRow{ "bounds.drain_ms",
              Number,
              0,
              kMaxMs,
              "",
              "2000",
              "a draining replica gets no new work after this" },
  SettingRow{ "bounds.grace_s",
              Number,
              0,
              kMaxSeconds,
              "",
              "8",
              "time for the shutdown, from SIGTERM to SIGKILL" },
  SettingRow{ "bounds.revoke_ms",
              Number,
              0,
              kMaxMs,
              "",
              "5000",
              "a revoked API key is rejected after this" },
  SettingRow{ "bounds.config_deadline_ms",
              Number,
              500,
              kMaxMs,
              "",
              "2000",
              "an accepted configuration is in force after this" },
  SettingRow{ "bounds.strict_revoke",
              Boolean,
              0,
              0,
              "",
              "true",
              "whether revoke_ms also holds for an instance that is cut off "
              "from the store" },
  SettingRow{ "bounds.retry_ratio",
              Number,
              0,
              10,
              "",
              "0.2",
              "retries allowed for each request, over all relays" },
  SettingRow{ "bounds.retry_window_s",
              Number,
              0.1,
              kMaxSeconds,
              "",
              "10",
              "window in which retries are counted" },
  SettingRow{ "bounds.retry_slack",
              Number,
              0,
              1e9,
              "",
              "100",
              "retries allowed in a window on top of the ratio" },
  SettingRow{ "bounds.stall_ms",
              Number,
              0,
              kMaxMs,
              "",
              "2500",
              "a replica ends work that depends on a dead replica after this" },
  SettingRow{ "bounds.heartbeat_ms",
              Number,
              1,
              kMaxMs,
              "",
              "1200",
              "interval between heartbeats of a replica" },
  SettingRow{ "load.account_shares",
              Boolean,
              0,
              0,
              "",
              "false",
              "whether client accounts share a model service that is short "
              "of capacity" },
  SettingRow{ "load.pace_admission",
              Boolean,
              0,
              0,
              "",
              "false",
              "whether requests that would be late, or delay others, are "
              "held back or refused" },
  SettingRow{ "load.return_bookings",
              Boolean,
              0,
              0,
              "",
              "false",
              "whether the returns of rejected callers are spread over the "
              "expected capacity" },
  SettingRow{ "load.demand_placement",
              Boolean,
              0,
              0,
              "",
              "false",
              "whether layers follow the load of the replicas and the demand "
              "of the zones, and paths that cost nearly the same are chosen "
              "by their remaining capacity" },
  SettingRow{ "load.loss_probes",
              Boolean,
              0,
              0,
              "",
              "false",
              "whether the replicas on the path of a late stream are asked "
              "whether they are alive" },
  SettingRow{ "load.outlier_ejection",
              Boolean,
              0,
              0,
              "",
              "false",
              "whether replicas that fail their requests receive only trials" },
  SettingRow{ "load.outage_placement",
              Boolean,
              0,
              0,
              "",
              "false",
              "whether layers are placed while the store is unavailable to "
              "all relays" },
};

/** Reads a time that may be fractional, in units of aMicrosPerUnit
 * microseconds. */
void
bindTime(const SettingsNode& aTable,
         std::string_view aKey,
         double aMicrosPerUnit,
         Duration& aField)
{
  double amount = static_cast<double>(aField.count()) / aMicrosPerUnit;
  bind(aTable, aKey, amount);
  aField = Duration{ static_cast<std::int64_t>(amount * aMicrosPerUnit) };
}

RelaySettings
settingsFrom(const SettingsNode& aRoot)
{
  constexpr double kMs = 1e3;
  constexpr double kSecond = 1e6;
  RelaySettings settings;
  const SettingsNode& process = tableOf(aRoot, "process");
  bind(process, "name", settings.name);
  bind(process, "zone", settings.zone);
  bind(process, "region", settings.region);
  const SettingsNode& listen = tableOf(aRoot, "listen");
  bind(listen, "callers", settings.callers);
  bind(listen, "health", settings.health);
  bind(listen, "peers", settings.peers);
  bind(tableOf(aRoot, "store"), "address", settings.store);
  const SettingsNode& limits = tableOf(aRoot, "limits");
  bind(limits, "descriptors", settings.descriptors);
  bind(limits, "link_mbps", settings.linkMbps);
  bind(limits, "memory_mb", settings.memoryMb);
  bind(limits, "accept_load", settings.acceptLoad);
  bind(limits, "answer_head_kb", settings.answerHeadKb);
  bind(limits, "answer_mb", settings.answerMb);
  bind(limits, "stream_mb", settings.streamMb);
  bind(limits, "event_kb", settings.eventKb);
  bind(limits, "bulk_read_share", settings.bulkReadShare);
  const SettingsNode& bounds = tableOf(aRoot, "bounds");
  bindTime(bounds, "drain_ms", kMs, settings.drain);
  bindTime(bounds, "grace_s", kSecond, settings.grace);
  bindTime(bounds, "revoke_ms", kMs, settings.revoke);
  bindTime(bounds, "config_deadline_ms", kMs, settings.configDeadline);
  bind(bounds, "strict_revoke", settings.strictRevoke);
  bind(bounds, "retry_ratio", settings.retryRatio);
  bindTime(bounds, "retry_window_s", kSecond, settings.retryWindow);
  bind(bounds, "retry_slack", settings.retrySlack);
  bindTime(bounds, "stall_ms", kMs, settings.stall);
  bindTime(bounds, "heartbeat_ms", kMs, settings.heartbeat);
  const SettingsNode& load = tableOf(aRoot, "load");
  bind(load, "account_shares", settings.load.accountShares);
  bind(load, "pace_admission", settings.load.paceAdmission);
  bind(load, "return_bookings", settings.load.returnBookings);
  bind(load, "demand_placement", settings.load.demandPlacement);
  bind(load, "loss_probes", settings.load.lossProbes);
  bind(load, "outlier_ejection", settings.load.outlierEjection);
  bind(load, "outage_placement", settings.load.outagePlacement);
  return settings;
}

} // namespace

std::span<const SettingRow>
relaySettings()
{
  return kRows;
}

Checked<RelaySettings>
parseRelaySettings(const std::string& aFile, std::string_view aText)
{
  return parseSettings<RelaySettings>(
    aFile, aText, relaySettings(), settingsFrom);
}

Checked<RelaySettings>
loadRelaySettings(const std::string& aPath)
{
  const Checked<std::string> text = readSettingsFile(aPath);
  if (!text.ok()) {
    return { {}, text.problems };
  }
  return parseRelaySettings(aPath, text.value);
}

} // namespace poplartrack
