#include "poplartrack/fleet/LayerRelease.h"

#include <optional>
#include <utility>

#include <gtest/gtest.h>

#include "FleetSamples.h"
#include "poplartrack/fleet/LayerPlanner.h"
#include "poplartrack/fleet/ReleaseNotices.h"
#include "poplartrack/fleet/StatusRepeat.h"

namespace poplartrack {
namespace {

using namespace fleettest;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ seconds{ 100 } };

/** Plans for a zone whose fast replica holds all layers and is busy, while slow
 * ones hold the same layers again. */
class LayerReleaseTest : public ::testing::Test
{
protected:
  LayerReleaseTest()
    : planner(policy())
  {
    this->profile.kinds["fast"].memoryMb = 2'400;
    this->replicas = { replicaOf("big", "a", "fast"),
                       holding("s1", "a", { 0, 5 }),
                       holding("s2", "a", { 5, 10 }),
                       holding("s3", "a", { 10, 15 }) };
    this->replicas[0].layers = LayerRange{ 0, 20 };
    this->busy = { "big", "s1", "s2", "s3" };
    // A planner announces nothing in its first 10 s.
    this->planAfter(Duration{ 0 });
    this->now += seconds{ 9 };
  }
  static LayerPlannerPolicy policy()
  {
    LayerPlannerPolicy policy;
    policy.followsDemand = true;
    return policy;
  }
  std::vector<LayerOrder> planAfter(Duration aTime)
  {
    this->now += aTime;
    return this->planner.plan(
      this->profile, this->replicas, false, this->busy, this->now);
  }
  /** Plans until this time has passed; returns all orders. */
  std::vector<LayerOrder> planFor(Duration aTime)
  {
    std::vector<LayerOrder> all;
    for (const TimePoint end = this->now + aTime; this->now < end;) {
      for (const LayerOrder& order : this->planAfter(milliseconds{ 100 })) {
        all.push_back(order);
      }
    }
    return all;
  }
  /** Returns the outcome of the release that ended last. */
  std::optional<ReleaseOutcome> lastOutcome()
  {
    const auto events = this->planner.takeReleaseEvents();
    return events.empty() ? std::nullopt : events.back().outcome;
  }

  EngineProfile profile = smallProfile();
  LayerPlanner planner;
  std::vector<Replica> replicas;
  std::set<std::string> busy;
  TimePoint now = kStart;
};

// Guards against an extended replica that keeps its layers, and so has memory
// for few requests, for as long as it is busy.
TEST_F(LayerReleaseTest, OrderedOnceNoRequestRunsTheLayers)
{
  EXPECT_TRUE(this->planAfter(seconds{ 1 }).empty());
  ASSERT_TRUE(this->planner.openRelease());
  const OpenRelease open = *this->planner.openRelease();
  EXPECT_EQ(open.released.replica, "big");
  EXPECT_EQ(open.released.layers.from, 0U);
  EXPECT_GT(open.tokensAfter, open.tokensBefore);
  this->planner.setReleaseUse({ { "big", 3 } });
  EXPECT_TRUE(this->planFor(seconds{ 3 }).empty());
  this->planner.setReleaseUse({ { "big", 0 } });
  const auto orders = this->planFor(seconds{ 1 });
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0], (LayerOrder{ "big", open.kept, "" }));
  EXPECT_EQ(this->lastOutcome(), ReleaseOutcome::Ordered);
}

