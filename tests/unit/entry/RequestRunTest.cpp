#include "poplartrack/entry/RequestRun.h"

#include <gtest/gtest.h>

#include "poplartrack/entry/RouteFallback.h"

#include "unit/entry/RunFixture.h"

namespace poplartrack {
namespace {

using std::chrono::milliseconds;

class RequestRunTest
  : public testing::Test
  , public samples::RunFixture
{
protected:
  /** Lets time pass and returns what the run does meanwhile. */
  static std::vector<RunAction> passTime(RunFixture& aFixture, Duration aTime)
  {
    const TimePoint end = aFixture.now + aTime;
    std::vector<RunAction> actions;
    while (aFixture.run.nextWake().value_or(TimePoint::max()) <= end) {
      aFixture.now = *aFixture.run.nextWake();
      for (const RunAction& action : aFixture.run.onTick(aFixture.now)) {
        actions.push_back(action);
      }
    }
    aFixture.now = end;
    return actions;
  }

  /** Stalls the attempt that has made one token, with side b silent, until a
   * route is needed. */
  std::vector<RunAction> stall()
  {
    this->run.start(this->now);
    this->openAll(routeOver());
    this->run.onToken(this->token(0, 21), this->now);
    this->now = *this->run.nextWake();
    std::vector<RunAction> actions = this->run.onTick(this->now);
    for (const SendFence& fence : all<SendFence>(actions)) {
      const FenceReply alive{
        {}, true, kIncarnation, kRequest, fence.message.below
      };
      if (fence.endpoint != "b") {
        this->run.onFenceReply(fence, CallOutcome::Replied, alive, this->now);
      }
    }
    for (RunAction& action : passTime(*this, milliseconds{ 100 })) {
      actions.push_back(std::move(action));
    }
    return actions;
  }

  /** The two tokens that are left complete the answer. */
  static void expectRest(RunFixture& aFixture)
  {
    aFixture.run.onToken(aFixture.token(1, 22), aFixture.now);
    const auto last =
      aFixture.run.onToken(aFixture.token(2, 23), aFixture.now).actions;
    EXPECT_EQ(all<Complete>(last).size(), 1U);
  }
};

TEST_F(RequestRunTest, nothingRunsBeforeAllSidesAgree)
{
  EXPECT_EQ(all<NeedRoute>(run.start(now)).size(), 1U);
  const auto opens = all<SendOpen>(run.onRoute(1, routeOver(), now));
  ASSERT_EQ(opens.size(), 3U);
  EXPECT_EQ(opens[2].message.stage, 2U);
  EXPECT_TRUE(run.onOpenReply(1, 0, CallOutcome::Replied, {}, now).empty());
  EXPECT_TRUE(run.onOpenReply(1, 2, CallOutcome::Replied, {}, now).empty());
  EXPECT_TRUE(run.onOpenReply(1, 2, CallOutcome::Replied, {}, now).empty());
  const auto steps =
    all<SendFirstStep>(run.onOpenReply(1, 1, CallOutcome::Replied, {}, now));
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].endpoint, "a");
  EXPECT_EQ(steps[0].message.inputs.size(), kPromptTokens);
}

TEST_F(RequestRunTest, deliversEachTokenOnceInOrderThenCompletes)
{
  run.start(now);
  openAll(routeOver());
  // The second token overtakes the first; both arrive twice.
  EXPECT_TRUE(run.onToken(token(1, 22), now).actions.empty());
  const auto both = all<DeliverToken>(run.onToken(token(0, 21), now).actions);
  ASSERT_EQ(both.size(), 2U);
  EXPECT_EQ(both[0].token, 21U);
  EXPECT_EQ(both[1].token, 22U);
  EXPECT_TRUE(run.onToken(token(0, 21), now).actions.empty());
  EXPECT_FALSE(run.ended());
  const auto last = run.onToken(token(2, 23), now).actions;
  EXPECT_EQ(all<Complete>(last).size(), 1U);
  ASSERT_EQ(all<SendFence>(last).size(), 3U);
  EXPECT_TRUE(all<SendFence>(last)[0].message.finished);
  EXPECT_TRUE(run.ended());
  EXPECT_TRUE(run.onToken(token(2, 23), now).reply.refused);
}

