#include "soak/SoakJudge.h"

#include <gtest/gtest.h>

#include <set>

#include "soak/SoakPlan.h"

namespace poplartrack::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

CallRecord
answered(RequestKind aKind, int aStatus)
{
  return CallRecord{ aKind, "key-1", aStatus, aStatus == 200, {} };
}

TEST(SoakJudge, FindsNothingWhereAllIsWell)
{
  SoakRecord record;
  record.ended("a", answered(RequestKind::Once, 200));
  record.ended("b", answered(RequestKind::Again, 200));
  record.ended("c", answered(RequestKind::Once, 503));
  const SoakVerdict verdict =
    judge(record, { "run a 10", "run b 11", "run b 12" });
  EXPECT_TRUE(verdict.broken.empty());
  EXPECT_EQ(verdict.calls, 3U);
  EXPECT_EQ(verdict.whole, 2U);
  EXPECT_EQ(verdict.refused, 1U);
}

TEST(SoakJudge, FindsEachBrokenPromise)
{
  SoakRecord record;
  record.ended("twice", answered(RequestKind::Once, 502));
  record.ended("refused", answered(RequestKind::Once, 503));
  CallRecord wrong = answered(RequestKind::Stream, 200);
  wrong.wrong = "another answer than the replica's";
  record.ended("wrong", wrong);
  EXPECT_EQ(judge(record, { "run twice 1", "run twice 2" }).broken.size(), 2U);
  EXPECT_EQ(judge(record, { "run refused 1" }).broken.size(), 2U);
  EXPECT_EQ(judge(record, { "run nobody 1" }).broken.size(), 2U);
}

/** Returns a state that was acknowledged at this time. */
DesiredState
stateAt(std::int64_t aFrom)
{
  DesiredState state;
  state.from = aFrom;
  state.accounts["account"] = { "key-1" };
  return state;
}

/** Returns a request that was sent and answered at these times. */
CallRecord
callAt(std::int64_t aSentAt, int aStatus)
{
  CallRecord call = answered(RequestKind::Again, aStatus);
  call.sentAt = aSentAt;
  call.endedAt = aSentAt + 100;
  return call;
}

