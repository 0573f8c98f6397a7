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
#include "poplartrack/relay/LoadSettings.h"
#include "poplartrack/relay/LoopLoad.h"

namespace poplartrack {

/** Settings of one relay process, read from the settings file of its instance.
 */
struct RelaySettings
{
  /** Name of the process, unique. */
  std::string name;
  /** Availability zone of the instance. */
  std::string zone;
  std::string region;
  /** Listening address for callers, HTTP. */
  Address callers;
  /** Listening address for readiness checks of the load balancer and for
   * metrics, HTTP. */
  Address health;
  /** Listening address for datagrams and queries of other relays. */
  Address peers;
  /** Address of the shared store. */
  Address store;
  /** Limit on the open file descriptors of this process. */
  std::size_t descriptors = 1024;
  /** Rate of the instance's network link, in Mbit/s. */
  double linkMbps = 1'000;
  /** Memory limit of this process, in MB. */
  double memoryMb = 256;
  /** New connections are closed unread while the event loop works for this
   * share of its time or more. */
  double acceptLoad = LoopLoad::kDefaultLimit;
  /** Largest head of an answer of a replica; also of its trailers, and of the
   * size line of a chunk. */
  double answerHeadKb = 64;
  /** Largest body of an answer that is forwarded as a whole. */
  double answerMb = 32;
  /** Largest stream, and largest event in it. */
  double streamMb = 16;
  double eventKb = 1'024;
  /** Largest share of the event loop's time for reading answers in bulk. */
  double bulkReadShare = 0.1;
  /** A replica gets no new work from this long after the store acknowledged
   * that it drains. */
  Duration drain = std::chrono::milliseconds{ 2'000 };
  /** Grace time for the shutdown, from SIGTERM to SIGKILL. */
  Duration grace = std::chrono::seconds{ 8 };
  /** A revoked API key is rejected after this long at the latest. */
  Duration revoke = std::chrono::milliseconds{ 5'000 };
  /** Requests are handled by a new configuration from this long after the store
   * acknowledged it, at the latest. */
  Duration configDeadline = std::chrono::milliseconds{ 2'000 };
  /** Whether the bound on revoked keys also holds for an instance that is cut
   * off from the store. */
  bool strictRevoke = true;
  /** Retry budget of all relays together: at most retryRatio * requests +
   * retrySlack retries in any window of length retryWindow. */
  double retryRatio = 0.2;
  Duration retryWindow = std::chrono::seconds{ 10 };
  double retrySlack = 100;
  /** A replica ends work that depends on a dead replica after this time. */
  Duration stall = std::chrono::milliseconds{ 2'500 };
  /** Interval at which replicas renew their registration. */
  Duration heartbeat = std::chrono::milliseconds{ 1'200 };
  /** Which of the optional decisions under load are made. */
  LoadSettings load;
};

/** Returns the description of every setting of a relay process. */
std::span<const SettingRow>
relaySettings();

/** Parses and checks the text of a relay's settings file. aFile: its name, for
 * the messages. */
Checked<RelaySettings>
parseRelaySettings(const std::string& aFile, std::string_view aText);

/** Reads, parses and checks a relay's settings file. */
Checked<RelaySettings>
loadRelaySettings(const std::string& aPath);

} // namespace poplartrack