TEST_F(RequestRunTest, refusesATokenWhoseReceiptLacksAStage)
{
  // A token arrives that one stage did not work on, or another incarnation
  // did. It looks like any other; taken, the answer would be wrong.
  run.start(now);
  openAll(routeOver());
  TokenReady skipped = token(0, 21);
  skipped.receipt.erase(skipped.receipt.begin() + 1);
  EXPECT_EQ(run.onToken(skipped, now).reply.kind, ErrorKind::OutOfOrder);
  EXPECT_EQ(run.attempt(), 2U);
  openAll(routeOver());
  TokenReady restarted = token(0, 21);
  restarted.receipt[1].incarnation += 1;
  EXPECT_TRUE(run.onToken(restarted, now).reply.refused);
  openAll(routeOver());
  TokenReady elsewhere = token(0, 21);
  elsewhere.receipt[2].endpoint = "x";
  EXPECT_TRUE(run.onToken(elsewhere, now).reply.refused);
  EXPECT_TRUE(run.committed().empty());
}

TEST_F(RequestRunTest, takesNoTokenOfAnotherRequestOrAttempt)
{
  // Replies cross on a shared connection, and a frozen stage wakes after its
  // replacement took over.
  run.start(now);
  openAll(routeOver());
  TokenReady crossed = token(0, 99);
  crossed.request = RequestId{ 8, 8 };
  EXPECT_TRUE(run.onToken(crossed, now).reply.refused);
  EXPECT_EQ(run.attempt(), 1U);
  const TokenReady late = token(0, 21);
  run.onEndpointGone("b", now);
  openAll(routeOver("a", "d", "c"));
  EXPECT_EQ(run.onToken(late, now).reply.kind, ErrorKind::FencedAttempt);
  EXPECT_TRUE(run.committed().empty());
}

TEST_F(RequestRunTest, keepsCommittedTokensAndRebuildsFromThem)
{
  // A stage dies after the first token. The caller keeps that token, and the
  // next attempt starts from prompt and token.
  run.start(now);
  openAll(routeOver());
  run.onToken(token(0, 21), now);
  StageTrouble trouble{ kRequest, 1, "b", ErrorKind::Network, {} };
  const auto actions = run.onTrouble(trouble, now);
  EXPECT_EQ(all<SendFence>(actions).size(), 3U);
  EXPECT_EQ(all<SendFence>(actions)[0].message.below, 2U);
  const auto route = all<NeedRoute>(actions);
  ASSERT_EQ(route.size(), 1U);
  EXPECT_TRUE(route[0].avoid.contains("b"));
  EXPECT_EQ(route[0].reason, RetryReason::StageTrouble);
  EXPECT_TRUE(run.onTrouble(trouble, now).empty());
  const auto steps = all<SendFirstStep>(openAll(routeOver("a", "d", "c")));
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].message.inputs,
            (std::vector<std::uint64_t>{ 1, 2, 3, 4, 21 }));
  EXPECT_EQ(all<DeliverToken>(run.onToken(token(1, 22), now).actions)[0].index,
            1U);
}

TEST_F(RequestRunTest, aStallBlamesTheSideThatDoesNotAnswer)
{
  // Stage b freezes: no error, no closed connection, tokens just stop. Its
  // side does not acknowledge the fence; a and c do and stay on the route.
  run.start(now);
  openAll(routeOver());
  now = *run.nextWake();
  const auto fences = all<SendFence>(run.onTick(now));
  ASSERT_EQ(fences.size(), 3U);
  const FenceReply alive{ {}, true, kIncarnation, kRequest, 2 };
  run.onFenceReply(fences[0], CallOutcome::Replied, alive, now);
  run.onFenceReply(fences[2], CallOutcome::Replied, alive, now);
  now = *run.nextWake();
  const auto route = all<NeedRoute>(run.onTick(now));
  ASSERT_EQ(route.size(), 1U);
  EXPECT_EQ(route[0].avoid, (std::set<std::string>{ "b" }));
  EXPECT_EQ(route[0].reason, RetryReason::StageStalled);
}

