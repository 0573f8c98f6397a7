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

/** Two contenders that share a clock. */
class LeaseTest : public testing::Test
{
protected:
  /** Loses the next aBefore writes before they take effect, and the answers of
   * the next aAfter writes after they did. */
  void loseWrites(std::uint32_t aBefore, std::uint32_t aAfter)
  {
    PlatformFaults faults;
    faults.loseBefore = aBefore;
    faults.loseAfter = aAfter;
    this->platform.setFaults(faults);
  }

  /** Lets this time pass. Both contenders poll every second. */
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

TEST_F(LeaseTest, oneHoldsAndRenewsWhileTheOtherWaits)
{
  this->first.poll();
  this->pollBoth(60);
  ASSERT_TRUE(this->first.held());
  EXPECT_EQ(this->first.held()->fence, 1);
  EXPECT_FALSE(this->second.held());
}

// The holder is suspended past the end of its lease, and the other contender
// takes the lease over with a higher fencing number. The first one must see
// that its lease has expired before it reads the row again.
TEST_F(LeaseTest, aSuspendedHolderIsReplacedAndResumesWithoutTheLease)
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

// The write that acquires the lease takes effect and its answer is lost. If the
// contender treated it as a failure, nobody would hold the lease until it
// expires.
TEST_F(LeaseTest, anAcquisitionWhoseAnswerWasLostIsFoundByReading)
{
  this->loseWrites(0, 1);
  this->first.poll();
  EXPECT_FALSE(this->first.held());
  this->clock.advance(seconds{ 1 });
  this->first.poll();
  ASSERT_TRUE(this->first.held());
  EXPECT_EQ(this->first.held()->fence, 1);
}

// A renewal takes effect and its answer is lost. Until the row was read, the
// lease still counts from the write before it.
TEST_F(LeaseTest, aRenewalWithALostAnswerDoesNotExtendTheLeaseYet)
{
  this->first.poll();
  this->clock.advance(seconds{ 3 });
  this->loseWrites(0, 1);
  this->first.poll();
  PlatformFaults outage;
  outage.outage = true;
  this->platform.setFaults(outage);
  this->clock.advance(seconds{ 2 });
  this->first.poll();
  ASSERT_TRUE(this->first.held());
  // 9 s less the margin of 0.9 s, counted from the first write 5 s ago.
  EXPECT_EQ(this->first.held()->timeLeft, std::chrono::milliseconds{ 3'100 });
}

TEST_F(LeaseTest, theLeaseExpiresInAnOutageAndIsAcquiredAfterIt)
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

TEST_F(LeaseTest, aReleasedLeaseIsAcquiredAtTheNextPoll)
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

// The store rejects only the holder's calls. The holder releases the lease and
// reports it to the others, which need not wait until the row's lease expires.
// Without a holder, nobody replaces what is lost.
TEST_F(LeaseTest, aReportedLocalReleaseIsNotWaitedFor)
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

// A renewal is under way when the holder releases the lease locally, and the
// store carries it out. The holder must not hold the lease with the same number
// again, because it has reported that number as released.
TEST_F(LeaseTest, aRenewalAfterALocalReleaseDoesNotRestoreTheLease)
{
  this->first.poll();
  this->loseWrites(0, 1);
  this->clock.advance(seconds{ 4 });
  this->first.poll();
  this->platform.setFaults({});
  EXPECT_EQ(this->first.releaseLocally(), 1U);
  this->clock.advance(seconds{ 1 });
  this->first.poll();
  const auto held = this->first.held();
  EXPECT_TRUE(!held || held->fence > 1);
}

// The row contains bytes that are no lease record. Overwriting them would
// restart the fencing numbers, and orders of a former holder would be accepted
// again.
TEST_F(LeaseTest, anUnreadableRowIsNeverOverwritten)
{
  ASSERT_TRUE(this->platform.transact(
    { { kLeaseTable, "placement-oslo", 0, "garbage" } }));
  this->pollBoth(60);
  EXPECT_FALSE(this->first.held());
  EXPECT_FALSE(currentFence(this->platform, "placement-oslo"));
}

} // namespace
} // namespace poplartrack
