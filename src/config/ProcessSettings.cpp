#include "poplartrack/config/ProcessSettings.h"

#include <array>

#include "SettingsBinding.h"

namespace poplartrack {
namespace {

using enum SettingType;

/** TOML default of the listening addresses: any free port. */
constexpr std::string_view kAnyLoopbackPort = "\"127.0.0.1:0\"";

constexpr SettingRow kProcessName{
  "process.name", Name, 0, 0, "", "", "the process, unique in the system"
};
constexpr SettingRow kProcessZone{
  "process.zone", Name, 0, 0, "", "", "availability zone of its instance"
};
constexpr SettingRow kProcessRegion{
  "process.region", Name, 0, 0, "", "", "region of its instance"
};
constexpr SettingRow kListenCallers{ "listen.callers",
                                     SettingType::AddressText,
                                     0,
                                     0,
                                     "",
                                     kAnyLoopbackPort,
                                     "HTTP for callers, health and metrics" };
constexpr SettingRow kListenWire{ "listen.wire",
                                  SettingType::AddressText,
                                  0,
                                  0,
                                  "",
                                  kAnyLoopbackPort,
                                  "streams from the system's other processes" };
constexpr SettingRow kListenMetrics{
  "listen.metrics", SettingType::AddressText,     0, 0, "",
  kAnyLoopbackPort, "HTTP for health and metrics"
};
constexpr SettingRow kPlatformAddress{
  "platform.address",       SettingType::AddressText, 0, 0, "", "",
  "address of the platform"
};
constexpr SettingRow kPeerEntries{ "peers.entries",
                                   AddressList,
                                   0,
                                   0,
                                   "",
                                   "[]",
                                   "wire addresses of entries to ask for the "
                                   "configuration while the platform is down" };
constexpr SettingRow kConfigPoll{
  "tuning.config_poll_ms",
  Integer,
  100,
  60000,
  "",
  "2000",
  "mean time between two polls of the store for a newer revision"
};
constexpr SettingRow kProbeInterval{ "tuning.probe_interval_ms",
                                     Integer,
                                     10,
                                     60000,
                                     "",
                                     "500",
                                     "time between two probes of an endpoint" };
constexpr SettingRow kInstancePoll{
  "tuning.instance_poll_ms",
  Integer,
  100,
  60000,
  "",
  "2000",
  "time between two reads of the platform's instance list"
};
constexpr SettingRow kDrainTimeout{
  "tuning.drain_timeout_ms",
  Integer,
  0,
  3600000,
  "",
  "130000",
  "longest wait of a planned stop for requests in progress"
};
constexpr SettingRow kPlacement{
  "tuning.placement",
  Boolean,
  0,
  0,
  "",
  "true",
  "whether this entry may assign layers to endpoints"
};
constexpr SettingRow kDrainGrace{ "tuning.drain_grace_ms",
                                  Integer,
                                  0,
                                  60000,
                                  "",
                                  "5000",
                                  "how long a stopping entry still accepts "
                                  "callers, until the load balancer notices" };
constexpr SettingRow kMaxCallers{
  "tuning.max_callers",
  Integer,
  1,
  100000,
  "",
  "1024",
  "maximum number of concurrent caller connections"
};

constexpr std::array kEntrySettings{
  kProcessName,     kProcessZone, kProcessRegion, kListenCallers, kListenWire,
  kPlatformAddress, kPeerEntries, kConfigPoll,    kProbeInterval, kInstancePoll,
  kDrainTimeout,    kDrainGrace,  kPlacement,     kMaxCallers,
};

constexpr std::array kSideSettings{
  kProcessName,
  kProcessZone,
  kProcessRegion,
  kListenWire,
  kListenMetrics,
  kPlatformAddress,
  kPeerEntries,
  kDrainTimeout,
  SettingRow{ "endpoint.name",
              Name,
              0,
              0,
              "",
              "",
              "name of the endpoint beside this side" },
  SettingRow{ "endpoint.address",
              SettingType::AddressText,
              0,
              0,
              "",
              "",
              "HTTP address of the endpoint" },
  SettingRow{ "endpoint.kind",
              Choice,
              0,
              0,
              "engine|service",
              "",
              "a model engine or a plain service" },
};

EndpointSettings
endpointFrom(const SettingsNode& aTable)
{
  EndpointSettings endpoint;
  bind(aTable, "name", endpoint.name);
  bind(aTable, "address", endpoint.address);
  std::string kind;
  bind(aTable, "kind", kind);
  endpoint.kind =
    kind == "service" ? EndpointKind::Service : EndpointKind::Engine;
  return endpoint;
}

TuningSettings
tuningFrom(const SettingsNode& aTable)
{
  TuningSettings tuning;
  bind(aTable, "probe_interval_ms", tuning.probeInterval);
  bind(aTable, "config_poll_ms", tuning.configPoll);
  bind(aTable, "instance_poll_ms", tuning.instancePoll);
  bind(aTable, "drain_timeout_ms", tuning.drainTimeout);
  bind(aTable, "drain_grace_ms", tuning.drainGrace);
  bind(aTable, "placement", tuning.placement);
  bind(aTable, "max_callers", tuning.maxCallers);
  return tuning;
}

ProcessSettings
settingsFrom(const SettingsNode& aRoot)
{
  ProcessSettings settings;
  const SettingsNode& process = tableOf(aRoot, "process");
  bind(process, "name", settings.name);
  bind(process, "zone", settings.zone);
  bind(process, "region", settings.region);
  const SettingsNode& listen = tableOf(aRoot, "listen");
  for (Address* address :
       { &settings.callers, &settings.wire, &settings.metrics }) {
    *address = Address{ "127.0.0.1", 0 };
  }
  bind(listen, "callers", settings.callers);
  bind(listen, "wire", settings.wire);
  bind(listen, "metrics", settings.metrics);
  bind(tableOf(aRoot, "platform"), "address", settings.platform);
  if (const SettingsNode* peers = tableOf(aRoot, "peers").find("entries")) {
    for (const SettingsNode& peer : std::get<SettingsArray>(peers->value)) {
      const Result<Address> address =
        addressFromText(std::get<std::string>(peer.value));
      if (address) {
        settings.peerEntries.push_back(address.value());
      }
    }
  }
  settings.endpoint = endpointFrom(tableOf(aRoot, "endpoint"));
  settings.tuning = tuningFrom(tableOf(aRoot, "tuning"));
  return settings;
}

} // namespace

std::span<const SettingRow>
processSettings(ProcessRole aRole)
{
  if (aRole == ProcessRole::Entry) {
    return kEntrySettings;
  }
  return kSideSettings;
}

Checked<ProcessSettings>
parseProcessSettings(const std::string& aFile,
                     std::string_view aText,
                     ProcessRole aRole)
{
  return parseSettings<ProcessSettings>(
    aFile, aText, processSettings(aRole), settingsFrom);
}

Checked<ProcessSettings>
loadProcessSettings(const std::string& aPath, ProcessRole aRole)
{
  const Checked<std::string> text = readSettingsFile(aPath);
  if (!text.ok()) {
    return { {}, text.problems };
  }
  return parseProcessSettings(aPath, text.value, aRole);
}

} // namespace poplartrack
