#include "poplartrack/entry/IdempotencyClaim.h"

#include <gtest/gtest.h>

#include "poplartrack/base/Clock.h"
#include "standins/lib/PlatformStandin.h"

namespace poplartrack {
namespace {

using Platform = standins::PlatformStandin<ManualClock>;

class IdempotencyClaimTest : public testing::Test
{
protected:
  ClaimVerdict claim(const std::string& aToken, const std::string& aBody = "{}")
  {
    return this->claims.claim({ "dar-es-salaam",
                                "heap-17",
                                bodyDigest("kituo", "dispatch", aBody),
                                aToken });
  }
  static bool holds(const ClaimVerdict& aVerdict)
  {
    return std::holds_alternative<ClaimHeld>(aVerdict);
  }
  static ClaimRefused refusal(const ClaimVerdict& aVerdict)
  {
    return std::get<ClaimRefused>(aVerdict);
  }

  ManualClock clock;
  Platform platform{ clock };
  IdempotencyClaim<Platform> claims{ platform };
};

TEST_F(IdempotencyClaimTest, oneOfTwoEntriesDispatches)
{
  // A caller hears nothing and repeats the dispatch at another entry while the
  // first still holds it, frozen for any time. Only one may dispatch.
  const ClaimVerdict first = claim("entry-1");
  ASSERT_TRUE(holds(first));
  clock.advance(std::chrono::hours{ 100 });
  EXPECT_EQ(refusal(claim("entry-2")).error.kind, ErrorKind::KeyInUse);
  EXPECT_EQ(refusal(claim("entry-2")).ran, RunState::Unknown);
  ASSERT_TRUE(
    claims.end(answeredClaim(std::get<ClaimHeld>(first), 200, "crew 4")));
  const ClaimVerdict repeat = claim("entry-2");
  ASSERT_TRUE(std::holds_alternative<ClaimReplay>(repeat));
  EXPECT_EQ(std::get<ClaimReplay>(repeat).body, "crew 4");
}

TEST_F(IdempotencyClaimTest, anOutcomeThatIsUnknownForEverIsNotWaitedFor)
{
  // While the holder runs, its answer may come. After it has ended without
  // one, a repeat that waited would be held back until its deadline for
  // nothing.
  const ClaimVerdict first = claim("entry-1");
  EXPECT_EQ(refusal(claim("entry-2")).prospect, ClaimProspect::HolderMayEnd);
  ASSERT_TRUE(claims.end(unknownClaim(std::get<ClaimHeld>(first))));
  const ClaimRefused ended = refusal(claim("entry-2"));
  EXPECT_EQ(ended.error.kind, ErrorKind::KeyInUse);
  EXPECT_EQ(ended.ran, RunState::Unknown);
  EXPECT_EQ(ended.prospect, ClaimProspect::None);
}

TEST_F(IdempotencyClaimTest, aClaimOfAnOlderEntryIsRead)
{
  const auto record = claimRecordFromText(
    R"({"token":"t","digest":"d","state":0,"status":0,"body":""})");
  ASSERT_TRUE(record);
  EXPECT_FALSE(record.value().endedUnknown);
}

TEST_F(IdempotencyClaimTest, aLostAnswerIsSettledByTheToken)
{
  // The write took effect and its answer was lost. Taken for another's row,
  // the key would be in use for ever and nobody would dispatch.
  platform.setFaults({ .loseAfter = 1 });
  const ClaimVerdict verdict = claim("entry-1");
  ASSERT_TRUE(holds(verdict));
  EXPECT_TRUE(
    claims.end(answeredClaim(std::get<ClaimHeld>(verdict), 200, "crew 4")));
  platform.setFaults({ .loseBefore = 1 });
  EXPECT_TRUE(std::holds_alternative<ClaimReplay>(claim("entry-2")));
}

TEST_F(IdempotencyClaimTest, aWriteThatWasLostIsTriedAgain)
{
  platform.setFaults({ .loseBefore = 2 });
  EXPECT_TRUE(holds(claim("entry-1")));
}

TEST_F(IdempotencyClaimTest, withoutAClaimNothingIsDispatched)
{
  platform.setFaults({ .outage = true });
  const ClaimRefused refused = refusal(claim("entry-1"));
  EXPECT_EQ(refused.error.kind, ErrorKind::ClaimUnavailable);
  EXPECT_EQ(refused.ran, RunState::NotRun);
  EXPECT_EQ(refused.prospect, ClaimProspect::PlatformMayReturn);
}

TEST_F(IdempotencyClaimTest, theSameKeyWithAnotherBodyIsRefused)
{
  const ClaimVerdict first = claim("entry-1");
  ASSERT_TRUE(
    claims.end(answeredClaim(std::get<ClaimHeld>(first), 200, "crew 4")));
  const ClaimRefused refused = refusal(claim("entry-2", R"({"crew":5})"));
  EXPECT_EQ(refused.error.kind, ErrorKind::BadRequest);
  EXPECT_NE(refused.error.detail.find("heap-17"), std::string::npos);
}

TEST_F(IdempotencyClaimTest, onlyTheHolderGivesTheKeyBack)
{
  const ClaimVerdict first = claim("entry-1");
  ASSERT_TRUE(claims.end(releasedClaim(std::get<ClaimHeld>(first))));
  const ClaimVerdict second = claim("entry-2");
  ASSERT_TRUE(holds(second));
  // The first holder wakes late and releases once more.
  EXPECT_FALSE(claims.end(releasedClaim(std::get<ClaimHeld>(first))));
  EXPECT_FALSE(holds(claim("entry-3")));
}

TEST_F(IdempotencyClaimTest, anAnswerThatCannotBeKeptIsNotReplayed)
{
  const ClaimVerdict first = claim("entry-1");
  const std::string large(kMaxClaimBody + 1, 'x');
  ASSERT_TRUE(
    claims.end(answeredClaim(std::get<ClaimHeld>(first), 200, large)));
  EXPECT_EQ(refusal(claim("entry-2")).ran, RunState::Ran);
  EXPECT_FALSE(canKeepBody("\xff\xfe"));
}

TEST_F(IdempotencyClaimTest, keysOfTwoAccountsNeverMeet)
{
  EXPECT_NE(claimRowKey("a", "b:c"), claimRowKey("a:b", "c"));
  EXPECT_FALSE(claimRecordFromText("{}"));
  EXPECT_FALSE(claimRecordFromText("not json"));
}

} // namespace
} // namespace poplartrack
