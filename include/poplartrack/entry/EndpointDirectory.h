#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "poplartrack/base/RcuBox.h"
#include "poplartrack/base/Timers.h"
#include "poplartrack/entry/EndpointTracker.h"
#include "poplartrack/wire/StreamClient.h"

namespace poplartrack {

/** Called with the name of an endpoint whose earlier incarnation is gone. */
using EndpointGone = std::function<void(const std::string& aEndpoint)>;

/**
 * Keeps the entry's view of the sides up to date: sends the probes that the
 * EndpointTracker schedules and publishes the view for the request path.
 * Thread-safe.
 */
class EndpointDirectory
{
public:
  EndpointDirectory(EndpointTracker aTracker,
                    StreamClient& aPeers,
                    Timers& aTimers,
                    std::string aSelf,
                    std::string aSelfAddress);

  /** Sends probes from now on. aRevision returns the revision in force
   * here. aHeard is called with revisions that sides report. */
  void start(std::function<std::uint64_t()> aRevision,
             std::function<void(std::uint64_t)> aHeard,
             EndpointGone aGone);

  /** Handles a read of the platform's instance list. */
  void onInstanceList(const std::vector<InstanceInfo>& aList);
  /** Handles an endpoint's reply to a request, or its rejection. */
  void onReply(const std::string& aEndpoint,
               const Refusal& aRefusal,
               const LoadHint& aLoad);
  /** Handles a load hint that came with a token of the endpoint. */
  void onLoad(const std::string& aEndpoint, const LoadHint& aLoad);
  /** Handles a call to the endpoint that was not answered. */
  void onCallFailed(const std::string& aEndpoint);

  /** Returns the current view without taking a lock. */
  [[nodiscard]] std::shared_ptr<const EndpointView> view() const
  {
    return this->published.read();
  }

private:
  void probeDue();
  void probeOne(const ProbeTarget& aTarget);
  void onProbeDone(const ProbeTarget& aTarget,
                   TimePoint aSent,
                   const TypedResult<ProbeReply>& aResult);
  void publish();
  /** Logs which endpoints are taken out of use or back. Call with the lock. */
  void logUseChanges();

  mutable std::mutex guard;
  EndpointTracker tracker;
  StreamClient& peers;
  Timers& timers;
  std::string self;
  std::string selfAddress;
  std::function<std::uint64_t()> revision;
  std::function<void(std::uint64_t)> heard;
  EndpointGone gone;
  RcuBox<EndpointView> published;
};

} // namespace poplartrack