TEST(SoakJudge, NothingRunsThatNoStateInForceAllows)
{
  for (const MemberChange change : { MemberChange::KeysEmptied,
                                     MemberChange::KeysTakenOut,
                                     MemberChange::AccountsEmptied,
                                     MemberChange::RouteTakenOut,
                                     MemberChange::RoutesEmptied }) {
    SoakRecord record;
    record.states = { stateAt(0), stateAt(1'000) };
    apply(change, record.states.back());
    record.ended("old", callAt(5'900, 200));
    EXPECT_TRUE(judge(record, { "run old 5950" }).broken.empty());
    record.ended("late", callAt(6'100, 200));
    EXPECT_EQ(judge(record, { "run late 6150" }).broken.size(), 1U)
      << kMemberChangeNames[static_cast<std::size_t>(change)];
  }
  SoakRecord record;
  record.states = { stateAt(0) };
  CallRecord unknown = callAt(10, 200);
  unknown.key = "nobodys-key";
  record.ended("unknown", unknown);
  CallRecord large = callAt(10, 200);
  large.bodyBytes = kUsualBody + 1;
  record.ended("large", large);
  EXPECT_EQ(judge(record, { "run unknown 20", "run large 20" }).broken.size(),
            2U);
  apply(MemberChange::AccountsTakenOut, record.states.back());
  apply(MemberChange::LimitRaised, record.states.back());
  EXPECT_TRUE(
    judge(record, { "run unknown 20", "run large 20" }).broken.empty());
}

TEST(SoakJudge, NothingIsDeniedThatEachStateInForceAllows)
{
  SoakRecord record;
  record.states = { stateAt(0), stateAt(1'000), stateAt(2'000) };
  apply(MemberChange::KeysEmptied, record.states[1]);
  record.ended("old", callAt(6'900, 401));
  EXPECT_TRUE(judge(record, {}).broken.empty());
  record.ended("late", callAt(7'100, 401));
  EXPECT_EQ(judge(record, {}).broken.size(), 1U);
  record.ended("late", callAt(7'100, 503));
  EXPECT_TRUE(judge(record, {}).broken.empty());
}

TEST(SoakJudge, AKeyThatWasTakenAwayRunsNoLongerThanTheBound)
{
  SoakRecord record;
  record.keyTaken("key-2", 1'000);
  record.keyBack("key-2", 20'000);
  CallRecord call = answered(RequestKind::Once, 200);
  call.key = "key-2";
  record.ended("a", call);
  EXPECT_TRUE(judge(record, { "run a 5900" }).broken.empty());
  EXPECT_EQ(judge(record, { "run a 6100" }).broken.size(), 1U);
  EXPECT_TRUE(judge(record, { "run a 20100" }).broken.empty());
}

/** A call to a relay, sent at this time. */
CallRecord
callTo(const std::string& aRelay, std::int64_t aSentAt)
{
  CallRecord call = answered(RequestKind::Again, 200);
  call.relay = aRelay;
  call.sentAt = aSentAt;
  return call;
}

TEST(SoakJudge, ARelaySendsAtMostTwoRequestsIntoABackoff)
{
  SoakRecord record;
  for (const char* id : { "a", "b", "c", "d" }) {
    record.ended(id, callTo("relay", 0));
  }
  record.ended("e", callTo("other", 0));
  const std::vector<std::string> allowed{
    "rejected i a 1000", "rejected i b 1400", "rejected i c 1600",
    "rejected i d 1700", "rejected i e 1800",
  };
  EXPECT_TRUE(judge(record, allowed).broken.empty());
  const std::vector<std::string> late{
    "rejected i a 1000",
    "rejected i b 1600",
    "rejected i c 1700",
    "rejected i d 1800",
  };
  EXPECT_EQ(judge(record, late).broken.size(), 1U);
  record.disturbances.begin("relay", 1'500);
  record.disturbances.end("relay", 1'900);
  EXPECT_TRUE(judge(record, late).broken.empty());
}

TEST(SoakJudge, NoRequestFollowsAnAnnouncedDrain)
{
  SoakRecord record;
  record.ended("a", callTo("relay", 990));
  record.ended("b", callTo("relay", 2'000));
  record.ended("c", callTo("relay", 9'000));
  record.ended("d", callTo("other", 9'000));
  EXPECT_TRUE(
    judge(record,
          { "announced i a 1000", "announced i b 2100", "announced i d 9100" })
      .broken.empty());
  EXPECT_EQ(
    judge(record, { "announced i a 1000", "announced i c 9100" }).broken.size(),
    1U);
}

/** A stream of a relay that was sent at 1,000 and has ended at 4,000. */
CallRecord
streamOf(int aStatus)
{
  CallRecord call = answered(RequestKind::Stream, aStatus);
  call.relay = "relay";
  call.sentAt = 1'000;
  call.endedAt = 4'000;
  return call;
}

/** A record with one call under the id "a" and a silence of the replica "i". */
SoakRecord&
recordSilence(SoakRecord& aRecord, const CallRecord& aCall, std::int64_t aFrom)
{
  aRecord.ended("a", aCall);
  aRecord.silences.begin("i", aFrom);
  aRecord.silences.end("i", aFrom + 1'200);
  return aRecord;
}

// Guards against an accepted request that is given up while its replica is
// silent.
TEST(SoakJudge, ARequestThatAReplicaHasTakenOutlivesItsSilence)
{
  const std::vector<std::string> lines{ "took i a 1010" };
  SoakRecord whole;
  const SoakVerdict held =
    judge(recordSilence(whole, streamOf(200), 2'000), lines);
  EXPECT_TRUE(held.broken.empty());
  EXPECT_EQ(held.throughSilence, 1U);
  for (const int status : { 0, 502 }) {
    SoakRecord lost;
    recordSilence(lost, streamOf(status), 2'000);
    EXPECT_EQ(judge(lost, lines).broken.size(), 1U);
  }
  SoakRecord later;
  recordSilence(later, streamOf(502), 1'005);
  EXPECT_TRUE(judge(later, lines).broken.empty());
  SoakRecord other;
  recordSilence(other, streamOf(502), 2'000);
  EXPECT_TRUE(judge(other, { "took other a 1010" }).broken.empty());
}

TEST(SoakJudge, ARequestMayBeLostWithItsRelayOrAReplicaOfItsService)
{
  const std::vector<std::string> lines{ "took i a 1010" };
  for (const char* who : { "relay", "model" }) {
    SoakRecord record;
    recordSilence(record, streamOf(502), 2'000);
    record.losses.begin(who, 3'900);
    EXPECT_TRUE(judge(record, lines).broken.empty()) << who;
  }
  for (const char* who : { "another relay", "plain" }) {
    SoakRecord record;
    recordSilence(record, streamOf(502), 2'000);
    record.losses.begin(who, 3'900);
    EXPECT_EQ(judge(record, lines).broken.size(), 1U) << who;
  }
  SoakRecord cut;
  recordSilence(cut, streamOf(502), 2'000);
  cut.headStops.begin("i", 1'005);
  EXPECT_TRUE(judge(cut, lines).broken.empty());
  for (const std::int64_t stoppedAt : { 990, 1'100 }) {
    SoakRecord stopped;
    recordSilence(stopped, streamOf(502), 2'000);
    stopped.stops.begin("relay", stoppedAt);
    EXPECT_EQ(judge(stopped, lines).broken.empty(), stoppedAt < 1'000);
  }
  SoakRecord cutLater;
  recordSilence(cutLater, streamOf(502), 2'000);
  cutLater.headStops.begin("i", 1'500);
  EXPECT_EQ(judge(cutLater, lines).broken.size(), 1U);
}

// An account that asks for little is held to the share of one that floods.
TEST(SoakJudge, ARequestWithoutOthersOfItsAccountIsNotBeyondItsShare)
{
  SoakRecord record;
  CallRecord call = answered(RequestKind::Stream, 503);
  record.ended("a", call);
  call.alone = true;
  record.ended("b", call);
  const std::string begin = "path: event=beyond_share id=";
  const std::string end = " in_use_tokens=100 share_tokens=33";
  const SoakVerdict verdict = judge(record, { begin + "a" + end });
  EXPECT_TRUE(verdict.broken.empty());
  EXPECT_EQ(verdict.beyondShare, 1U);
  EXPECT_EQ(judge(record, { begin + "b" + end }).broken.size(), 1U);
}

// Plans change with a new kind of fault, so that an old seed gives another run.
TEST(SoakPlan, PlansOfOlderFaultsStayAsTheyWere)
{
  const auto plan = planOf(1, std::chrono::seconds{ 8 }, kSignalFaults);
  ASSERT_EQ(plan.size(), 15U);
  EXPECT_EQ(plan.back().at.count(), 7'896);
  EXPECT_EQ(plan.back().fault, Fault::StoreLinkSilent);
  EXPECT_EQ(plan.back().who, 225'998'475'647'652'457U);
  EXPECT_EQ(plan.back().lasts.count(), 611);
}

TEST(SoakPlan, FloodsAndUnevenReplicasComeInEachContentionPlan)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::set<Fault> kinds;
    for (const PlannedFault& fault :
         contentionPlanOf(seed, std::chrono::seconds{ 8 })) {
      kinds.insert(fault.fault);
    }
    EXPECT_TRUE(kinds.contains(Fault::AccountFloods));
    EXPECT_GT(kinds.size(), 1U);
  }
}

TEST(SoakPlan, SilencesOfAReplicaAreShortAndApart)
{
  constexpr std::size_t kReplicas = 8;
  std::set<Fault> kinds;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::vector<milliseconds> ends(kReplicas, milliseconds{ 0 });
    for (const PlannedFault& fault : silencePlanOf(seed, seconds{ 8 })) {
      kinds.insert(fault.fault);
      if (fault.fault == Fault::ReplicaFallsSilent) {
        milliseconds& end = ends.at(fault.who % kReplicas);
        EXPECT_GE(fault.at, end + milliseconds{ 500 });
        EXPECT_LE(fault.lasts, milliseconds{ 1'300 });
        end = fault.at + fault.lasts;
      }
    }
  }
  EXPECT_EQ(kinds.size(), 4U);
}

TEST(SoakPlan, TheSameSeedGivesTheSamePlan)
{
  const auto one = planOf(7, std::chrono::seconds{ 60 });
  const auto other = planOf(7, std::chrono::seconds{ 60 });
  ASSERT_EQ(one.size(), other.size());
  for (std::size_t i = 0; i < one.size(); ++i) {
    EXPECT_EQ(one[i].at, other[i].at);
    EXPECT_EQ(one[i].fault, other[i].fault);
    EXPECT_EQ(one[i].lasts, other[i].lasts);
  }
}

TEST(SoakPlan, AllKindsOfFaultsComeAndSomeOverlap)
{
  std::set<Fault> kinds;
  bool overlap = false;
  const auto plan = planOf(1, std::chrono::seconds{ 600 }, kFaultNames.size());
  for (std::size_t i = 0; i < plan.size(); ++i) {
    kinds.insert(plan[i].fault);
    overlap =
      overlap || (i > 0 && plan[i].at < plan[i - 1].at + plan[i - 1].lasts);
  }
  EXPECT_EQ(kinds.size(), kFaultNames.size());
  EXPECT_TRUE(overlap);
}

TEST(SoakJudge, FewReplicasCrashUnderAPartThatIsKnown)
{
  SoakRecord record;
  std::vector<std::string> lines;
  for (const char* moment :
       { "1000", "1001", "1002", "1003", "1004", "5000", "5001", "5002" }) {
    lines.emplace_back(std::string{ "crashed r a " } + moment);
  }
  EXPECT_TRUE(judge(record, lines).broken.empty());
  lines.emplace_back("crashed r a 9000");
  EXPECT_EQ(judge(record, lines).broken.size(), 1U);
}

} // namespace
} // namespace poplartrack::soak