// Guards against the loss of an answer whose last attempt is silent for a
// second and goes on.
TEST_F(RequestRunTest, aSilentSecondDoesNotEndTheLastAttempt)
{
  RunPolicy policy;
  policy.maxAttempts = 1;
  samples::RunFixture last{ policy };
  last.run.start(last.now);
  last.openAll(routeOver());
  last.run.onToken(last.token(0, 21), last.now);
  EXPECT_TRUE(all<GiveUp>(passTime(last, milliseconds{ 1500 })).empty());
  expectRest(last);
}

// Guards against a stalled attempt that is stopped although no other route is
// found.
TEST_F(RequestRunTest, aStalledAttemptContinuesWithoutAnotherRoute)
{
  const auto stalled = stall();
  EXPECT_EQ(all<NeedRoute>(stalled).size(), 1U);
  for (const SendFence& fence : all<SendFence>(stalled)) {
    EXPECT_LE(fence.message.below, 1U);
  }
  EXPECT_TRUE(
    all<GiveUp>(run.onNoRoute(2, fail(ErrorKind::NoRoute), now)).empty());
  const auto later = passTime(*this, milliseconds{ 1200 });
  EXPECT_EQ(all<NeedRoute>(later).size(), 1U);
  run.onNoRoute(2, fail(ErrorKind::RetriesExhausted), now);
  expectRest(*this);
}

// Guards against a token that arrives while a replacement is looked for and is
// refused.
TEST_F(RequestRunTest, aTokenEndsTheSearchForAReplacement)
{
  stall();
  run.onToken(token(1, 22), now);
  EXPECT_TRUE(run.onRoute(2, routeOver("a", "d", "c"), now).empty());
  EXPECT_TRUE(run.onNoRoute(2, fail(ErrorKind::NoRoute), now).empty());
  EXPECT_EQ(all<Complete>(run.onToken(token(2, 23), now).actions).size(), 1U);
}

// Guards against two attempts of one request that run at the same time.
TEST_F(RequestRunTest, aReplacementFencesTheStalledAttempt)
{
  stall();
  const TokenReady late = token(1, 22);
  const auto actions = run.onRoute(2, routeOver("a", "d", "c"), now);
  ASSERT_EQ(all<SendFence>(actions).size(), 3U);
  EXPECT_EQ(all<SendFence>(actions)[1].endpoint, "b");
  EXPECT_EQ(all<SendFence>(actions)[1].message.below, 2U);
  ASSERT_EQ(all<SendOpen>(actions).size(), 3U);
  EXPECT_EQ(all<SendOpen>(actions)[1].message.attempt, 2U);
  EXPECT_EQ(run.onToken(late, now).reply.kind, ErrorKind::FencedAttempt);
}

// Guards against an attempt that is replaced by one through the same silent
// side.
TEST_F(RequestRunTest, aRouteThroughASilentSideReplacesNothing)
{
  stall();
  EXPECT_TRUE(
    all<SendOpen>(run.onRoute(2, routeOver("d", "b", "c"), now)).empty());
  expectRest(*this);
}

// Guards against a started stream that is cut because a sound stage did not
// take a step for a second.
TEST_F(RequestRunTest, aStageReportedAsSilentEndsNoAttempt)
{
  this->run.start(this->now);
  this->openAll(routeOver());
  this->run.onToken(this->token(0, 21), this->now);
  StageTrouble silent;
  silent.request = kRequest;
  silent.attempt = this->run.attempt();
  silent.endpoint = "b";
  silent.mayContinue = true;
  const auto actions = this->run.onTrouble(silent, this->now);
  EXPECT_TRUE(all<SendFence>(actions).empty());
  const auto needs = all<NeedRoute>(actions);
  ASSERT_EQ(needs.size(), 1U);
  EXPECT_TRUE(needs[0].keepsAttempt);
  EXPECT_EQ(needs[0].failedLast, std::set<std::string>{ "b" });
  EXPECT_TRUE(this->run.onTrouble(silent, this->now).empty());
  this->run.onNoRoute(
    needs[0].attempt, fail(ErrorKind::NoRoute, "none"), this->now);
  expectRest(*this);
}

