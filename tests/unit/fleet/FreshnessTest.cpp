#include "poplartrack/fleet/Freshness.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::seconds;

TEST(Freshness, IsVeryOldBeforeTheFirstProof)
{
  const ManualClock clock;
  const Freshness<ManualClock> freshness{ clock };
  EXPECT_GT(freshness.age(), std::chrono::hours{ 24 });
}

TEST(Freshness, AgesWithTheClockAlsoThroughASuspension)
{
  // A relay that resumes after a suspension must not serve a caller whose key
  // was revoked. The clock that it is given counts the suspension.
  ManualClock clock;
  Freshness<ManualClock> freshness{ clock };
  clock.advance(seconds{ 10 });
  freshness.prove(clock.now() - seconds{ 1 });
  EXPECT_EQ(freshness.age(), seconds{ 1 });
  clock.advance(seconds{ 30 });
  EXPECT_EQ(freshness.age(), seconds{ 31 });
}

} // namespace
} // namespace poplartrack