// Guards against an order before all relays know of the release: they would
// send requests that the replica refuses.
TEST_F(LayerReleaseTest, NotOrderedBeforeTheReportsOfAllRelays)
{
  this->planAfter(seconds{ 1 });
  this->planner.setReleaseUse({ { "big", 0 } });
  EXPECT_TRUE(this->planFor(milliseconds{ 2'400 }).empty());
  this->planner.setReleaseUse({});
  EXPECT_TRUE(this->planFor(seconds{ 5 }).empty());
}

// Guards against layers that stay unused behind a long answer.
TEST_F(LayerReleaseTest, GivenUpAfter15Seconds)
{
  this->planAfter(seconds{ 1 });
  this->planner.setReleaseUse({ { "big", 1 } });
  EXPECT_TRUE(this->planFor(milliseconds{ 14'900 }).empty());
  EXPECT_TRUE(this->planner.openRelease());
  EXPECT_TRUE(this->planFor(seconds{ 30 }).empty());
  EXPECT_FALSE(this->planner.openRelease());
  EXPECT_EQ(this->lastOutcome(), ReleaseOutcome::Expired);
}

// Guards against alike replicas whose releases expire one after the other: the
// same long answers pass through them.
TEST_F(LayerReleaseTest, AlikeReplicasWait60SecondsAfterOneHasExpired)
{
  this->replicas.push_back(this->replicas[0]);
  this->replicas.back().id = "big2";
  this->busy.insert("big2");
  this->planAfter(seconds{ 1 });
  ASSERT_TRUE(this->planner.openRelease());
  const std::string first = this->planner.openRelease()->released.replica;
  this->planFor(seconds{ 15 });
  EXPECT_EQ(this->lastOutcome(), ReleaseOutcome::Expired);
  this->planFor(seconds{ 40 });
  EXPECT_FALSE(this->planner.openRelease());
  // Another kind may release its layers at once.
  this->profile.kinds["other"] = this->profile.kinds["fast"];
  this->replicas[first == "big" ? 4 : 0].kind = "other";
  this->planFor(milliseconds{ 100 });
  ASSERT_TRUE(this->planner.openRelease());
  EXPECT_NE(this->planner.openRelease()->released.replica, first);
}

// Guards against layers that stay unused until the release expires, and a
// replica that is barred for 60 s, because a relay falls silent or exits: the
// release could not be ordered any more.
TEST_F(LayerReleaseTest, EndsAtOnceWhenARelayFallsSilent)
{
  this->planAfter(seconds{ 1 });
  ASSERT_TRUE(this->planner.openRelease());
  this->planner.setReleaseUse({ { "big", 0 } });
  this->planner.onRelaySilent(this->now);
  EXPECT_TRUE(this->planFor(milliseconds{ 100 }).empty());
  EXPECT_EQ(this->lastOutcome(), ReleaseOutcome::Silent);
  EXPECT_TRUE(this->planFor(milliseconds{ 14'800 }).empty());
  EXPECT_FALSE(this->planner.openRelease());
  this->planFor(milliseconds{ 100 });
  EXPECT_TRUE(this->planner.openRelease());
}

// Guards against the loss of the last holder of the released layers.
TEST_F(LayerReleaseTest, GivenUpWhenTheOthersLoseTheLayers)
{
  this->planAfter(seconds{ 1 });
  this->planner.setReleaseUse({ { "big", 0 } });
  std::erase_if(this->replicas,
                [](const Replica& aReplica) { return aReplica.id == "s1"; });
  EXPECT_TRUE(this->planFor(seconds{ 2 }).empty());
  EXPECT_EQ(this->lastOutcome(), ReleaseOutcome::Gap);
}

// Guards against a release that goes on, or is announced again at once, while
// replicas crash: the others then carry the requests of the lost ones.
TEST_F(LayerReleaseTest, GivenUpWhenAnyReplicaIsLost)
{
  this->replicas.push_back(holding("s4", "a", { 0, 5 }));
  this->planAfter(seconds{ 1 });
  ASSERT_TRUE(this->planner.openRelease());
  this->planner.setReleaseUse({ { "big", 0 } });
  this->replicas.pop_back();
  EXPECT_TRUE(this->planFor(milliseconds{ 100 }).empty());
  EXPECT_EQ(this->lastOutcome(), ReleaseOutcome::Gap);
  EXPECT_TRUE(this->planFor(milliseconds{ 9'900 }).empty());
  EXPECT_FALSE(this->planner.openRelease());
  this->planFor(milliseconds{ 200 });
  EXPECT_TRUE(this->planner.openRelease());
}

// Guards against a release in a fleet whose last changes this relay does not
// know, because it has just taken the lease from one that may have crashed.
TEST_F(LayerReleaseTest, NoneRightAfterTheLeaseIsTaken)
{
  this->planner = LayerPlanner{ policy() };
  EXPECT_TRUE(this->planFor(milliseconds{ 9'900 }).empty());
  EXPECT_FALSE(this->planner.openRelease());
  this->planFor(milliseconds{ 300 });
  ASSERT_TRUE(this->planner.openRelease());
  this->planner.reset();
  EXPECT_TRUE(this->planFor(milliseconds{ 9'900 }).empty());
  EXPECT_FALSE(this->planner.openRelease());
}

// Guards against a release right after the lease is regained, because the time
// of the last plan under the earlier lease counts as that of the last loss.
TEST_F(LayerReleaseTest, NoneRightAfterTheLeaseIsRegained)
{
  this->now += seconds{ 60 };
  this->planner.reset();
  EXPECT_TRUE(this->planFor(seconds{ 10 }).empty());
  EXPECT_FALSE(this->planner.openRelease());
  this->planFor(milliseconds{ 100 });
  EXPECT_TRUE(this->planner.openRelease());
}

// Guards against releases by a lease holder that may be cut off from the fleet.
TEST_F(LayerReleaseTest, NoneWhileOnlyThisRelayMissesAReplica)
{
  this->planAfter(seconds{ 1 });
  ASSERT_TRUE(this->planner.openRelease());
  for (int i = 0; i < 200; ++i) {
    this->now += milliseconds{ 100 };
    this->planner.plan(
      this->profile, this->replicas, true, this->busy, this->now);
    EXPECT_FALSE(this->planner.openRelease());
  }
}

// Guards against releases, and so less redundancy, without a gain: another
// layer of the zone has no more memory.
TEST_F(LayerReleaseTest, NoneWithoutCapacityAtTheOthers)
{
  this->profile.kinds["slow"].memoryMb = 510;
  EXPECT_TRUE(this->planFor(seconds{ 5 }).empty());
  EXPECT_FALSE(this->planner.openRelease());
}

// Guards against a layer range with one holder that limits its zone while
// another has three, and against a move that is ordered while paths use the
// replica.
TEST_F(LayerReleaseTest, ASpareReplicaMovesWhereDemandExceedsCapacity)
{
  this->replicas = {
    holding("s0", "a", { 0, 7 }),   holding("s1", "a", { 0, 7 }),
    holding("s2", "a", { 0, 7 }),   holding("s3", "a", { 7, 14 }),
    holding("s4", "a", { 14, 20 }), holding("s5", "a", { 14, 20 })
  };
  for (Replica& replica : this->replicas) {
    this->busy.insert(replica.id);
  }
  EXPECT_TRUE(this->planFor(seconds{ 12 }).empty());
  EXPECT_FALSE(this->planner.openRelease());
  this->planner.setDemand({ { "a", TokenRate{ 80'000, 20'000 } } });
  EXPECT_TRUE(this->planFor(milliseconds{ 3'500 }).empty());
  ASSERT_TRUE(this->planner.openRelease());
  const OpenRelease open = *this->planner.openRelease();
  EXPECT_EQ(open.released.layers, (LayerRange{ 0, 7 }));
  this->planner.setReleaseUse({ { open.released.replica, 0 } });
  const auto orders = this->planFor(milliseconds{ 200 });
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].layers, (LayerRange{ 7, 14 }));
  EXPECT_STREQ(orders[0].reason, "demand");
  // The next change of the zone waits until the layers are loaded.
  EXPECT_TRUE(this->planFor(seconds{ 4 }).empty());
  EXPECT_FALSE(this->planner.openRelease());
}

// Guards against changes to a fleet whose operator has not turned them on.
TEST_F(LayerReleaseTest, NoneUnlessTurnedOn)
{
  this->planner = LayerPlanner{ LayerPlannerPolicy{} };
  EXPECT_TRUE(this->planFor(seconds{ 5 }).empty());
  EXPECT_FALSE(this->planner.openRelease());
}

/** An open release and a relay of another zone, which exchange status messages
 * of which one is lost. Times are ms since the announcement. */
struct LossyExchange
{
  static constexpr int kStep = 50;
  static constexpr int kPeriodic = 200;
  static constexpr int kOtherZones = 2 * kPeriodic;

  /** When the status messages go out: the lease holder's and the relay's. */
  int holderPhase = 0;
  int relayPhase = 0;
  /** Whether the lost message is the announcement; otherwise it is the relay's
   * first report of its request. */
  bool losesAnnouncement = false;
  bool lossIsOver = false;
  LayerRelease release;
  StatusRepeat repeat;
  /** When the relay begins its last request through the released layers: just
   * before it learns of the release. */
  int lastRequest = 0;
  /** When the holder has received the relay's report of that request. */
  std::optional<int> reportedAt;
  bool ordered = false;

  void relayReports(int aMs)
  {
    const bool running = this->lastRequest <= aMs;
    if (!this->repeat.shouldSend(running ? "one request" : "none",
                                 kStart + milliseconds{ aMs }) ||
        !running) {
      return;
    }
    const bool lost = !std::exchange(this->lossIsOver, true);
    if (!lost && !this->reportedAt) {
      // Another relay of the zone forwards it with its own next message.
      this->reportedAt = aMs + kPeriodic;
    }
  }
  void run()
  {
    this->release.announce(OpenRelease{}, kStart);
    this->lastRequest =
      this->holderPhase + (this->losesAnnouncement ? kOtherZones : 0);
    this->lossIsOver = this->losesAnnouncement;
    for (int ms = -kOtherZones; ms < 5'000; ms += kStep) {
      if ((ms + 2 * kOtherZones) % kOtherZones == this->relayPhase) {
        this->relayReports(ms);
      }
      if (ms > 0 && ms % kPeriodic == 0) {
        const bool known = this->reportedAt && *this->reportedAt <= ms;
        const ReleaseFacts facts{ true, true, known ? 1U : 0U };
        this->ordered =
          this->release.step(facts, kStart + milliseconds{ ms }) ==
            ReleaseOutcome::Ordered ||
          this->ordered;
      }
    }
  }
};

// Guards against an order while a relay of another zone that received the
// announcement late, or whose report was lost, has a request at the replica.
TEST(LayerRelease, NotOrderedBeforeAReportWhenOneMessageIsLost)
{
  for (const bool losesAnnouncement : { true, false }) {
    for (int holder = 0; holder < 400; holder += LossyExchange::kStep) {
      for (int relay = 0; relay < 400; relay += LossyExchange::kStep) {
        LossyExchange exchange;
        exchange.holderPhase = holder;
        exchange.relayPhase = relay;
        exchange.losesAnnouncement = losesAnnouncement;
        exchange.run();
        EXPECT_TRUE(exchange.reportedAt);
        EXPECT_FALSE(exchange.ordered)
          << losesAnnouncement << " " << holder << " " << relay;
      }
    }
  }
}

// Guards against layers that no relay uses any more because the lease holder
// ended between announcement and order.
TEST(ReleaseNotices, TheReplicaServesItsLayersAgainWhenTheHolderEnds)
{
  ReleaseNotices notices;
  notices.onAnnounced("holder", { { "big", { 0, 5 } } }, kStart);
  EXPECT_EQ(notices.usable("big", { 0, 20 }), (LayerRange{ 5, 20 }));
  EXPECT_EQ(notices.usable("s1", { 0, 5 }), (LayerRange{ 0, 5 }));
  EXPECT_TRUE(notices.concerns("big", { 4, 9 }));
  EXPECT_FALSE(notices.concerns("big", { 5, 9 }));
  notices.expire(kStart + milliseconds{ 1'999 });
  EXPECT_EQ(notices.usable("big", { 0, 20 }), (LayerRange{ 5, 20 }));
  notices.expire(kStart + seconds{ 2 });
  EXPECT_EQ(notices.usable("big", { 0, 20 }), (LayerRange{ 0, 20 }));
  EXPECT_TRUE(notices.empty());
}

// Guards against paths through a replica that drops all its layers, and against
// malformed announcements that take one out of use.
TEST(ReleaseNotices, AWholeRangeMayBeReleasedAndBadRowsAreDropped)
{
  ReleaseNotices notices;
  notices.onAnnounced("x", { { "big", { 9, 3 } }, { "s1", { 0, 5 } } }, kStart);
  EXPECT_EQ(notices.usable("big", { 0, 20 }), (LayerRange{ 0, 20 }));
  EXPECT_EQ(notices.usable("s1", { 0, 5 }).size(), 0U);
}

} // namespace
} // namespace poplartrack
