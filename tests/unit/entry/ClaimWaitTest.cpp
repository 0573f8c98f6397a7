#include "poplartrack/entry/ClaimWait.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow{ std::chrono::hours{ 1 } };

ClaimVerdict
refusedWith(ClaimProspect aProspect)
{
  return ClaimRefused{ fail(ErrorKind::KeyInUse),
                       RunState::Unknown,
                       aProspect };
}

TEST(ClaimWait, aHolderIsWaitedForUntilTheDeadline)
{
  // Guards against the refusal of a call whose answer another entry is about
  // to record.
  ClaimWait wait{ kNow + seconds{ 20 } };
  const ClaimVerdict inUse = refusedWith(ClaimProspect::HolderMayEnd);
  TimePoint now = kNow;
  int tries = 0;
  while (const auto pause = wait.pauseAfter(inUse, now)) {
    ASSERT_GT(*pause, Duration{ 0 });
    now += *pause;
    ++tries;
  }
  EXPECT_EQ(now, kNow + seconds{ 20 });
  // Two a second, and a few at the start.
  EXPECT_LE(tries, 50);
}

TEST(ClaimWait, anOutageIsWaitedForBriefly)
{
  // Guards against the refusal of a call in the moment of a restart of the
  // platform's table, and against one that is held back in a long outage.
  ClaimWait wait{ kNow + seconds{ 60 } };
  const ClaimVerdict away = refusedWith(ClaimProspect::PlatformMayReturn);
  TimePoint now = kNow;
  while (const auto pause = wait.pauseAfter(away, now)) {
    now += *pause;
  }
  EXPECT_GE(now, kNow + seconds{ 5 });
  EXPECT_LT(now, kNow + seconds{ 6 });
}

TEST(ClaimWait, eachOutageHasItsOwnTime)
{
  ClaimWait wait{ kNow + seconds{ 60 } };
  const ClaimVerdict away = refusedWith(ClaimProspect::PlatformMayReturn);
  EXPECT_TRUE(wait.pauseAfter(away, kNow));
  EXPECT_TRUE(wait.pauseAfter(refusedWith(ClaimProspect::HolderMayEnd),
                              kNow + seconds{ 4 }));
  EXPECT_TRUE(wait.pauseAfter(away, kNow + seconds{ 8 }));
  EXPECT_TRUE(wait.pauseAfter(away, kNow + seconds{ 12 }));
  EXPECT_FALSE(wait.pauseAfter(away, kNow + seconds{ 13 }));
}

TEST(ClaimWait, aShortCallIsNotAnsweredLate)
{
  ClaimWait wait{ kNow + seconds{ 1 } };
  const ClaimVerdict inUse = refusedWith(ClaimProspect::HolderMayEnd);
  EXPECT_LE(wait.pauseAfter(inUse, kNow), milliseconds{ 10 });
  const TimePoint last = kNow + seconds{ 1 } - milliseconds{ 1 };
  EXPECT_EQ(wait.pauseAfter(inUse, last), milliseconds{ 1 });
}

TEST(ClaimWait, aFinalVerdictEndsTheWait)
{
  ClaimWait wait{ kNow + seconds{ 20 } };
  EXPECT_FALSE(wait.pauseAfter(ClaimHeld{}, kNow));
  EXPECT_FALSE(wait.pauseAfter(ClaimReplay{}, kNow));
  EXPECT_FALSE(wait.pauseAfter(refusedWith(ClaimProspect::None), kNow));
}

} // namespace
} // namespace poplartrack