// Guards against an attempt that is waited for though its stage has ended it.
TEST_F(RequestRunTest, aStageReportedAsFailedEndsItsAttempt)
{
  this->run.start(this->now);
  this->openAll(routeOver());
  StageTrouble failed;
  failed.request = kRequest;
  failed.attempt = this->run.attempt();
  failed.endpoint = "b";
  const auto actions = this->run.onTrouble(failed, this->now);
  EXPECT_EQ(all<SendFence>(actions).size(), 3U);
  ASSERT_EQ(all<NeedRoute>(actions).size(), 1U);
  EXPECT_FALSE(all<NeedRoute>(actions)[0].keepsAttempt);
}

// Guards against a loss that is answered by the end of an earlier search.
TEST_F(RequestRunTest, aLossDuringTheSearchAsksAgain)
{
  stall();
  StageTrouble trouble{ kRequest, 1, "b", ErrorKind::Network, {} };
  const auto need = all<NeedRoute>(run.onTrouble(trouble, now));
  ASSERT_EQ(need.size(), 1U);
  EXPECT_TRUE(run.onNoRoute(2, fail(ErrorKind::NoRoute), now).empty());
  EXPECT_EQ(
    all<SendOpen>(run.onRoute(need[0].attempt, routeOver("a", "d", "c"), now))
      .size(),
    3U);
}

TEST_F(RequestRunTest, stallsByItsOwnPace)
{
  run.start(now);
  openAll(routeOver());
  run.onToken(token(0, 21), now);
  now += milliseconds{ 400 };
  run.onToken(token(1, 22), now);
  // At 400 ms a token, half a second of silence is no stall.
  EXPECT_GT(*run.nextWake(), now + milliseconds{ 500 });
}

TEST_F(RequestRunTest, aSlowRouteIsNotStalledBeforeItsOwnPaceIsKnown)
{
  // A healthy route of slow engines makes a token each 600 ms. Judged by a
  // fixed gap until the second token, each attempt would be cut as stalled, and
  // the caller would see retries_exhausted on an idle fleet.
  run.start(now);
  openAll(routeOver(), { milliseconds{ 1500 }, milliseconds{ 600 } });
  // A loaded route's first token may well take some times what was expected.
  EXPECT_GT(*run.nextWake(), now + milliseconds{ 6000 });
  now += milliseconds{ 1500 };
  run.onToken(token(0, 21), now);
  EXPECT_GT(*run.nextWake(), now + milliseconds{ 1200 });
}

