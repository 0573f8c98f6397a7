#include "poplartrack/fleet/PipeBudget.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** What may gather in a bucket, in seconds of the share. A relay that sent
 * nothing across for long must not send a burst that holds the pipe for longer
 * than the pauses that callers accept, 200 ms. */
constexpr double kDepthSeconds = 0.2;

} // namespace

double
PipeBudget::depth() const
{
  return kDepthSeconds * this->bytesPerSecond;
}

void
PipeBudget::setShare(double aBytesPerSecond)
{
  this->bytesPerSecond = aBytesPerSecond;
}

void
PipeBudget::refill(Bucket& aBucket, TimePoint aNow) const
{
  const Duration since = std::max(aNow - aBucket.last, Duration{ 0 });
  const double passed = std::chrono::duration<double>(since).count();
  aBucket.last = std::max(aBucket.last, aNow);
  aBucket.balance =
    std::min(this->depth(), aBucket.balance + passed * this->bytesPerSecond);
}

std::set<ZonePair>
PipeBudget::closed(TimePoint aNow)
{
  std::set<ZonePair> pairs;
  for (auto& [zones, bucket] : this->buckets) {
    this->refill(bucket, aNow);
    if (bucket.balance <= 0) {
      pairs.insert(zones);
    }
  }
  std::erase_if(this->buckets, [this](const auto& aEntry) {
    return aEntry.second.balance >= this->depth();
  });
  return pairs;
}

void
PipeBudget::take(const ZonePair& aZones, double aBytes, TimePoint aNow)
{
  Bucket& bucket =
    this->buckets.try_emplace(aZones, Bucket{ this->depth(), aNow })
      .first->second;
  this->refill(bucket, aNow);
  bucket.balance -= aBytes;
}

} // namespace poplartrack
