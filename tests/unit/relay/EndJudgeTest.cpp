#include "../../../src/relay/EndJudge.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

TEST(EndJudge, AReadAloneTellsTheEnd)
{
  const EndJudge judge;
  EXPECT_FALSE(judge.hasWriteError());
  EXPECT_EQ(judge.endOf(0), ConnectionEnd::Finished);
  EXPECT_EQ(judge.endOf(ECONNRESET), ConnectionEnd::Broken);
  EXPECT_EQ(judge.endOf(ETIMEDOUT), ConnectionEnd::Silent);
}

// Guards against a reset or a silence that a write met first, so that the read
// returns 0.
TEST(EndJudge, TheErrorOfAWriteGoesBeforeTheEndOfARead)
{
  EndJudge reset;
  reset.onWriteError(ECONNRESET);
  EXPECT_TRUE(reset.hasWriteError());
  EXPECT_EQ(reset.endOf(0), ConnectionEnd::Broken);
  EndJudge silent;
  silent.onWriteError(ETIMEDOUT);
  silent.onWriteError(ECONNRESET);
  EXPECT_EQ(silent.endOf(0), ConnectionEnd::Silent);
}

// Guards against a whole answer that counts as cut because its replica resets
// the rest of the request after it.
TEST(EndJudge, AResetAfterTheRegularEndIsThatEnd)
{
  EndJudge judge;
  judge.onWriteError(EPIPE);
  EXPECT_TRUE(judge.hasWriteError());
  EXPECT_EQ(judge.endOf(0), ConnectionEnd::Finished);
}

} // namespace
} // namespace poplartrack
