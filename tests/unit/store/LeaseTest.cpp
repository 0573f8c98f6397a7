#include "poplartrack/store/Lease.h"

#include <gtest/gtest.h>

#include "standins/lib/PlatformStandin.h"

namespace poplartrack {
namespace {

using standins::PlatformFaults;
using std::chrono::seconds;
using Platform = standins::PlatformStandin<ManualClock>;
using TestLease = Lease<Platform, ManualClock>;

LeaseSettings
settingsOf(const std::string& aHolder)
{
  LeaseSettings settings;
  settings.name = "placement-oslo";
  settings.holder = aHolder;
  return settings;
}

/** Two contenders with one clock. */
class LeaseTest : public testing::Test
{
protected:
  void lose(std::uint32_t aBefore, std::uint32_t aAfter)
  {
    PlatformFaults faults;
    faults.loseBefore = aBefore;
    faults.loseAfter = aAfter;
    this->platform.setFaults(faults);
  }

  void pollBoth(int aSeconds)
  {
    for (int i = 0; i < aSeconds; ++i) {
      this->clock.advance(seconds{ 1 });
      this->first.poll();
      this->second.poll();
    }
  }

  ManualClock clock;
  Platform platform{ clock };
  TestLease first{ platform, clock, settingsOf("first") };
  TestLease second{ platform, clock, settingsOf("second") };
};

TEST_F(LeaseTest, oneHoldsAndRenewsTheOtherWaits)
{
  this->first.poll();
  this->pollBoth(60);
  ASSERT_TRUE(this->first.held());
  EXPECT_EQ(this->first.held()->fence, 1);
  EXPECT_FALSE(this->second.held());
}

// The holder is frozen past its lease. The other takes it over with a higher
// number; the first, awake again, finds no time left before it has even read.
TEST_F(LeaseTest, aFrozenHolderIsReplacedAndWakesWithoutALease)
{
  this->first.poll();
  this->second.poll();
  for (int i = 0; i < 20; ++i) {
    this->clock.advance(seconds{ 1 });
    this->second.poll();
  }
  EXPECT_FALSE(this->first.held());
  ASSERT_TRUE(this->second.held());
  EXPECT_EQ(this->second.held()->fence, 2);
  this->first.poll();
  EXPECT_FALSE(this->first.held());
  EXPECT_EQ(currentFence(this->platform, "placement-oslo").value(), 2);
}

// The write that takes the lease is done and its answer lost. Taken for a
// failure, nobody would hold the lease until it ends.
TEST_F(LeaseTest, aLostAnswerAfterTheEffectIsFoundOutByReading)
{
  this->lose(0, 1);
  this->first.poll();
  EXPECT_FALSE(this->first.held());
  this->clock.advance(seconds{ 1 });
  this->first.poll();
  ASSERT_TRUE(this->first.held());
  EXPECT_EQ(this->first.held()->fence, 1);
}

// A renewal takes effect unseen. The lease counts from before it was sent, not
// from when it was read back.
TEST_F(LeaseTest, aRenewalFoundByReadingCountsFromItsSending)
{
  this->first.poll();
  this->clock.advance(seconds{ 3 });
  this->lose(0, 1);
  this->first.poll();
  PlatformFaults outage;
  outage.outage = true;
  this->platform.setFaults(outage);
  this->clock.advance(seconds{ 2 });
  this->first.poll();
  ASSERT_TRUE(this->first.held());
  // 9 s less 0.9 s from the first write, 5 s ago: the second is not seen yet.
  EXPECT_EQ(this->first.held()->timeLeft, std::chrono::milliseconds{ 3'100 });
}

TEST_F(LeaseTest, anOutageEndsTheLeaseAndItsEndBringsItBack)
{
  this->first.poll();
  this->second.poll();
  PlatformFaults outage;
  outage.outage = true;
  this->platform.setFaults(outage);
  this->pollBoth(30);
  EXPECT_FALSE(this->first.held());
  EXPECT_FALSE(this->second.held());
  this->platform.setFaults({});
  this->pollBoth(2);
  EXPECT_NE(this->first.held().has_value(), this->second.held().has_value());
}

TEST_F(LeaseTest, aReleasedLeaseIsTakenAtTheNextLook)
{
  this->first.poll();
  this->second.poll();
  this->first.release();
  EXPECT_FALSE(this->first.held());
  this->clock.advance(seconds{ 5 });
  this->second.poll();
  ASSERT_TRUE(this->second.held());
  EXPECT_EQ(this->second.held()->fence, 2);
}

// The store turns only the holder away. It says so to the others, who need not
// wait for the row's time: without a holder what is lost stays lost.
TEST_F(LeaseTest, aLeaseThatWasGivenUpIsNotWaitedFor)
{
  this->first.poll();
  this->second.poll();
  EXPECT_EQ(this->first.releaseLocally(), 1U);
  EXPECT_FALSE(this->first.held());
  this->second.onReleased(1);
  this->second.poll();
  ASSERT_TRUE(this->second.held());
  EXPECT_EQ(this->second.held()->fence, 2);
}

// A renewal was under way when the holder gave up, and the store carried it
// out. The others were told that nobody holds this number any more.
TEST_F(LeaseTest, aRenewalThatCameThroughDoesNotBringItBack)
{
  this->first.poll();
  this->lose(0, 1);
  this->clock.advance(seconds{ 4 });
  this->first.poll();
  this->platform.setFaults({});
  EXPECT_EQ(this->first.releaseLocally(), 1U);
  this->clock.advance(seconds{ 1 });
  this->first.poll();
  const auto held = this->first.held();
  EXPECT_TRUE(!held || held->fence > 1);
}

// Somebody else's bytes are in the row: writing over them would start the
// fencing numbers anew, and orders of an old holder would pass again.
TEST_F(LeaseTest, aRowThatCannotBeReadIsLeftAlone)
{
  ASSERT_TRUE(this->platform.transact(
    { { kLeaseTable, "placement-oslo", 0, "garbage" } }));
  this->pollBoth(60);
  EXPECT_FALSE(this->first.held());
  EXPECT_FALSE(currentFence(this->platform, "placement-oslo"));
}

} // namespace
} // namespace poplartrack
