#include "poplartrack/fleet/ExpectedReturns.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{ seconds{ 100 } };
constexpr std::uint32_t kContent = 7;

class ExpectedReturnsTest : public ::testing::Test
{
protected:
  /** Passes what the booking relay reports aAfter from now on to the other one,
   * as a message with this delay. The relays' clocks differ by an hour. */
  std::size_t report(Duration aAfter, Duration aDelay = Duration{ 0 })
  {
    const TimePoint sentAt = kNow + aAfter;
    return this->peer
      .onPeer({ 1, sentAt + std::chrono::hours{ 1 } },
              this->booking.recentOwn(sentAt, 64),
              sentAt + aDelay)
      .size();
  }

  ExpectedReturns booking;
  ExpectedReturns peer;
};

TEST_F(ExpectedReturnsTest, AReturnIsRecognizedOnceWithinItsWindow)
{
  const TimePoint due = kNow + seconds{ 3 };
  this->booking.add(kContent, 1, due, kNow);
  EXPECT_FALSE(this->booking.take(kContent, due - milliseconds{ 501 }));
  EXPECT_FALSE(this->booking.take(kContent + 1, due));
  EXPECT_EQ(this->booking.take(kContent, due + milliseconds{ 5 }),
            milliseconds{ 5 });
  EXPECT_FALSE(this->booking.take(kContent, due));
}

TEST_F(ExpectedReturnsTest, TheSameContentTwiceIsTwoReturns)
{
  const TimePoint due = kNow + seconds{ 3 };
  this->booking.add(kContent, 1, due, kNow);
  this->booking.add(kContent, 1, due, kNow);
  EXPECT_EQ(this->report(milliseconds{ 0 }), 2U);
  EXPECT_TRUE(this->peer.take(kContent, due));
  EXPECT_TRUE(this->peer.take(kContent, due));
  EXPECT_FALSE(this->peer.take(kContent, due));
}

/** Guards against a report that is repeated, late or rounded differently and
 * counts as another booking. */
TEST_F(ExpectedReturnsTest, RepeatedReportsAreOneReturn)
{
  this->booking.add(kContent, 1, kNow + milliseconds{ 300 }, kNow);
  EXPECT_EQ(this->report(milliseconds{ 10 }, milliseconds{ 400 }), 1U);
  EXPECT_EQ(this->report(milliseconds{ 210 }), 0U);
  EXPECT_TRUE(this->peer.take(kContent, kNow + milliseconds{ 300 }));
  // Used up and due, but still reported.
  EXPECT_EQ(this->report(milliseconds{ 410 }), 0U);
  EXPECT_EQ(this->report(milliseconds{ 990 }, milliseconds{ 400 }), 0U);
  EXPECT_FALSE(this->peer.take(kContent, kNow + seconds{ 1 }));
}

/** Guards against a booking relay that ends, and with it the return that it has
 * reported to its peers only once. */
TEST_F(ExpectedReturnsTest, OneReportIsEnough)
{
  this->booking.add(kContent, 1, kNow + seconds{ 4 }, kNow);
  EXPECT_EQ(this->report(milliseconds{ 150 }, milliseconds{ 400 }), 1U);
  this->peer.expire(kNow + seconds{ 4 });
  EXPECT_EQ(this->peer.take(kContent, kNow + seconds{ 4 }),
            milliseconds{ -400 });
}

