#include <algorithm>

#include <gtest/gtest.h>

#include "harness/Judge.h"
#include "harness/SimWorld.h"

namespace poplartrack::harness {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLimit = seconds{ 6 };

/** Two entries; two engines for each third of the model, a and b; kituo. */
class PromiseTest : public testing::Test
{
protected:
  PromiseTest()
  {
    this->world.startEngine("first-a", { 0, 4 });
    this->world.startEngine("first-b", { 0, 5 });
    this->world.startEngine("middle-a", { 4, 8 });
    this->world.startEngine("middle-b", { 3, 9 });
    this->world.startEngine("last-a", { 8, 12 });
    this->world.startEngine("last-b", { 7, 12 });
    this->world.startService("kituo-1", "kituo");
    this->world.startEntry("entry-1");
    this->world.startEntry("entry-2");
    this->world.run(seconds{ 1 });
  }

  SimWorld::Record ask(const std::string& aEntry = "entry-1")
  {
    SimCall call;
    call.entry = aEntry;
    call.prompt = { 11, 12, 13, 14 };
    call.tokens = 20;
    return this->world.call(call);
  }
  SimWorld::Record dispatch(const std::string& aEntry,
                            const std::string& aKey,
                            Duration aDeadline = seconds{ 5 })
  {
    SimCall call;
    call.entry = aEntry;
    call.service = "kituo";
    call.operation = "dispatch";
    call.body = "crew 7 to heap 3";
    call.idempotent = false;
    call.key = aKey;
    call.deadline = aDeadline;
    return this->world.call(call);
  }
  bool gets(const SimWorld::Record& aRecord, std::size_t aTokens)
  {
    return this->world.runUntil(
      [&] { return aRecord->delivered.size() >= aTokens; }, kLimit);
  }
  bool ends(const SimWorld::Record& aRecord)
  {
    return this->world.runUntil([&] { return !aRecord->answers.empty(); },
                                kLimit);
  }
  /** A side that has an attempt open whose name starts so. */
  std::string busy(const std::string& aStart)
  {
    for (const std::string& name : this->world.sideNames()) {
      if (name.starts_with(aStart) &&
          this->world.side(name).state().openAttempts() > 0) {
        return name;
      }
    }
    ADD_FAILURE() << "no stage of " << aStart << " is at work";
    return this->world.sideNames().front();
  }
  std::size_t dispatches()
  {
    return std::get<standins::ServiceStandin>(
             this->world.endpoint("kituo-1").behind)
      .runs(0)
      .size();
  }
  /** Lets everything late arrive, then asks the judge. */
  void expectNoFault()
  {
    this->world.calm();
    this->world.run(seconds{ 16 });
    EXPECT_EQ(Judge{ this->world }.faults(), std::vector<std::string>{});
  }

