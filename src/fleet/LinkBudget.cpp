#include "poplartrack/fleet/LinkBudget.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** Depth of a bucket, in seconds of the link's rate. Tokens of running streams
 * wait behind a burst, so a burst after an idle time must not hold the link for
 * longer than the pauses that callers accept. */
constexpr double kBurstSeconds = 0.2;

} // namespace

double
LinkBudget::depth() const
{
  return kBurstSeconds * this->bytesPerSecond;
}

void
LinkBudget::setRate(double aBytesPerSecond)
{
  this->bytesPerSecond = aBytesPerSecond;
}

void
LinkBudget::refill(Bucket& aBucket, TimePoint aNow) const
{
  const Duration since = std::max(aNow - aBucket.refilledAt, Duration{ 0 });
  const double passed = std::chrono::duration<double>(since).count();
  aBucket.refilledAt = std::max(aBucket.refilledAt, aNow);
  aBucket.balance =
    std::min(this->depth(), aBucket.balance + passed * this->bytesPerSecond);
}

std::set<ZonePair>
LinkBudget::closedLinks(TimePoint aNow)
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

std::map<ZonePair, Duration>
LinkBudget::linkWaits(TimePoint aNow)
{
  std::map<ZonePair, Duration> waits;
  for (auto& [zones, bucket] : this->buckets) {
    this->refill(bucket, aNow);
    const double backlog = this->depth() - bucket.balance;
    if (backlog > 0 && this->bytesPerSecond > 0) {
      waits.emplace(
        zones,
        std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(backlog / this->bytesPerSecond)));
    }
  }
  return waits;
}

void
LinkBudget::take(const ZonePair& aZones, double aBytes, TimePoint aNow)
{
  this->sent[aZones] += static_cast<std::uint64_t>(aBytes);
  this->charge(aZones, aBytes, aNow);
}

void
LinkBudget::onPeer(const std::string& aPeer,
                   const LinkTotals& aTotals,
                   TimePoint aNow)
{
  const auto known = this->peers.find(aPeer);
  if (known == this->peers.end()) {
    // Bytes that it sent before its first report have already crossed the link.
    this->peers.emplace(aPeer, aTotals);
    return;
  }
  for (const auto& [zones, total] : aTotals) {
    std::uint64_t& before = known->second[zones];
    if (total > before) {
      this->charge(zones, static_cast<double>(total - before), aNow);
      before = total;
    }
  }
}

void
LinkBudget::charge(const ZonePair& aZones, double aBytes, TimePoint aNow)
{
  Bucket& bucket =
    this->buckets.try_emplace(aZones, Bucket{ this->depth(), aNow })
      .first->second;
  this->refill(bucket, aNow);
  bucket.balance -= aBytes;
}

} // namespace poplartrack
