#include "poplartrack/entry/PlainRun.h"

#include <gtest/gtest.h>

#include "poplartrack/entry/RouteFallback.h"

namespace poplartrack {
namespace {

const PlainTarget kFirst{ "k1", 11, "10.0.0.1:1" };
const PlainTarget kSecond{ "k2", 12, "10.0.0.2:1" };

constexpr RequestId kRequest{ 2, 4 };

PlainReply
ownReply()
{
  PlainReply reply;
  reply.request = kRequest;
  return reply;
}

FenceReply
fenceReply(bool aEverRan, std::uint64_t aIncarnation)
{
  return { {}, aEverRan, aIncarnation, kRequest, FenceRequest::kFenceAll };
}

template<typename Action>
std::vector<Action>
all(const std::vector<PlainAction>& aActions)
{
  std::vector<Action> found;
  for (const PlainAction& action : aActions) {
    if (const auto* one = std::get_if<Action>(&action)) {
      found.push_back(*one);
    }
  }
  return found;
}

class PlainRunTest : public testing::Test
{
protected:
  /** A call that has been sent to the first endpoint. */
  PlainRun sent(bool aIdempotent)
  {
    PlainSpec spec;
    spec.request = kRequest;
    spec.service = "kituo";
    spec.operation = "dispatch";
    spec.body = "{}";
    spec.idempotent = aIdempotent;
    spec.deadline = TimePoint{ std::chrono::seconds{ 5 } };
    PlainRun run = std::move(PlainRun::create(spec, {})).value();
    EXPECT_EQ(all<NeedEndpoint>(run.start(this->now)).size(), 1U);
    EXPECT_EQ(all<SendPlain>(run.onEndpoint(1, kFirst, this->now)).size(), 1U);
    return run;
  }

  TimePoint now{};
};

TEST_F(PlainRunTest, aDispatchCutAfterSendingIsNotRepeated)
{
  // The connection is cut after the dispatch was sent. It may have run, so
  // nobody may send a second crew: the answer is "unknown", at once.
  PlainRun run = sent(false);
  const auto fences =
    all<SendFence>(run.onPlainReply(1, CallOutcome::Unknown, {}, now));
  ASSERT_EQ(fences.size(), 1U);
  EXPECT_EQ(fences[0].message.below, FenceRequest::kFenceAll);
  const auto end = run.onFenceReply(fences[0], CallOutcome::Unknown, {}, now);
  ASSERT_EQ(end.size(), 1U);
  EXPECT_EQ(all<GiveUp>(end).at(0).error.kind, ErrorKind::OutcomeUnknown);
  EXPECT_EQ(all<GiveUp>(end).at(0).ran, RunState::Unknown);
}

TEST_F(PlainRunTest, aDispatchGoesElsewhereOnlyWithProof)
{
  const auto after = [this](const FenceReply& aReply) {
    PlainRun run = sent(false);
    const auto fences =
      all<SendFence>(run.onPlainReply(1, CallOutcome::Unknown, {}, now));
    return run.onFenceReply(fences.at(0), CallOutcome::Replied, aReply, now);
  };
  const auto proved = all<NeedEndpoint>(after(fenceReply(false, 11)));
  ASSERT_EQ(proved.size(), 1U);
  EXPECT_TRUE(proved[0].avoid.contains("k1"));
  EXPECT_EQ(all<GiveUp>(after(fenceReply(true, 11))).at(0).ran,
            RunState::Unknown);
  // The side was replaced: its successor cannot know.
  EXPECT_EQ(all<GiveUp>(after(fenceReply(false, 12))).at(0).ran,
            RunState::Unknown);
  FenceReply full = fenceReply(false, 11);
  full.refusal = Refusal::of(fail(ErrorKind::Overloaded));
  EXPECT_EQ(all<GiveUp>(after(full)).at(0).ran, RunState::Unknown);
  FenceReply crossed = fenceReply(false, 11);
  crossed.request = RequestId{ 8, 8 };
  EXPECT_EQ(all<GiveUp>(after(crossed)).at(0).ran, RunState::Unknown);
}

TEST_F(PlainRunTest, aReplyAfterTheDeadlineProvesNothing)
{
  // The entry was frozen while it waited; by now the side may have forgotten.
  PlainRun run = sent(false);
  const auto fences =
    all<SendFence>(run.onPlainReply(1, CallOutcome::Unknown, {}, now));
  now += std::chrono::minutes{ 30 };
  const auto end = run.onFenceReply(
    fences.at(0), CallOutcome::Replied, fenceReply(false, 11), now);
  EXPECT_EQ(all<GiveUp>(end).at(0).ran, RunState::Unknown);
}

TEST_F(PlainRunTest, aRefusedDispatchMayGoElsewhere)
{
  PlainRun run = sent(false);
  PlainReply leaving = ownReply();
  leaving.refusal = Refusal::of(fail(ErrorKind::Leaving));
  leaving.mayHaveRun = false;
  EXPECT_EQ(
    all<NeedEndpoint>(run.onPlainReply(1, CallOutcome::Replied, leaving, now))
      .size(),
    1U);
  const auto sends = all<SendPlain>(run.onEndpoint(2, kSecond, now));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].message.attempt, 2U);
  const auto end = run.onNoEndpoint(2, fail(ErrorKind::NoRoute), now);
  EXPECT_TRUE(end.empty());
  EXPECT_EQ(
    all<NeedEndpoint>(run.onPlainReply(2, CallOutcome::NotSent, {}, now))
      .size(),
    1U);
  EXPECT_EQ(
    all<GiveUp>(run.onNoEndpoint(3, fail(ErrorKind::NoRoute), now)).at(0).ran,
    RunState::NotRun);
}