  SimWorld world{ 20261202 };
};

TEST_F(PromiseTest, aFrozenStageWakesAfterItsReplacementTookOver)
{
  // Tokens stop: the middle stage is frozen, with steps in its sockets. The
  // entry moves on without it and the answer ends. Then it wakes and goes on
  // with what it has.
  const auto asked = ask();
  ASSERT_TRUE(gets(asked, 3));
  const std::string frozen = busy("middle");
  world.freeze(frozen);
  ASSERT_TRUE(ends(asked));
  EXPECT_TRUE(asked->answers[0].complete);
  world.thaw(frozen);
  expectNoFault();
}

TEST_F(PromiseTest, anEndpointDiesAfterTheRunBeforeTheReply)
{
  // The step ran and its result is lost with the engine. The answer is rebuilt
  // elsewhere from the tokens that the caller has.
  const auto asked = ask();
  ASSERT_TRUE(gets(asked, 5));
  const std::string lost = busy("last");
  world.loseEndpointReplies(lost, 1);
  world.run(milliseconds{ 15 });
  world.kill(lost);
  ASSERT_TRUE(ends(asked));
  EXPECT_TRUE(asked->answers[0].complete);
  expectNoFault();
}

TEST_F(PromiseTest, anEngineRestartsUnderALivingSide)
{
  const auto asked = ask();
  ASSERT_TRUE(gets(asked, 4));
  world.restartEndpoint(busy("middle"));
  ASSERT_TRUE(ends(asked));
  EXPECT_TRUE(asked->answers[0].complete);
  expectNoFault();
}

TEST_F(PromiseTest, aSecondStageDiesDuringTheRecovery)
{
  const auto asked = ask();
  ASSERT_TRUE(gets(asked, 3));
  world.kill(busy("middle"));
  world.run(milliseconds{ 5 });
  world.restart(busy("first"));
  ASSERT_TRUE(ends(asked));
  expectNoFault();
}

TEST_F(PromiseTest, theEntryDiesAndTheCallerAsksAnother)
{
  // The stream is cut in the middle, which cannot be taken for an end; the
  // whole answer comes from the other entry, and the sides drop the orphan.
  const auto first = ask("entry-1");
  ASSERT_TRUE(gets(first, 5));
  world.kill("entry-1");
  EXPECT_TRUE(first->cut);
  EXPECT_TRUE(first->answers.empty());
  const auto second = ask("entry-2");
  ASSERT_TRUE(ends(second));
  EXPECT_TRUE(second->answers[0].complete);
  expectNoFault();
}

TEST_F(PromiseTest, crossedRepliesHurtNobody)
{
  const auto first = ask();
  const auto second = ask();
  world.cross("entry-1");
  ASSERT_TRUE(gets(first, 2));
  world.cross("entry-1");
  world.cross("first-a");
  world.cross("last-a");
  ASSERT_TRUE(ends(first));
  ASSERT_TRUE(ends(second));
  expectNoFault();
}

TEST_F(PromiseTest, oneKeyAtTwoEntriesAtOnceRunsOnce)
{
  const auto first = dispatch("entry-1", "k1");
  const auto second = dispatch("entry-2", "k1");
  ASSERT_TRUE(ends(first));
  ASSERT_TRUE(ends(second));
  EXPECT_TRUE(first->answers[0].complete);
  EXPECT_TRUE(second->answers[0].complete);
  EXPECT_EQ(dispatches(), 1U);
  expectNoFault();
}

TEST_F(PromiseTest, aFrozenHolderOfAClaimIsNotReplaced)
{
  // The first entry claims the key and is frozen before it dispatches. The
  // caller asks the second entry again and again, for longer than any lease:
  // "unknown" each time. Then the first entry wakes and dispatches after all.
  const auto first = dispatch("entry-1", "k1");
  world.run(milliseconds{ 1 });
  world.freeze("entry-1");
  for (int i = 0; i < 5; ++i) {
    const auto again = dispatch("entry-2", "k1", milliseconds{ 300 });
    ASSERT_TRUE(ends(again));
    EXPECT_EQ(again->answers[0].error.kind, ErrorKind::KeyInUse);
    EXPECT_EQ(again->answers[0].ran, RunState::Unknown);
    world.run(milliseconds{ 400 });
  }
  world.thaw("entry-1");
  ASSERT_TRUE(ends(first));
  EXPECT_LE(dispatches(), 1U);
  expectNoFault();
}

TEST_F(PromiseTest, aFrozenSideWithTheCallInItsSocketIsUnknown)
{
  // The side is frozen with a dispatch in its socket buffer. The caller is
  // told "unknown", never "not run": when the side wakes, the call may run.
  world.freeze("kituo-1");
  const auto asked = dispatch("entry-1", "");
  ASSERT_TRUE(ends(asked));
  EXPECT_EQ(asked->answers[0].ran, RunState::Unknown);
  world.thaw("kituo-1");
  world.run(seconds{ 1 });
  EXPECT_LE(dispatches(), 1U);
  expectNoFault();
}

TEST_F(PromiseTest, aClaimWhoseAnswerWasLostIsStillOurs)
{
  world.loseAnswer();
  const auto asked = dispatch("entry-1", "k1");
  ASSERT_TRUE(ends(asked));
  EXPECT_TRUE(asked->answers[0].complete);
  expectNoFault();
}

TEST_F(PromiseTest, anAnswerGivenInAnOutageIsRecordedAfterIt)
{
  // The platform is down when the claimed call ends. A repeat waits for it and
  // must get the answer, not run the call again.
  const auto first = dispatch("entry-1", "k1");
  world.run(milliseconds{ 1 });
  world.outage(true);
  ASSERT_TRUE(ends(first));
  EXPECT_TRUE(first->answers[0].complete);
  const auto again = dispatch("entry-2", "k1");
  world.run(seconds{ 1 });
  world.outage(false);
  ASSERT_TRUE(ends(again));
  EXPECT_TRUE(again->answers[0].complete);
  EXPECT_EQ(dispatches(), 1U);
  expectNoFault();
}

TEST_F(PromiseTest, anOutageBeforeTheClaimIsNotRun)
{
  world.outage(true);
  const auto asked = dispatch("entry-1", "k1");
  ASSERT_TRUE(ends(asked));
  EXPECT_EQ(asked->answers[0].error.kind, ErrorKind::ClaimUnavailable);
  EXPECT_EQ(asked->answers[0].ran, RunState::NotRun);
  EXPECT_EQ(dispatches(), 0U);
  expectNoFault();
}

TEST_F(PromiseTest, aLeavingEndpointRefusesAnEntryThatHasNotHeard)
{
  // The entry is cut off from the side while it is told to leave, so its view
  // still says that it stays. New work goes there and must be refused; the
  // answer that is half made ends.
  const auto before = ask();
  ASSERT_TRUE(gets(before, 2));
  const std::string leaving = busy("middle");
  world.leave(leaving);
  const auto after = ask();
  ASSERT_TRUE(ends(after));
  ASSERT_TRUE(ends(before));
  EXPECT_TRUE(before->answers[0].complete);
  EXPECT_TRUE(after->answers[0].complete);
  expectNoFault();
}

TEST_F(PromiseTest, withNoRouteLeftTheCallerHearsAtOnce)
{
  const auto asked = ask();
  ASSERT_TRUE(gets(asked, 2));
  world.kill("last-a");
  world.kill("last-b");
  ASSERT_TRUE(world.runUntil([&] { return !asked->answers.empty(); },
                             milliseconds{ 2'500 }));
  EXPECT_FALSE(asked->answers[0].complete);
  EXPECT_EQ(asked->answers[0].ran, RunState::Unknown);
  expectNoFault();
}

} // namespace
} // namespace poplartrack::harness
