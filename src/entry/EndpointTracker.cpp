#include "poplartrack/entry/EndpointTracker.h"

#include <algorithm>
#include <utility>

namespace poplartrack {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/** New sides are probed at random times within this interval, so that a zone
 * that is available again causes no burst of probes. */
constexpr Duration kArrivalSpread = std::chrono::milliseconds{ 100 };
/** Weight of the newest round trip in the smoothed one. */
constexpr int kRoundTripWeight = 4;

Duration
smoothed(Duration aOld, Duration aNew)
{
  if (aOld == Duration::zero()) {
    return aNew;
  }
  return aOld + (aNew - aOld) / kRoundTripWeight;
}

} // namespace

Result<EndpointTracker>
EndpointTracker::create(ProbePolicy aPolicy,
                        std::string aRegion,
                        std::uint64_t aSeed,
                        TimePoint aNow)
{
  if (aPolicy.probesPerSecond <= 0 || aPolicy.burst < 1) {
    return fail(ErrorKind::BadSettings,
                "probes a second must be above 0 and the burst at least 1");
  }
  if (aPolicy.retryFirst <= Duration::zero() ||
      aPolicy.retryMost < aPolicy.retryFirst) {
    return fail(ErrorKind::BadSettings,
                "the longest probe pause must not be below the first");
  }
  return EndpointTracker{ aPolicy, std::move(aRegion), aSeed, aNow };
}

EndpointTracker::EndpointTracker(ProbePolicy aPolicy,
                                 std::string aRegion,
                                 std::uint64_t aSeed,
                                 TimePoint aNow)
  : policy(aPolicy)
  , region(std::move(aRegion))
  , random(aSeed)
  , tokens(aPolicy.burst)
  , filled(aNow)
{
}

Duration
EndpointTracker::jittered(Duration aDuration)
{
  std::uniform_int_distribution<Duration::rep> draw{ aDuration.count() / 2,
                                                     aDuration.count() };
  return Duration{ draw(this->random) };
}

void
EndpointTracker::addStatic(const InstanceInfo& aInstance, TimePoint aNow)
{
  const auto [found, isNew] = this->instances.try_emplace(aInstance.name);
  Tracked& tracked = found->second;
  if (isNew) {
    tracked.instance = aInstance.name;
    tracked.nextProbe = aNow + this->jittered(kArrivalSpread);
    tracked.lastHeard = aNow;
  }
  if (tracked.info.address != aInstance.address) {
    // A new instance has taken over the name; nothing is known of it yet.
    this->changed = this->changed || tracked.known;
    tracked.known = false;
    tracked.info.address = aInstance.address;
    tracked.nextProbe = aNow;
  }
  if (tracked.listedLeaving != aInstance.draining) {
    // Tell the side at once: it rejects the requests of entries that do not
    // know yet.
    tracked.nextProbe = aNow;
    this->changed = true;
  }
  tracked.listed = true;
  tracked.listedLeaving = aInstance.draining;
}

void
EndpointTracker::onInstanceList(const std::vector<InstanceInfo>& aList,
                                TimePoint aNow)
{
  for (auto& [name, tracked] : this->instances) {
    tracked.listed = false;
  }
  for (const InstanceInfo& instance : aList) {
    if (instance.role == InstanceRole::Side &&
        instance.region == this->region) {
      this->addStatic(instance, aNow);
    }
  }
  // The list lags, so absence alone proves nothing: a side that still replies
  // is kept.
  std::erase_if(this->instances, [&](const auto& aItem) {
    const Tracked& tracked = aItem.second;
    if (tracked.listed || aNow - tracked.lastHeard < this->policy.forget) {
      return false;
    }
    this->endpointToInstance.erase(tracked.info.name);
    this->changed = true;
    return true;
  });
}

void
EndpointTracker::refill(TimePoint aNow)
{
  const auto elapsed = static_cast<double>((aNow - this->filled).count());
  this->filled = aNow;
  this->tokens = std::min(this->policy.burst,
                          this->tokens + elapsed / kMicrosPerSecond *
                                           this->policy.probesPerSecond);
}