TEST_F(ExpectedReturnsTest, BookingsAreReportedForASecondTheNewestFirst)
{
  this->booking.add(1, 1, kNow + seconds{ 4 }, kNow);
  this->booking.add(2, 1, kNow + seconds{ 3 }, kNow + milliseconds{ 500 });
  const auto reports = this->booking.recentOwn(kNow + seconds{ 1 }, 64);
  ASSERT_EQ(reports.size(), 2U);
  EXPECT_EQ(reports.front().content, 2U);
  EXPECT_EQ(reports.front().dueIn, seconds{ 2 });
  EXPECT_EQ(this->booking.recentOwn(kNow + seconds{ 1 }, 1).size(), 1U);
  EXPECT_EQ(this->report(milliseconds{ 1'001 }), 1U);
  EXPECT_TRUE(this->peer.recentOwn(kNow + seconds{ 1 }, 64).empty());
}

/** Guards against returns that are dropped shortly before they are due, so that
 * none is recognized while callers are rejected faster than the bound allows.
 */
TEST_F(ExpectedReturnsTest, BeyondTheBoundTheReturnsDueLastAreDropped)
{
  // 4,000 rejections a second for 8 s; each caller returns after 4 s.
  constexpr std::uint32_t kWaiting = 16'000;
  constexpr Duration kInterval = std::chrono::microseconds{ 250 };
  constexpr Duration kWait = kWaiting * kInterval;
  // Relays drop what is over five times a second.
  constexpr std::uint32_t kExpiryInterval = 800;
  std::size_t recognized = 0;
  for (std::uint32_t i = 0; i < 2 * kWaiting; ++i) {
    const TimePoint now = kNow + i * kInterval;
    if (i % kExpiryInterval == 0) {
      this->booking.expire(now);
    }
    this->booking.add(i, 1, now + kWait, now);
    if (i >= kWaiting) {
      recognized += this->booking.take(i - kWaiting, now) ? 1 : 0;
    }
  }
  EXPECT_GE(recognized, ExpectedReturns::kMaxEntries);
  EXPECT_LE(this->booking.size(), ExpectedReturns::kMaxEntries);
}

/** Guards against a booking that is due soon and finds the table full of later
 * ones, and against a report that counts as new in each message. */
TEST_F(ExpectedReturnsTest, AFullTableKeepsTheReturnsDueFirst)
{
  for (std::uint32_t i = 0; i < ExpectedReturns::kMaxEntries; ++i) {
    this->peer.add(1'000 + i, 1, kNow + seconds{ 3 } + milliseconds{ i }, kNow);
  }
  this->booking.add(1, 1, kNow + seconds{ 1 }, kNow);
  EXPECT_EQ(this->report(milliseconds{ 10 }), 1U);
  EXPECT_EQ(this->report(milliseconds{ 210 }), 0U);
  EXPECT_TRUE(this->peer.take(1, kNow + seconds{ 1 }));
  const std::uint32_t last = 1'000 + ExpectedReturns::kMaxEntries - 1;
  const Duration lastDue = milliseconds{ 3'000 + last - 1'000 };
  EXPECT_FALSE(this->peer.take(last, kNow + lastDue));
  EXPECT_TRUE(this->peer.take(last - 1, kNow + lastDue));
  // The last one kept is due 11 s ahead, so this is due before it.
  const ReturnReport report{ 2, 1, ExpectedReturns::kMaxAhead };
  EXPECT_EQ(this->peer.onPeer({ 1, kNow }, { report }, kNow).size(), 1U);
  EXPECT_EQ(this->peer.size(), ExpectedReturns::kMaxEntries);
}

/** Guards against memory that grows with rejections or with faulty peers. */
TEST_F(ExpectedReturnsTest, EntriesAreBoundedAndExpire)
{
  for (std::uint32_t i = 0; i <= ExpectedReturns::kMaxEntries; ++i) {
    this->booking.add(i, 1, kNow, kNow);
  }
  EXPECT_EQ(this->booking.size(), ExpectedReturns::kMaxEntries);
  EXPECT_FALSE(this->booking.take(ExpectedReturns::kMaxEntries, kNow));
  EXPECT_TRUE(this->booking.take(0, kNow));
  EXPECT_TRUE(
    this->peer.onPeer({ 1, kNow }, { { 1, 1, seconds{ 11 } } }, kNow).empty());
  this->booking.expire(kNow + seconds{ 2 });
  EXPECT_FALSE(this->booking.empty());
  this->booking.expire(kNow + milliseconds{ 2'001 });
  EXPECT_TRUE(this->booking.empty());
}

} // namespace
} // namespace poplartrack
