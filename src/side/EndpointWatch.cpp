#include "poplartrack/side/EndpointWatch.h"

#include <algorithm>
#include <utility>

namespace poplartrack {
namespace {

/** Weight of the newest decode step in the smoothed one. */
constexpr double kStepWeight = 0.1;

} // namespace

EndpointWatch::EndpointWatch(std::uint64_t aIncarnation)
  : ownIncarnation(aIncarnation)
{
}

std::optional<std::uint64_t>
EndpointWatch::adopt(std::uint64_t aEngineIncarnation)
{
  const bool isFirst = !this->engineIncarnation.has_value();
  if (!isFirst && *this->engineIncarnation == aEngineIncarnation) {
    return std::nullopt;
  }
  this->engineIncarnation = aEngineIncarnation;
  if (isFirst) {
    return std::nullopt;
  }
  ++this->ownIncarnation;
  return this->ownIncarnation;
}

std::optional<std::uint64_t>
EndpointWatch::onInfo(const EngineInfo& aInfo)
{
  const std::scoped_lock lock{ this->guard };
  this->known = aInfo;
  return this->adopt(aInfo.incarnation);
}

std::optional<std::uint64_t>
EndpointWatch::onEngineIncarnation(std::uint64_t aIncarnation)
{
  const std::scoped_lock lock{ this->guard };
  return this->adopt(aIncarnation);
}

void
EndpointWatch::onReport(const LoadHint& aReport)
{
  const std::scoped_lock lock{ this->guard };
  this->report = aReport;
  this->batch = std::max(this->batch, aReport.running);
}

std::optional<Duration>
EndpointWatch::onAnswer(TimePoint aNow)
{
  const std::scoped_lock lock{ this->guard };
  this->answeredAt = aNow;
  const std::optional<TimePoint> since =
    std::exchange(this->silentSince, std::nullopt);
  return since ? std::optional{ aNow - *since } : std::nullopt;
}

WatchChange
EndpointWatch::onSilence(TimePoint aAskedAt, TimePoint aNow)
{
  const std::scoped_lock lock{ this->guard };
  if (this->answeredAt && *this->answeredAt >= aAskedAt) {
    return WatchChange::None;
  }
  if (!this->silentSince) {
    this->silentSince = aNow;
    return this->known ? WatchChange::Silent : WatchChange::None;
  }
  return aNow - *this->silentSince >= kMaxSilence ? this->forget()
                                                  : WatchChange::None;
}

WatchChange
EndpointWatch::onFailure()
{
  const std::scoped_lock lock{ this->guard };
  return this->forget();
}

/** A dead endpoint holds no layers: entries stop choosing it with the next
 * probe. Its incarnation is kept to distinguish a restart from a short
 * interruption. */
WatchChange
EndpointWatch::forget()
{
  const bool wasKnown = this->known.has_value();
  this->known.reset();
  return wasKnown ? WatchChange::Gone : WatchChange::None;
}

void
EndpointWatch::onStepStarted()
{
  const std::scoped_lock lock{ this->guard };
  ++this->running;
}

void
EndpointWatch::onStepEnded(Duration aTook, bool aDecodeStep)
{
  const std::scoped_lock lock{ this->guard };
  --this->running;
  if (!aDecodeStep) {
    return;
  }
  const auto took = static_cast<double>(aTook.count());
  this->stepMicros =
    this->stepMicros == 0
      ? took
      : this->stepMicros + kStepWeight * (took - this->stepMicros);
}

std::optional<EngineInfo>
EndpointWatch::info() const
{
  const std::scoped_lock lock{ this->guard };
  return this->known;
}

bool
EndpointWatch::silent() const
{
  const std::scoped_lock lock{ this->guard };
  return this->silentSince.has_value();
}

std::uint64_t
EndpointWatch::incarnation() const
{
  const std::scoped_lock lock{ this->guard };
  return this->ownIncarnation;
}

LoadHint
EndpointWatch::load() const
{
  const std::scoped_lock lock{ this->guard };
  LoadHint load;
  load.running =
    this->batch == 0 ? this->running : std::min(this->running, this->batch);
  load.queued = this->running - load.running;
  load.freeTokens = this->report.freeTokens;
  load.stepMicros = this->report.stepMicros > 0
                      ? this->report.stepMicros
                      : static_cast<std::uint32_t>(this->stepMicros);
  return load;
}

} // namespace poplartrack
