#include "poplartrack/fleet/ReplicaHealth.h"

#include <gtest/gtest.h>

#include "poplartrack/fleet/PlainChoice.h"

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ seconds{ 50 } };
constexpr Duration kHeartbeat = milliseconds{ 1'200 };

TEST(ReplicaHealth, ADeadReplicaIsAvoidedUntilTheListDropsIt)
{
  ReplicaHealth health{ kHeartbeat };
  health.onFailure("one", ReplicaFailure::Unreachable, kStart);
  EXPECT_FALSE(health.usable("one", kStart + seconds{ 3 }));
  EXPECT_TRUE(health.usable("one", kStart + seconds{ 5 }));
  EXPECT_EQ(health.deadReplicas(kStart + seconds{ 1 }).count("one"), 1U);
}

TEST(ReplicaHealth, BlockedOnHoldsOnlyReplicasThatOthersStallOn)
{
  // If unreachable replicas were included, a relay that is cut off from some
  // would make every other relay stop using them.
  ReplicaHealth health{ kHeartbeat };
  health.onFailure("mine", ReplicaFailure::Unreachable, kStart);
  health.onFailure("named", ReplicaFailure::Stalled, kStart);
  const auto blocking = health.blockedOn(kStart + milliseconds{ 10 });
  EXPECT_EQ(blocking.size(), 1U);
  EXPECT_EQ(blocking.count("named"), 1U);
}

TEST(ReplicaHealth, ARefusalCausesAShortBackoffOnly)
{
  ReplicaHealth health{ kHeartbeat };
  health.onFailure("one", ReplicaFailure::Refused, kStart);
  EXPECT_FALSE(health.usable("one", kStart + milliseconds{ 100 }));
  // Its running requests continue: moving them would use up an attempt.
  EXPECT_FALSE(health.dead("one", kStart + milliseconds{ 100 }));
  EXPECT_TRUE(health.usable("one", kStart + milliseconds{ 500 }));
  EXPECT_TRUE(health.deadReplicas(kStart).empty());
}

TEST(ReplicaHealth, AResetConnectionDoesNotMakeAReplicaDead)
{
  // A replica ran a request and reset its connection. That answer is lost, but
  // requests whose path begins at the replica must not avoid it for four
  // seconds.
  ReplicaHealth health{ kHeartbeat };
  health.onFailure("one", failureOf(false, false), kStart);
  EXPECT_FALSE(health.dead("one", kStart));
  EXPECT_TRUE(health.usable("one", kStart + milliseconds{ 500 }));
  health.onFailure("two", failureOf(true, false), kStart);
  EXPECT_TRUE(health.dead("two", kStart + seconds{ 1 }));
}

TEST(ReplicaHealth, AnAnswerMakesItHealthyAgain)
{
  ReplicaHealth health{ kHeartbeat };
  health.onFailure("one", ReplicaFailure::Stalled, kStart);
  health.onSuccess("one");
  EXPECT_TRUE(health.usable("one", kStart));
  EXPECT_TRUE(health.blockedOn(kStart).empty());
}

TEST(ReplicaHealth, AStatusAnswerEndsTheMarkOfASilence)
{
  // Guards against a replica that is out of use for seconds after a silence.
  ReplicaHealth health{ kHeartbeat };
  health.onFailure("one", ReplicaFailure::Unreachable, kStart);
  EXPECT_TRUE(health.onStatusAnswer("one", kStart + milliseconds{ 200 }));
  EXPECT_TRUE(health.usable("one", kStart + milliseconds{ 200 }));
  EXPECT_EQ(health.lastSign("one"), LifeSign::StatusAnswer);
}

TEST(ReplicaHealth, AnAnswerToAnEarlierQueryDoesNotEndTheMark)
{
  // The replica may have been lost after it had sent the answer.
  ReplicaHealth health{ kHeartbeat };
  health.onFailure("one", ReplicaFailure::Unreachable, kStart);
  EXPECT_FALSE(health.onStatusAnswer("one", kStart - milliseconds{ 10 }));
  EXPECT_FALSE(health.usable("one", kStart + milliseconds{ 10 }));
}

TEST(ReplicaHealth, AReplicaThatIsStillSilentStaysOutOfUse)
{
  // Guards against requests to a replica that has not answered for seconds.
  ReplicaHealth health{ kHeartbeat };
  health.onFailure("one", ReplicaFailure::Unreachable, kStart);
  health.onStillSilent("one", kStart + seconds{ 3 });
  EXPECT_FALSE(health.usable("one", kStart + seconds{ 6 }));
  const auto mark = health.markOf("one", kStart + seconds{ 6 });
  ASSERT_TRUE(mark);
  EXPECT_EQ(mark->since, kStart);
  EXPECT_EQ(mark->evidence, LossEvidence::Silence);
  health.onStillSilent("two", kStart);
  EXPECT_TRUE(health.usable("two", kStart));
}

TEST(ReplicaHealth, AReplicaThatBlocksOthersAgainStaysOutOfUse)
{
  // It answers this relay, and the other replicas cannot reach it: each return
  // would stall the work that passes through it.
  ReplicaHealth health{ kHeartbeat };
  health.onFailure("one", ReplicaFailure::Stalled, kStart);
  const TimePoint asked = kStart + milliseconds{ 200 };
  EXPECT_TRUE(health.onStatusAnswer("one", asked));
  const TimePoint again = asked + seconds{ 1 };
  health.onFailure("one", ReplicaFailure::Stalled, again);
  EXPECT_FALSE(health.onStatusAnswer("one", again + milliseconds{ 200 }));
  EXPECT_FALSE(health.usable("one", again + seconds{ 3 }));
  EXPECT_TRUE(health.onProgress("one", again + seconds{ 1 }));
}

TEST(ReplicaHealth, AReportOlderThanTheReplicasAnswerIsNoLoss)
{
  // Guards against a replica that is named again by what was true before it
  // had answered.
  ReplicaHealth health{ kHeartbeat };
  health.onFailure("one", ReplicaFailure::Unreachable, kStart);
  const TimePoint asked = kStart + milliseconds{ 200 };
  EXPECT_TRUE(health.onStatusAnswer("one", asked));
  health.onFailure("one", ReplicaFailure::Stalled, asked + milliseconds{ 200 });
  EXPECT_TRUE(health.usable("one", asked + milliseconds{ 200 }));
}

TEST(ReplicaHealth, AReplicaInUseThatAnswersMayBlockOthers)
{
  // Guards against status answers that hide that other replicas cannot reach
  // it.
  ReplicaHealth health{ kHeartbeat };
  health.onSlowdown("one", 1);
  health.onStatusAnswer("one", kStart);
  health.onFailure("one", ReplicaFailure::Stalled, kStart + milliseconds{ 90 });
  EXPECT_FALSE(health.usable("one", kStart + milliseconds{ 100 }));
}

TEST(ReplicaHealth, ReturnsDegradedReplicas)
{
  ReplicaHealth health{ kHeartbeat };
  health.onSlowdown("slow", 12);
  health.onSlowdown("well", 1.1);
  EXPECT_EQ(health.degraded().size(), 1U);
  health.onSlowdown("slow", 1);
  EXPECT_TRUE(health.degraded().empty());
}

Replica
plainIn(const std::string& aId, const std::string& aZone)
{
  Replica replica;
  replica.id = aId;
  replica.zone = aZone;
  return replica;
}

TEST(PlainChoice, PrefersItsOwnZoneUntilAnotherIsLessBusy)
{
  const Replica here = plainIn("here", "a");
  const Replica there = plainIn("there", "b");
  std::vector<PlainCandidate> candidates{ { &here }, { &there } };
  EXPECT_EQ(choosePlainReplica(candidates, "a"), &here);
  candidates[0].inFlight = 2;
  EXPECT_EQ(choosePlainReplica(candidates, "a"), &there);
}

TEST(PlainChoice, AvoidsAReplicaThatAnswersWithErrors)
{
  // Its health page reports no fault, and it is the least busy since errors are
  // quick. By load alone it would get most of the requests.
  const Replica failing = plainIn("grey", "a");
  const Replica healthy = plainIn("well", "b");
  const std::vector<PlainCandidate> candidates{ { &failing, 0, 0.5 },
                                                { &healthy, 4, 0 } };
  EXPECT_EQ(choosePlainReplica(candidates, "a"), &healthy);
}

TEST(PlainChoice, NeverChoosesAReplicaTwiceForOneRequest)
{
  const Replica only = plainIn("only", "a");
  const std::vector<PlainCandidate> candidates{ { &only, 0, 0, true, true } };
  EXPECT_EQ(choosePlainReplica(candidates, "a"), nullptr);
}

TEST(ReplicaHealth, ARelayThatReachesFewReplicasNamesNoMoreThanAThird)
{
  // Its own link or the paths are the likelier fault, and streams that leave
  // all replicas at once make it worse.
  constexpr std::size_t kReplicas = 30;
  ReplicaHealth health{ kHeartbeat };
  health.setListed(kReplicas);
  for (std::size_t i = 0; i < kReplicas; ++i) {
    health.onFailure(
      "r" + std::to_string(i), ReplicaFailure::Unreachable, kStart);
  }
  EXPECT_EQ(health.deadReplicas(kStart).size(), kReplicas / 3);
  EXPECT_FALSE(health.mayName("r29", kStart));
  EXPECT_TRUE(health.mayName("r0", kStart));
  EXPECT_FALSE(health.usable("r29", kStart));
  EXPECT_TRUE(health.usable("r29", kStart + seconds{ 1 }));
}

} // namespace
} // namespace poplartrack
