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
 * Keeps the entry's view of the sides fresh: sends the tracker's probes,
 * publishes the view for the request path. Thread-safe.
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

  /** The platform's list was read. */
  void onInstanceList(const std::vector<InstanceInfo>& aList);
  /** An endpoint replied to a request, or refused it. */
  void onReply(const std::string& aEndpoint,
               const Refusal& aRefusal,
               const LoadHint& aLoad);
  /** A token of an endpoint carried load. */
  void onLoad(const std::string& aEndpoint, const LoadHint& aLoad);
  /** A call to an endpoint was not answered. */
  void onCallFailed(const std::string& aEndpoint);

  /** The view of this moment, without a lock. */
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
