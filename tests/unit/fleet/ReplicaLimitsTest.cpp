#include "poplartrack/fleet/ReplicaLimits.h"

#include <deque>
#include <functional>

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr Duration kStep = milliseconds{ 10 };
constexpr Duration kReportInterval = milliseconds{ 200 };
constexpr Duration kWindow = seconds{ 4 };
const std::string kReplica = "r";
const std::string kZone = "a";

/** Returns the most requests that the requirements allow in any four seconds.
 */
double
maxInWindow(double aLimit)
{
  return 1.5 * aLimit * std::chrono::duration<double>(kWindow).count() + 5;
}

/** Relays that send to one replica as often as they may and report to each
 * other what its answers state. */
class Relays
{
public:
  explicit Relays(std::size_t aRelays)
    : limits(aRelays)
  {
    std::vector<RateLimitSharer> all;
    for (std::size_t i = 0; i < aRelays; ++i) {
      all.push_back(
        RateLimitSharer{ { "10.0.0.1", static_cast<std::uint16_t>(1'000 + i) },
                         i % 2 == 0 ? kZone : "b" });
    }
    for (std::size_t i = 0; i < aRelays; ++i) {
      this->limits[i].setSelf(all[i]);
      std::vector<RateLimitSharer> others = all;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
      this->limits[i].setOthers(std::move(others), aRelays);
    }
  }

  /** Runs for some time; aHasRequests says which relays have requests to send.
   */
  void run(Duration aTime,
           std::optional<double> aStatedLimit,
           const std::function<bool(std::size_t)>& aHasRequests,
           bool aAnswers = true)
  {
    for (const TimePoint end = this->now + aTime; this->now < end;
         this->now += kStep) {
      const bool reportsDue = (this->now - kStart) % kReportInterval < kStep;
      for (std::size_t i = 0; i < this->limits.size(); ++i) {
        if (aHasRequests(i) && this->limits[i].maySend(kReplica, this->now)) {
          this->limits[i].onSent(kReplica, this->now);
          this->sent.push_back(this->now);
          if (aAnswers) {
            this->limits[i].onAnswer(kReplica, kZone, aStatedLimit, this->now);
          }
        }
      }
      if (reportsDue) {
        this->exchangeReports();
      }
    }
  }
  void exchangeReports()
  {
    for (std::size_t from = 0; from < this->limits.size(); ++from) {
      for (const RateLimitReport& report : this->limits[from].own(this->now)) {
        for (std::size_t to = 0; to < this->limits.size(); ++to) {
          if (to != from) {
            this->limits[to].onPeer(report, kZone, this->now);
          }
        }
      }
    }
  }
  /** Returns the most requests that were sent in any window since a time. */
  [[nodiscard]] std::size_t maxInWindowSince(TimePoint aFrom) const
  {
    std::size_t max = 0;
    std::deque<TimePoint> window;
    for (const TimePoint at : this->sent) {
      if (at < aFrom) {
        continue;
      }
      window.push_back(at);
      while (at - window.front() >= kWindow) {
        window.pop_front();
      }
      max = std::max(max, window.size());
    }
    return max;
  }

  std::vector<ReplicaLimits> limits;
  std::vector<TimePoint> sent;
  TimePoint now = kStart;
};

const auto kAll = [](std::size_t) { return true; };

TEST(ReplicaLimits, RequestsMayAlwaysGoToAReplicaWithoutALimit)
{
  ReplicaLimits limits;
  EXPECT_TRUE(limits.maySend(kReplica, kStart));
  EXPECT_FALSE(limits.onAnswer(kReplica, kZone, std::nullopt, kStart));
  EXPECT_FALSE(limits.limited(kReplica));
}

TEST(ReplicaLimits, RelaysTogetherKeepToALimitAndUseMostOfIt)
{
  for (const std::size_t relays : { 1U, 3U, 4U, 22U, 103U }) {
    for (const double limit : { 0.5, 1.4, 1.7, 6.0, 40.0 }) {
      Relays fleet{ relays };
      fleet.limits[0].onAnswer(kReplica, kZone, limit, fleet.now);
      fleet.exchangeReports();
      const TimePoint from = fleet.now;
      fleet.run(seconds{ 20 }, limit, kAll);
      EXPECT_LE(fleet.maxInWindowSince(from), maxInWindow(limit))
        << relays << " relays, " << limit << " a second";
      EXPECT_GE(fleet.sent.size(), 20 * limit / 2)
        << relays << " relays, " << limit << " a second";
    }
  }
}

TEST(ReplicaLimits, KeepsToTheLimitOfAReplicaThatDoesNotAnswer)
{
  for (const std::size_t relays : { 4U, 103U }) {
    for (const double limit : { 0.5, 1.4, 6.0, 40.0 }) {
      Relays fleet{ relays };
      fleet.limits[0].onAnswer(kReplica, kZone, limit, fleet.now);
      fleet.exchangeReports();
      const TimePoint from = fleet.now;
      fleet.run(seconds{ 20 }, limit, kAll, false);
      EXPECT_LE(fleet.maxInWindowSince(from), maxInWindow(limit))
        << relays << " relays, " << limit << " a second";
    }
  }
}

TEST(ReplicaLimits, TheTurnReachesARelayWithRequestsToSend)
{
  // Guards against a limit that is lifted and yet kept permanently, because the
  // relays in turn have no requests.
  for (std::size_t busy = 0; busy < 4; ++busy) {
    Relays fleet{ 4 };
    fleet.limits[0].onAnswer(kReplica, kZone, 1.4, fleet.now);
    fleet.exchangeReports();
    const auto one = [busy](std::size_t aRelay) { return aRelay == busy; };
    fleet.run(seconds{ 10 }, 1.4, one);
    EXPECT_GE(fleet.sent.size(), 2U);
    fleet.run(seconds{ 10 }, std::nullopt, one);
    EXPECT_TRUE(fleet.limits[busy].maySend(kReplica, fleet.now));
    EXPECT_FALSE(fleet.limits[busy].limited(kReplica));
  }
}

TEST(ReplicaLimits, ALiftedLimitIsLiftedForAllRelays)
{
  Relays fleet{ 4 };
  fleet.limits[0].onAnswer(kReplica, kZone, 1.4, fleet.now);
  fleet.exchangeReports();
  EXPECT_TRUE(fleet.limits[3].limited(kReplica));
  fleet.now += seconds{ 1 };
  fleet.limits[2].onAnswer(kReplica, kZone, std::nullopt, fleet.now);
  fleet.exchangeReports();
  for (ReplicaLimits& limits : fleet.limits) {
    EXPECT_TRUE(limits.maySend(kReplica, fleet.now));
    EXPECT_EQ(limits.limitedCount(), 0U);
  }
}

TEST(ReplicaLimits, AnOlderReportDoesNotReplaceANewerOne)
{
  ReplicaLimits limits;
  limits.onAnswer(kReplica, kZone, 1.4, kStart);
  limits.onPeer(RateLimitReport{ kReplica, std::nullopt, milliseconds{ 300 } },
                kZone,
                kStart + milliseconds{ 200 });
  EXPECT_TRUE(limits.limited(kReplica));
}

TEST(ReplicaLimits, LeavesUnknownRelaysTheirPart)
{
  ReplicaLimits limits;
  limits.setOthers({}, 4);
  limits.onAnswer(kReplica, kZone, 8, kStart);
  int sent = 0;
  for (TimePoint now = kStart; now < kStart + seconds{ 10 }; now += kStep) {
    if (limits.maySend(kReplica, now)) {
      limits.onSent(kReplica, now);
      ++sent;
    }
  }
  EXPECT_LE(sent, 21);
  EXPECT_GE(sent, 15);
}

TEST(ReplicaLimits, ForgetsReplicasThatAreNoLongerListed)
{
  ReplicaLimits limits;
  limits.onAnswer(kReplica, kZone, 1.4, kStart);
  limits.keepOnly({ "other" });
  EXPECT_FALSE(limits.limited(kReplica));
}

} // namespace
} // namespace poplartrack
