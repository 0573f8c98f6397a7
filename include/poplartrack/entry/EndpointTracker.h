#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/entry/UseChange.h"
#include "poplartrack/route/EndpointInfo.h"
#include "poplartrack/store/PlatformLike.h"
#include "poplartrack/wire/Probe.h"

namespace poplartrack {

/** Rates and intervals of an entry's probes. */
struct ProbePolicy
{
  /** An endpoint that has been silent for this long is probed. Replies also
   * contain load hints, so a busy endpoint needs few probes. */
  Duration silence = std::chrono::seconds{ 2 };
  /** A probe and its reply are about 200 bytes; 8 a second stay within the
   * 2 KB/s that a node has for control. */
  double probesPerSecond = 8;
  /** Burst of probes, after a start or when a zone is available again. */
  double burst = 64;
  /** First and longest backoff between probes of an endpoint that fails. */
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
 * What one entry knows of the sides in its region: the platform's instance
 * list, which lags, corrected by the replies of the sides. Pure: it depends
 * only on its state, the events and their times. Not thread-safe.
 */
class EndpointTracker
{
public:
  /** Tracks the sides of aRegion; BadSettings if the policy is invalid. */
  static Result<EndpointTracker> create(ProbePolicy aPolicy,
                                        std::string aRegion,
                                        std::uint64_t aSeed,
                                        TimePoint aNow);

  /** Handles a read of the platform's instance list. */
  void onInstanceList(const std::vector<InstanceInfo>& aList, TimePoint aNow);
  /** Adds a side from the settings as if it were on the list. */
  void addStatic(const InstanceInfo& aInstance, TimePoint aNow);

  /** Returns the probes to send now and counts each as sent. */
  std::vector<ProbeTarget> dueProbes(TimePoint aNow);
  /** Returns the time until dueProbes may return more. */
  [[nodiscard]] Duration untilNextProbe(TimePoint aNow) const;

  /** Handles the reply to a probe. Returns whether the incarnation of the
   * endpoint has changed: what ran on the earlier one is lost. */
  bool onProbeReply(const std::string& aInstance,
                    const ProbeReply& aReply,
                    Duration aRoundTrip,
                    TimePoint aNow);
  /** Handles a probe that ended without a reply. */
  void onProbeFailed(const std::string& aInstance, TimePoint aNow);
  /** Handles a load hint in another reply of the endpoint. */
  void onLoad(const std::string& aEndpoint,
              const LoadHint& aLoad,
              TimePoint aNow);
  /** Handles a rejection that shows that the view of the endpoint is out of
   * date (showsOutdatedView). */
  void onOutdated(const std::string& aEndpoint, TimePoint aNow);
  /** Handles a call to the endpoint that ended without a reply. */
  void onCallFailed(const std::string& aEndpoint, TimePoint aNow);

  /** Returns all endpoints that have identified themselves. */
  [[nodiscard]] std::shared_ptr<const EndpointView> view() const;
  /** Returns whether anything but load has changed in view() since the last
   * call. */
  bool takeChanged();
  /** Returns the changes of use since the last call, for the log. */
  std::vector<UseChange> takeUseChanges();

private:
  struct Tracked
  {
    EndpointInfo info;
    std::string instance;
    bool known = false;
    bool listed = false;
    bool listedLeaving = false;
    bool saysLeaving = false;
    /** A probe is in flight. */
    bool asked = false;
    TimePoint lastHeard{};
    TimePoint nextProbe{};
    Duration pause{ 0 };
  };

  EndpointTracker(ProbePolicy aPolicy,
                  std::string aRegion,
                  std::uint64_t aSeed,
                  TimePoint aNow);
  [[nodiscard]] static EndpointUse useOf(const Tracked& aTracked);
  void noteUse(const Tracked& aTracked,
               EndpointUse aBefore,
               std::string_view aCause);
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
  std::vector<UseChange> useChanges;
};

} // namespace poplartrack
