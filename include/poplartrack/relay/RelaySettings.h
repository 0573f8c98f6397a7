#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/config/SettingRow.h"
#include "poplartrack/config/SettingsProblem.h"

namespace poplartrack {

/** Settings of one relay process, as its instance's settings file gives them.
 */
struct RelaySettings
{
  std::string name;
  std::string zone;
  std::string region;
  /** HTTP for callers. */
  Address callers;
  /** HTTP for the balancer's readiness questions and for metrics. */
  Address health;
  /** Datagrams between relays. */
  Address peers;
  /** The shared store. */
  Address store;
  /** Descriptors that this process may have. */
  std::size_t descriptors = 1024;
  /** After the store's acknowledgement that a replica leaves, no new work is
   * sent there beyond this. */
  Duration drain = std::chrono::milliseconds{ 2'000 };
  /** From SIGTERM to SIGKILL. */
  Duration grace = std::chrono::seconds{ 8 };
  /** A key that was taken away works no longer than this. */
  Duration revoke = std::chrono::milliseconds{ 5'000 };
  /** After the store's acknowledgement of a configuration, requests are handled
   * by it from then on at the latest. */
  Duration configDeadline = std::chrono::milliseconds{ 2'000 };
  /** Whether the bound on keys holds also for an instance that is cut off. */
  bool strictRevoke = true;
  /** Bound on second tries, over all relays: ratio * requests + slack in any
   * window. */
  double retryRatio = 0.2;
  Duration retryWindow = std::chrono::seconds{ 10 };
  double retrySlack = 100;
  /** Work that depends on a dead replica ends after this. */
  Duration stall = std::chrono::milliseconds{ 2'500 };
  /** Replicas register again this often. */
  Duration heartbeat = std::chrono::milliseconds{ 1'200 };
};

/** Every setting of a relay process. */
std::span<const SettingRow>
relaySettings();

/** Parses and checks the text of a relay's settings file. */
Checked<RelaySettings>
parseRelaySettings(const std::string& aFile, std::string_view aText);

/** Reads, parses and checks a relay's settings file. */
Checked<RelaySettings>
loadRelaySettings(const std::string& aPath);

} // namespace poplartrack