std::vector<ProbeTarget>
EndpointTracker::dueProbes(TimePoint aNow)
{
  this->refill(aNow);
  std::vector<Tracked*> due;
  for (auto& [name, tracked] : this->instances) {
    if (tracked.nextProbe <= aNow) {
      due.push_back(&tracked);
    }
  }
  // The longest overdue first, so that no endpoint starves under the budget.
  std::sort(due.begin(), due.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->nextProbe < aRight->nextProbe;
  });
  std::vector<ProbeTarget> targets;
  for (Tracked* tracked : due) {
    if (this->tokens < 1) {
      break;
    }
    this->tokens -= 1;
    tracked->nextProbe = aNow + this->policy.silence;
    tracked->asked = true;
    targets.push_back(ProbeTarget{
      tracked->instance, tracked->info.address, tracked->listedLeaving });
  }
  return targets;
}

Duration
EndpointTracker::untilNextProbe(TimePoint aNow) const
{
  Duration shortest = this->policy.silence;
  for (const auto& [name, tracked] : this->instances) {
    shortest = std::min(shortest, tracked.nextProbe - aNow);
  }
  const Duration tokenWait =
    this->tokens >= 1 ? Duration::zero()
                      : Duration{ static_cast<Duration::rep>(
                          (1 - this->tokens) / this->policy.probesPerSecond *
                          kMicrosPerSecond) };
  return std::max({ shortest, tokenWait, Duration::zero() });
}

bool
EndpointTracker::onProbeReply(const std::string& aInstance,
                              const ProbeReply& aReply,
                              Duration aRoundTrip,
                              TimePoint aNow)
{
  const auto found = this->instances.find(aInstance);
  if (found == this->instances.end()) {
    return false;
  }
  Tracked& tracked = found->second;
  const EndpointUse before = useOf(tracked);
  const bool isNew = tracked.info.name.empty();
  tracked.asked = false;
  if (aReply.service.empty()) {
    // The side is alive, but its endpoint does not reply to it (yet): it cannot
    // be chosen, and is probed again soon.
    tracked.lastHeard = aNow;
    tracked.nextProbe = aNow + this->policy.retryFirst;
    this->changed = this->changed || tracked.known;
    tracked.known = false;
    this->noteUse(tracked, before, "its side gets no answer from it");
    return false;
  }
  EndpointInfo& info = tracked.info;
  const bool restarted =
    tracked.known && info.incarnation != aReply.incarnation;
  const bool differs =
    !tracked.known || restarted || info.name != aReply.endpoint ||
    info.model != aReply.model || info.modelVersion != aReply.modelVersion ||
    info.holds != aReply.holds || tracked.saysLeaving != aReply.leaving ||
    info.silent != aReply.silent || info.failures != 0;
  info.name = aReply.endpoint;
  info.incarnation = aReply.incarnation;
  info.zone = aReply.zone;
  info.region = aReply.region;
  info.service = aReply.service;
  info.accelerator = aReply.accelerator;
  info.model = aReply.model;
  info.modelVersion = aReply.modelVersion;
  info.holds = aReply.holds;
  info.silent = aReply.silent;
  if (!aReply.silent) {
    info.holdsReportedAt = aNow;
  }
  info.capacityLayers = aReply.capacityLayers;
  info.layersPerSecond = aReply.layersPerSecond;
  info.load = aReply.load;
  info.loadReportedAt = aNow;
  info.roundTrip = smoothed(info.roundTrip, aRoundTrip);
  info.failures = 0;
  tracked.saysLeaving = aReply.leaving;
  tracked.known = true;
  tracked.lastHeard = aNow;
  tracked.pause = Duration::zero();
  // One that is silent may answer again any moment.
  tracked.nextProbe =
    aNow + (aReply.silent ? this->policy.retryFirst
                          : this->jittered(this->policy.silence));
  this->endpointToInstance[info.name] = aInstance;
  this->changed = this->changed || differs;
  if (!isNew) {
    this->noteUse(tracked,
                  before,
                  aReply.silent ? "it does not answer its side"
                                : "a probe is answered");
  }
  return restarted;
}

