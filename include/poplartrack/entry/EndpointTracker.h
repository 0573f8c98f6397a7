#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/route/EndpointInfo.h"
#include "poplartrack/store/PlatformLike.h"
#include "poplartrack/wire/Probe.h"

namespace poplartrack {

/** How an entry spends its probes. */
struct ProbePolicy
{
  /** An endpoint that has been silent for this long is probed. Load also
   * rides on replies, so a busy endpoint needs few probes. */
  Duration silence = std::chrono::seconds{ 2 };
  /** A probe and its reply are about 200 bytes; 8 a second stay within the
   * 2 KB/s that a node has for control. */
  double probesPerSecond = 8;
  /** Probes that may be sent at once: a start, or a zone that came back. */
  double burst = 64;
  /** First and longest pause between probes to an endpoint that fails. */
  Duration retryFirst = std::chrono::milliseconds{ 250 };
  Duration retryMost = std::chrono::seconds{ 8 };
  /** An endpoint that the list lacks and that does not answer is forgotten
   * after this long. */
  Duration forget = std::chrono::seconds{ 60 };
};

/** A probe to send now. */
struct ProbeTarget
{
  std::string instance;
  std::string address;
  bool listedLeaving = false;
};

/**
 * What one entry knows of the sides in its region: the platform's lagging
 * list, made exact by the sides' own words. Pure: state, event and time. Not
 * thread-safe.
 */
class EndpointTracker
{
public:
  /** Tracks the sides of aRegion; BadSettings on an impossible policy. */
  static Result<EndpointTracker> create(ProbePolicy aPolicy,
                                        std::string aRegion,
                                        std::uint64_t aSeed,
                                        TimePoint aNow);

  /** The platform's list was read. */
  void onInstanceList(const std::vector<InstanceInfo>& aList, TimePoint aNow);
  /** Adds a side that settings name, as if the list did. */
  void addStatic(const InstanceInfo& aInstance, TimePoint aNow);

  /** The probes to send now; each is counted as sent. */
  std::vector<ProbeTarget> dueProbes(TimePoint aNow);
  /** How long until dueProbes may give more. */
  [[nodiscard]] Duration untilNextProbe(TimePoint aNow) const;

  /** A side answered. True when it is another incarnation than before: what
   * ran on the earlier one is lost. */
  bool onProbeReply(const std::string& aInstance,
                    const ProbeReply& aReply,
                    Duration aRoundTrip,
                    TimePoint aNow);
  /** A probe ended without a reply. */
  void onProbeFailed(const std::string& aInstance, TimePoint aNow);
  /** A load hint came with another reply of the endpoint. */
  void onLoad(const std::string& aEndpoint,
              const LoadHint& aLoad,
              TimePoint aNow);
  /** The endpoint refused work in a way that shows that what is known of it is
   * out of date (showsOutdatedView). */
  void onOutdated(const std::string& aEndpoint, TimePoint aNow);
  /** A call to the endpoint ended without a reply. */
  void onCallFailed(const std::string& aEndpoint, TimePoint aNow);

  /** All endpoints that have identified themselves. */
  [[nodiscard]] std::shared_ptr<const EndpointView> view() const;
  /** True when view() has changed in more than load since the last call. */
  bool takeChanged();

private:
  struct Tracked
  {
    EndpointInfo info;
    std::string instance;
    bool known = false;
    bool listed = false;
    bool listedLeaving = false;
    bool saysLeaving = false;
    /** A probe is on its way. */
    bool asked = false;
    TimePoint lastHeard{};
    TimePoint nextProbe{};
    Duration pause{ 0 };
  };

  EndpointTracker(ProbePolicy aPolicy,
                  std::string aRegion,
                  std::uint64_t aSeed,
                  TimePoint aNow);
  static void askSoon(Tracked& aTracked, TimePoint aNow);
  Tracked* byEndpoint(const std::string& aEndpoint);
  Duration jittered(Duration aDuration);
  void refill(TimePoint aNow);

  ProbePolicy policy;
  std::string region;
  std::mt19937_64 random;
  std::map<std::string, Tracked> instances;
  std::map<std::string, std::string> endpointToInstance;
  double tokens;
  TimePoint filled;
  bool changed = false;
};

} // namespace poplartrack