TEST_F(PlainRunTest, aLookupIsTriedElsewhereAndAnsweredOnce)
{
  PlainRun run = sent(true);
  now = *run.nextWake();
  EXPECT_EQ(all<NeedEndpoint>(run.onTick(now)).at(0).reason,
            RetryReason::PlainIdempotent);
  const auto moved = run.onEndpoint(2, kSecond, now);
  ASSERT_EQ(all<SendFence>(moved).size(), 1U);
  EXPECT_EQ(all<SendFence>(moved)[0].endpoint, "k1");
  EXPECT_EQ(all<SendFence>(moved)[0].message.below, 2U);
  EXPECT_EQ(all<SendPlain>(moved).at(0).endpoint, "k2");
  PlainReply late = ownReply();
  late.status = 200;
  late.body = "late";
  EXPECT_TRUE(run.onPlainReply(1, CallOutcome::Replied, late, now).empty());
  late.body = "found";
  const auto end = run.onPlainReply(2, CallOutcome::Replied, late, now);
  EXPECT_EQ(all<Answer>(end).at(0).body, "found");
  EXPECT_TRUE(run.onPlainReply(2, CallOutcome::Replied, late, now).empty());
}

// Guards against the loss of a call whose only endpoint is silent for seconds.
TEST_F(PlainRunTest, aSilentEndpointIsWaitedForIfThereIsNoOther)
{
  PlainRun run = sent(true);
  for (int second = 1; second <= 4; ++second) {
    now = *run.nextWake();
    const auto asked = run.onTick(now);
    ASSERT_EQ(all<NeedEndpoint>(asked).size(), 1U);
    EXPECT_TRUE(all<SendFence>(asked).empty());
    EXPECT_TRUE(
      all<GiveUp>(run.onNoEndpoint(2, fail(ErrorKind::NoRoute), now)).empty());
  }
  PlainReply late = ownReply();
  late.body = "late";
  const auto end = run.onPlainReply(1, CallOutcome::Replied, late, now);
  ASSERT_EQ(all<Answer>(end).size(), 1U);
  EXPECT_EQ(all<Answer>(end)[0].body, "late");
}

// Guards against a refusal because the only endpoint, which is sound, took no
// connection for a second.
TEST_F(PlainRunTest, aSideThatWasSilentAtAConnectIsTheLastResort)
{
  for (const bool idempotent : { true, false }) {
    PlainRun run = sent(idempotent);
    const auto needs = all<NeedEndpoint>(run.onUnreached(1, now));
    ASSERT_EQ(needs.size(), 1U);
    EXPECT_EQ(needs[0].avoid, std::set<std::string>{ "k1" });
    const auto order = avoidInOrder(needs[0]);
    ASSERT_EQ(order.size(), 2U);
    EXPECT_TRUE(order[0].contains("k1"));
    EXPECT_FALSE(order[1].contains("k1"));
    // One that has refused it since is no resort.
    run.onEndpoint(2, kSecond, now);
    const auto refused =
      all<NeedEndpoint>(run.onPlainReply(2, CallOutcome::NotSent, {}, now));
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(avoidInOrder(refused[0]).at(1), std::set<std::string>{ "k2" });
  }
}

// Guards against a last attempt that silence ends before the deadline.
TEST_F(PlainRunTest, theLastAttemptWaitsForItsDeadline)
{
  PlainRun run = sent(true);
  for (std::uint32_t attempt = 2; attempt <= PlainPolicy{}.maxAttempts;
       ++attempt) {
    now += std::chrono::milliseconds{ 1 };
    run.onPlainReply(attempt - 1, CallOutcome::NotSent, {}, now);
    run.onEndpoint(attempt, kSecond, now);
  }
  EXPECT_EQ(*run.nextWake(), TimePoint{ std::chrono::seconds{ 5 } });
}

TEST_F(PlainRunTest, anothersAnswerIsNotTaken)
{
  // Two replies are crossed on one connection. The caller must not be told
  // what was answered to somebody else.
  PlainRun run = sent(false);
  PlainReply crossed = ownReply();
  crossed.request = RequestId{ 8, 8 };
  const auto actions = run.onPlainReply(1, CallOutcome::Replied, crossed, now);
  EXPECT_TRUE(all<Answer>(actions).empty());
  EXPECT_EQ(all<SendFence>(actions).size(), 1U);
}

TEST_F(PlainRunTest, theDeadlineOfASentCallIsUnknown)
{
  PlainRun run = sent(false);
  now = *run.nextWake();
  const auto end = run.onTick(now);
  EXPECT_EQ(all<SendFence>(end).size(), 1U);
  EXPECT_EQ(all<GiveUp>(end).at(0).error.kind, ErrorKind::DeadlineExceeded);
  EXPECT_EQ(all<GiveUp>(end).at(0).ran, RunState::Unknown);
}

} // namespace
} // namespace poplartrack