TEST_F(RequestRunTest, givesUpAtOnceWithoutHope)
{
  // A stage dies so late that no rebuild can end in time. The caller hears now,
  // not at the deadline.
  run.start(now);
  openAll(routeOver());
  run.onToken(token(0, 21), now);
  now += std::chrono::milliseconds{ 9'950 };
  const auto given = all<GiveUp>(run.onEndpointGone("b", now));
  ASSERT_EQ(given.size(), 1U);
  EXPECT_EQ(given[0].error.kind, ErrorKind::RetriesExhausted);
  EXPECT_EQ(given[0].ran, RunState::Unknown);
}

TEST_F(RequestRunTest, aRetryHasALatestStart)
{
  // Guards against a retry that waits for the budget until it cannot end by
  // its deadline any more, and against one that is given up before.
  run.start(now);
  openAll(routeOver());
  StageTrouble trouble{ kRequest, 1, "b", ErrorKind::Network, {} };
  const auto need = all<NeedRoute>(run.onTrouble(trouble, now));
  ASSERT_EQ(need.size(), 1U);
  EXPECT_GT(need[0].latest, now);
  EXPECT_LT(need[0].latest, spec().deadline);
  samples::RunFixture late;
  late.run.start(late.now);
  late.openAll(routeOver());
  EXPECT_EQ(all<NeedRoute>(late.run.onTrouble(trouble, need[0].latest)).size(),
            1U);
  samples::RunFixture tooLate;
  tooLate.run.start(tooLate.now);
  tooLate.openAll(routeOver());
  EXPECT_TRUE(all<NeedRoute>(
                tooLate.run.onTrouble(trouble, need[0].latest + Duration{ 1 }))
                .empty());
}

TEST_F(RequestRunTest, aRefusedOpenIsProvablyNotRun)
{
  run.start(now);
  run.onRoute(1, routeOver(), now);
  OpenReply leaving;
  leaving.refusal = Refusal::of(fail(ErrorKind::Leaving));
  const auto actions =
    run.onOpenReply(1, 1, CallOutcome::Replied, leaving, now);
  EXPECT_TRUE(all<NeedRoute>(actions)[0].avoid.contains("b"));
  const auto given =
    all<GiveUp>(run.onNoRoute(2, fail(ErrorKind::NoRoute), now));
  ASSERT_EQ(given.size(), 1U);
  EXPECT_EQ(given[0].ran, RunState::NotRun);
}

// Guards against an answer that is given up within a second because sides
// reject the attempts that would continue it.
TEST_F(RequestRunTest, aRejectedOpenIsNoAttempt)
{
  OpenReply rejection;
  rejection.refusal = Refusal::of(fail(ErrorKind::StageRefused));
  run.start(now);
  openAll(routeOver());
  run.onToken(token(0, 21), now);
  run.onEndpointGone("b", now);
  for (int open = 1; open <= 15; ++open) {
    run.onRoute(run.attempt(), routeOver("a", "d", "c"), now);
    const auto next =
      run.onOpenReply(run.attempt(), 1, CallOutcome::Replied, rejection, now);
    ASSERT_EQ(all<NeedRoute>(next).size(), 1U);
    now += milliseconds{ 100 };
  }
  EXPECT_EQ(all<SendFirstStep>(openAll(routeOver("a", "d", "c"))).size(), 1U);
}

// Guards against a lost answer that is held until its deadline although every
// side rejects it.
TEST_F(RequestRunTest, rejectionsEndItInTime)
{
  OpenReply rejection;
  rejection.refusal = Refusal::of(fail(ErrorKind::StageRefused));
  run.start(now);
  while (!run.ended() && now < spec().deadline) {
    run.onRoute(run.attempt(), routeOver(), now);
    run.onOpenReply(run.attempt(), 1, CallOutcome::Replied, rejection, now);
    now += milliseconds{ 100 };
  }
  EXPECT_TRUE(run.ended());
  EXPECT_LE(now, TimePoint{ std::chrono::seconds{ 3 } });
}

// Guards against a lost answer because a side is silent for some seconds when
// an attempt is opened.
TEST_F(RequestRunTest, aSilentOpenIsTriedAgainWhileThereIsTime)
{
  run.start(now);
  for (int open = 1; open <= 12; ++open) {
    run.onRoute(run.attempt(), routeOver(), now);
    now = *run.nextWake();
    ASSERT_EQ(all<NeedRoute>(run.onTick(now)).size(), 1U);
  }
  EXPECT_EQ(all<SendFirstStep>(openAll(routeOver())).size(), 1U);
}

// Guards against retries at an endpoint that has just died while another one,
// which failed the request earlier, is available again.
TEST_F(RequestRunTest, whatFailedLastIsChosenLast)
{
  run.start(now);
  run.onRoute(1, routeOver("a", "d", "c"), now);
  run.onOpenReply(1, 1, CallOutcome::NotSent, {}, now);
  openAll(routeOver());
  const auto need = all<NeedRoute>(run.onEndpointGone("b", now));
  ASSERT_EQ(need.size(), 1U);
  const std::set<std::string> both{ "b", "d" };
  const std::set<std::string> last{ "b" };
  const std::set<std::string> none;
  EXPECT_EQ(avoidInOrder(need[0], true),
            (std::vector<std::set<std::string>>{ both, last, none }));
  EXPECT_EQ(avoidInOrder(need[0], false),
            (std::vector<std::set<std::string>>{ both }));
}

TEST_F(RequestRunTest, saysNotRunOnlyWithTheFirstStagesProof)
{
  // The first step's fate is unknown. Only its side's word, from the same
  // incarnation, makes the answer "not run".
  const auto endWith = [](const FenceReply& aReply) {
    samples::RunFixture fixture;
    fixture.run.start(fixture.now);
    fixture.openAll(routeOver());
    fixture.run.onFirstStepReply(1, CallOutcome::Unknown, {}, fixture.now);
    const auto retry =
      fixture.run.onFirstStepReply(1, CallOutcome::Unknown, {}, fixture.now);
    EXPECT_EQ(all<NeedRoute>(retry).size(), 1U);
    const auto lost = fixture.run.onEndpointGone("b", fixture.now);
    const SendFence fence = all<SendFence>(lost).at(0);
    auto actions = fixture.run.onNoRoute(
      fixture.run.attempt(), fail(ErrorKind::NoRoute), fixture.now);
    EXPECT_TRUE(actions.empty());
    actions = fixture.run.onFenceReply(
      fence, CallOutcome::Replied, aReply, fixture.now);
    return all<GiveUp>(actions).at(0).ran;
  };
  EXPECT_EQ(endWith({ {}, false, kIncarnation, kRequest, 2 }),
            RunState::NotRun);
  EXPECT_EQ(endWith({ {}, true, kIncarnation, kRequest, 2 }),
            RunState::Unknown);
  EXPECT_EQ(endWith({ {}, false, kIncarnation + 1, kRequest, 2 }),
            RunState::Unknown);
  EXPECT_EQ(endWith({ {}, false, kIncarnation, RequestId{ 8, 8 }, 2 }),
            RunState::Unknown);
}

TEST_F(RequestRunTest, anOldFencesReplyProvesNothingOfALaterAttempt)
{
  // The reply to the first attempt's fence arrives when a second attempt has
  // begun at the same side: "never ran" was true when it was written.
  run.start(now);
  openAll(routeOver());
  const auto fences = all<SendFence>(run.onEndpointGone("b", now));
  openAll(routeOver("a", "d", "c"));
  run.onEndpointGone("d", now);
  run.onNoRoute(3, fail(ErrorKind::NoRoute), now);
  ASSERT_FALSE(run.ended());
  run.onFenceReply(fences[0],
                   CallOutcome::Replied,
                   { {}, false, kIncarnation, kRequest, 2 },
                   now);
  EXPECT_FALSE(run.ended());
  now = *run.nextWake();
  EXPECT_EQ(all<GiveUp>(run.onTick(now)).at(0).ran, RunState::Unknown);
}

TEST_F(RequestRunTest, resendsTheFirstStepOnce)
{
  run.start(now);
  openAll(routeOver());
  EXPECT_EQ(
    all<SendFirstStep>(run.onFirstStepReply(1, CallOutcome::Unknown, {}, now))
      .size(),
    1U);
  const auto actions = run.onFirstStepReply(1, CallOutcome::Unknown, {}, now);
  EXPECT_EQ(all<NeedRoute>(actions).at(0).reason,
            RetryReason::StepUnacknowledged);
}

// Guards against a request that is given up because its first side is silent
// for two seconds.
TEST_F(RequestRunTest, resendsTheFirstStepIfThereIsNoOtherRoute)
{
  run.start(now);
  openAll(routeOver());
  run.onFirstStepReply(1, CallOutcome::Unknown, {}, now);
  run.onFirstStepReply(1, CallOutcome::Unknown, {}, now);
  const auto kept = run.onNoRoute(2, fail(ErrorKind::NoRoute), now);
  EXPECT_TRUE(all<GiveUp>(kept).empty());
  EXPECT_EQ(all<SendFirstStep>(kept).size(), 1U);
}

TEST_F(RequestRunTest, theDeadlineEndsIt)
{
  run.start(now);
  openAll(routeOver());
  now = spec().deadline;
  const auto given = all<GiveUp>(run.onTick(now));
  ASSERT_EQ(given.size(), 1U);
  EXPECT_EQ(given[0].error.kind, ErrorKind::DeadlineExceeded);
  EXPECT_FALSE(run.nextWake());
  EXPECT_TRUE(run.onCallerGone(now).empty());
}

} // namespace
} // namespace poplartrack
