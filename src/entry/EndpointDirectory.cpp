#include "poplartrack/entry/EndpointDirectory.h"

#include <algorithm>

#include <glog/logging.h>

#include "poplartrack/entry/OutdatedView.h"

namespace poplartrack {
namespace {

constexpr Duration kProbeTimeout = std::chrono::milliseconds{ 500 };
constexpr Duration kShortestRest = std::chrono::milliseconds{ 5 };
/** Interval at which the view is published with the latest load hints. */
constexpr Duration kPublishInterval = std::chrono::milliseconds{ 100 };

} // namespace

EndpointDirectory::EndpointDirectory(EndpointTracker aTracker,
                                     StreamClient& aPeers,
                                     Timers& aTimers,
                                     std::string aSelf,
                                     std::string aSelfAddress)
  : tracker(std::move(aTracker))
  , peers(aPeers)
  , timers(aTimers)
  , self(std::move(aSelf))
  , selfAddress(std::move(aSelfAddress))
  , published(std::make_shared<const EndpointView>())
{
}

void
EndpointDirectory::start(std::function<std::uint64_t()> aRevision,
                         std::function<void(std::uint64_t)> aHeard,
                         EndpointGone aGone)
{
  this->revision = std::move(aRevision);
  this->heard = std::move(aHeard);
  this->gone = std::move(aGone);
  this->probeDue();
}

void
EndpointDirectory::publish()
{
  std::shared_ptr<const EndpointView> fresh;
  {
    const std::scoped_lock lock{ this->guard };
    fresh = this->tracker.view();
  }
  this->published.replace(std::move(fresh));
}

void
EndpointDirectory::probeDue()
{
  std::vector<ProbeTarget> due;
  Duration rest{ 0 };
  {
    const std::scoped_lock lock{ this->guard };
    due = this->tracker.dueProbes(runtimeNow());
    rest = this->tracker.untilNextProbe(runtimeNow());
  }
  for (const ProbeTarget& target : due) {
    this->probeOne(target);
  }
  this->publish();
  this->timers.after(std::clamp(rest, kShortestRest, kPublishInterval),
                     [this] { this->probeDue(); });
}

void
EndpointDirectory::probeOne(const ProbeTarget& aTarget)
{
  const Result<Address> address = addressFromText(aTarget.address);
  if (!address) {
    LOG(WARNING) << "view: " << aTarget.instance << " has no usable address";
    return;
  }
  const Probe probe{
    this->self, this->selfAddress, this->revision(), aTarget.listedLeaving
  };
  callPeer<ProbeReply>(this->peers,
                       address.value(),
                       probe,
                       kProbeTimeout,
                       [this, aTarget, sent = runtimeNow()](
                         const TypedResult<ProbeReply>& aResult) {
                         this->onProbeDone(aTarget, sent, aResult);
                       });
}

void
EndpointDirectory::onProbeDone(const ProbeTarget& aTarget,
                               TimePoint aSent,
                               const TypedResult<ProbeReply>& aResult)
{
  const TimePoint ended = runtimeNow();
  bool restarted = false;
  if (aResult.outcome == CallOutcome::Replied) {
    this->heard(aResult.reply.revision);
  }
  {
    const std::scoped_lock lock{ this->guard };
    const bool answered =
      aResult.outcome == CallOutcome::Replied && !aResult.reply.refusal.refused;
    if (answered) {
      restarted = this->tracker.onProbeReply(
        aTarget.instance, aResult.reply, ended - aSent, ended);
    } else {
      this->tracker.onProbeFailed(aTarget.instance, ended);
    }
    this->logUseChanges();
    if (!this->tracker.takeChanged()) {
      return;
    }
  }
  this->publish();
  if (restarted) {
    LOG(INFO) << "view: " << aResult.reply.endpoint << " was restarted";
    this->gone(aResult.reply.endpoint);
  }
}

void
EndpointDirectory::logUseChanges()
{
  for (const UseChange& change : this->tracker.takeUseChanges()) {
    LOG(INFO) << "view: " << change.endpoint << " is " << nameOf(change.use)
              << ": " << change.cause;
  }
}

void
EndpointDirectory::onInstanceList(const std::vector<InstanceInfo>& aList)
{
  {
    const std::scoped_lock lock{ this->guard };
    this->tracker.onInstanceList(aList, runtimeNow());
  }
  this->publish();
}

void
EndpointDirectory::onReply(const std::string& aEndpoint,
                           const Refusal& aRefusal,
                           const LoadHint& aLoad)
{
  if (!showsOutdatedView(aRefusal)) {
    this->onLoad(aEndpoint, aLoad);
    return;
  }
  // If a refusal counted as a sign of life, it would delay the probe that shows
  // what has changed. Callers that retry faster than probes are sent would then
  // keep a restarted side out of use for as long as they retry (30 s and more).
  const std::scoped_lock lock{ this->guard };
  this->tracker.onOutdated(aEndpoint, runtimeNow());
}

void
EndpointDirectory::onLoad(const std::string& aEndpoint, const LoadHint& aLoad)
{
  const std::scoped_lock lock{ this->guard };
  this->tracker.onLoad(aEndpoint, aLoad, runtimeNow());
  this->logUseChanges();
}

void
EndpointDirectory::onCallFailed(const std::string& aEndpoint)
{
  {
    const std::scoped_lock lock{ this->guard };
    this->tracker.onCallFailed(aEndpoint, runtimeNow());
    this->logUseChanges();
  }
  this->publish();
}

} // namespace poplartrack
