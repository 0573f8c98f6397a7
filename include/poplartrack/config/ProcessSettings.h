#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/config/SettingRow.h"
#include "poplartrack/config/SettingsProblem.h"

namespace poplartrack {

/** The role of a long-running process. */
enum class ProcessRole : std::uint8_t
{
  /** Accepts requests of callers. */
  Entry,
  /** Sidecar that runs beside one endpoint. */
  Side,
};

/** The kind of endpoint that a side process serves. */
enum class EndpointKind : std::uint8_t
{
  /** A model engine. */
  Engine,
  /** A plain service. */
  Service,
};

/** The endpoint beside a side process. */
struct EndpointSettings
{
  std::string name;
  Address address;
  EndpointKind kind = EndpointKind::Engine;
};

/** Settings whose defaults seldom need changing. */
struct TuningSettings
{
  /** Time between two probes of an endpoint. */
  Duration probeInterval = std::chrono::milliseconds{ 500 };
  /** Mean time between two polls of the store for a newer revision. */
  Duration configPoll = std::chrono::milliseconds{ 2000 };
  /** Time between two reads of the platform's instance list. */
  Duration instancePoll = std::chrono::milliseconds{ 2000 };
  /**
   * How long a planned stop waits for requests in progress. The default is
   * above the default of limits.max_deadline_ms, so that it ends no request.
   */
  Duration drainTimeout = std::chrono::milliseconds{ 130'000 };
  /**
   * How long a stopping entry still accepts callers: the load balancer needs a
   * few health checks to notice.
   */
  Duration drainGrace = std::chrono::seconds{ 5 };
  /** Whether this entry competes for its region's placement lease. */
  bool placement = true;
  /** Maximum number of concurrent caller connections. */
  std::uint32_t maxCallers = 1024;
};

/** Settings of one process: its location and the addresses it uses. */
struct ProcessSettings
{
  std::string name;
  std::string zone;
  std::string region;
  /** Entry only: listens here for HTTP of callers, health and metrics. */
  Address callers;
  /** Listens here for streams from the system's other processes. */
  Address wire;
  /** Side only: listens here for HTTP of health and metrics. */
  Address metrics;
  /** The platform's service, to connect to. */
  Address platform;
  /**
   * Wire addresses of entries that are asked for the configuration while the
   * platform is down.
   */
  std::vector<Address> peerEntries;
  /** Side only. */
  EndpointSettings endpoint;
  TuningSettings tuning;
};

/** Returns the rows of all settings that a process of this role has. */
std::span<const SettingRow>
processSettings(ProcessRole aRole);

/** Parses and checks the text of a process's settings file. */
Checked<ProcessSettings>
parseProcessSettings(const std::string& aFile,
                     std::string_view aText,
                     ProcessRole aRole);

/** Reads, parses and checks the settings file of a process. */
Checked<ProcessSettings>
loadProcessSettings(const std::string& aPath, ProcessRole aRole);

} // namespace poplartrack