void
EndpointTracker::onProbeFailed(const std::string& aInstance, TimePoint aNow)
{
  const auto found = this->instances.find(aInstance);
  if (found == this->instances.end()) {
    return;
  }
  Tracked& tracked = found->second;
  tracked.asked = false;
  const EndpointUse before = useOf(tracked);
  ++tracked.info.failures;
  this->noteUse(tracked, before, "a probe is not answered");
  tracked.pause = tracked.pause == Duration::zero()
                    ? this->policy.retryFirst
                    : std::min(tracked.pause * 2, this->policy.retryMost);
  tracked.nextProbe = aNow + this->jittered(tracked.pause);
  this->changed = true;
}

void
EndpointTracker::askSoon(Tracked& aTracked, TimePoint aNow)
{
  // The reply to the probe in flight will show its state. Many failed calls
  // must not spend the budget of probes on one endpoint.
  if (!aTracked.asked) {
    aTracked.nextProbe = std::min(aTracked.nextProbe, aNow);
  }
}

EndpointTracker::Tracked*
EndpointTracker::byEndpoint(const std::string& aEndpoint)
{
  const auto name = this->endpointToInstance.find(aEndpoint);
  if (name == this->endpointToInstance.end()) {
    return nullptr;
  }
  const auto found = this->instances.find(name->second);
  return found == this->instances.end() ? nullptr : &found->second;
}

void
EndpointTracker::onLoad(const std::string& aEndpoint,
                        const LoadHint& aLoad,
                        TimePoint aNow)
{
  Tracked* tracked = this->byEndpoint(aEndpoint);
  if (tracked == nullptr) {
    return;
  }
  tracked->info.load = aLoad;
  tracked->info.loadReportedAt = aNow;
  tracked->lastHeard = aNow;
  if (tracked->info.failures != 0) {
    const EndpointUse before = useOf(*tracked);
    tracked->info.failures = 0;
    this->changed = true;
    this->noteUse(*tracked, before, "a call is answered");
  }
  tracked->nextProbe =
    std::max(tracked->nextProbe, aNow + this->policy.silence / 2);
}

void
EndpointTracker::onOutdated(const std::string& aEndpoint, TimePoint aNow)
{
  Tracked* tracked = this->byEndpoint(aEndpoint);
  if (tracked != nullptr) {
    askSoon(*tracked, aNow);
  }
}

void
EndpointTracker::onCallFailed(const std::string& aEndpoint, TimePoint aNow)
{
  Tracked* tracked = this->byEndpoint(aEndpoint);
  if (tracked == nullptr) {
    return;
  }
  const EndpointUse before = useOf(*tracked);
  ++tracked->info.failures;
  this->noteUse(*tracked, before, "a call is not answered");
  askSoon(*tracked, aNow);
  this->changed = true;
}

std::shared_ptr<const EndpointView>
EndpointTracker::view() const
{
  auto view = std::make_shared<EndpointView>();
  for (const auto& [name, tracked] : this->instances) {
    if (!tracked.known) {
      continue;
    }
    EndpointInfo info = tracked.info;
    info.draining = tracked.listedLeaving || tracked.saysLeaving;
    view->endpoints.push_back(std::move(info));
  }
  return view;
}

EndpointUse
EndpointTracker::useOf(const Tracked& aTracked)
{
  if (!aTracked.known) {
    return EndpointUse::OutOfUse;
  }
  return isLastResort(aTracked.info) ? EndpointUse::LastResort
                                     : EndpointUse::InUse;
}

void
EndpointTracker::noteUse(const Tracked& aTracked,
                         EndpointUse aBefore,
                         std::string_view aCause)
{
  const EndpointUse use = useOf(aTracked);
  if (use != aBefore) {
    this->useChanges.push_back({ aTracked.info.name, use, aCause });
  }
}

std::vector<UseChange>
EndpointTracker::takeUseChanges()
{
  return std::exchange(this->useChanges, {});
}

bool
EndpointTracker::takeChanged()
{
  const bool was = this->changed;
  this->changed = false;
  return was;
}

} // namespace poplartrack
