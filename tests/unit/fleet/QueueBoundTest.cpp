#include "poplartrack/fleet/QueueBound.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLongestWait = milliseconds{ 1'200 };

class QueueBoundTest : public ::testing::Test
{
protected:
  /** Lets time pass in rounds with a queue of this length; a request is started
   * at each aInterval. Returns how many are over the limit in the last round.
   */
  std::size_t pass(Duration aTime, std::size_t aLength, Duration aInterval)
  {
    std::size_t overLimit = 0;
    for (const TimePoint end = this->now + aTime; this->now < end;) {
      this->now += milliseconds{ 25 };
      if (this->now.time_since_epoch() % aInterval == Duration{ 0 }) {
        this->bound.onStart("model", this->now);
      }
      overLimit = this->bound.requestsOverLimit(
        "model", aLength, kLongestWait, this->now);
    }
    return overLimit;
  }

  TimePoint now{ std::chrono::hours{ 1 } };
  QueueBound bound;
};

TEST_F(QueueBoundTest, ANewQueueHasNoLimit)
{
  // Before a burst, the rate of starts shows the demand and not the capacity.
  this->bound.onStart("model", this->now);
  EXPECT_EQ(this->pass(milliseconds{ 400 }, 1'000, milliseconds{ 100 }), 0U);
}

TEST_F(QueueBoundTest, KeepsWhatCanBeStartedWithinTheLongestWait)
{
  // 20 starts a second are 24 within the longest wait.
  EXPECT_EQ(this->pass(milliseconds{ 3'000 }, 100, milliseconds{ 50 }), 76U);
  EXPECT_EQ(this->pass(milliseconds{ 100 }, 24, milliseconds{ 50 }), 0U);
}

TEST_F(QueueBoundTest, AShortQueueStaysWhenNothingIsStarted)
{
  // After a loss nothing starts for a second; refusing all who wait would use
  // up their only repetition.
  EXPECT_EQ(this->pass(milliseconds{ 3'000 }, 8, std::chrono::hours{ 9 }), 0U);
  EXPECT_EQ(this->pass(milliseconds{ 100 }, 9, std::chrono::hours{ 9 }), 1U);
}

TEST_F(QueueBoundTest, AQueueThatWasEmptyIsNewAgain)
{
  EXPECT_GT(this->pass(milliseconds{ 3'000 }, 100, milliseconds{ 50 }), 0U);
  this->now += milliseconds{ 150 };
  EXPECT_EQ(this->pass(milliseconds{ 100 }, 100, milliseconds{ 50 }), 0U);
}

} // namespace
} // namespace poplartrack
