#include "poplartrack/fleet/ReturnSchedule.h"

#include <map>

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{ seconds{ 100 } };
constexpr DelayRange kRange{ milliseconds{ 1'000 }, milliseconds{ 1'999 } };

class ReturnScheduleTest : public ::testing::Test
{
protected:
  /** Books a return and returns its delay. */
  Duration book(std::uint64_t aAccount = 1, int aUrgency = 0)
  {
    return this->schedule.book({ 1, aAccount, aUrgency, 500 }, kRange, kNow)
             .due -
           kNow;
  }
  /** Makes the schedule expect this capacity in each slot. */
  void expectRoom(int aRoom)
  {
    for (int i = 0; i < aRoom * 20; ++i) {
      this->schedule.onEnded(1, kNow);
    }
  }

  ReturnSchedule schedule;
};

TEST_F(ReturnScheduleTest, ASlotTakesAsManyAsItsExpectedRoom)
{
  this->expectRoom(2);
  EXPECT_EQ(this->book(), milliseconds{ 1'050 });
  EXPECT_EQ(this->book(), milliseconds{ 1'050 });
  EXPECT_EQ(this->book(), milliseconds{ 1'150 });
}

TEST_F(ReturnScheduleTest, RoomIsWhatEndsAtAllRelaysLessWhatIsNew)
{
  this->schedule.setRelays(5);
  this->expectRoom(3);
  EXPECT_EQ(this->schedule.expectedRoom(1, kNow), 15U);
  for (int i = 0; i < 40; ++i) {
    this->schedule.onNewRequest(1, kNow);
  }
  EXPECT_EQ(this->schedule.expectedRoom(1, kNow), 5U);
  EXPECT_EQ(this->schedule.expectedRoom(2, kNow), 1U);
  EXPECT_EQ(this->schedule.expectedRoom(1, kNow + seconds{ 2 }), 1U);
}

/** Guards against slots that fill beyond the others while all are full. */
TEST_F(ReturnScheduleTest, FullSlotsAreFilledEvenly)
{
  std::map<Duration, int> bookings;
  for (int i = 0; i < 30; ++i) {
    EXPECT_LE(++bookings[this->book()], i / 10 + 1);
  }
}

TEST_F(ReturnScheduleTest, BookingsOfPeersTakeRoomUntilTheirSlotIsOver)
{
  this->schedule.onPeerBooking(1, kNow + milliseconds{ 1'010 }, kNow);
  EXPECT_EQ(this->book(), milliseconds{ 1'150 });
  this->schedule.expire(kNow + milliseconds{ 1'100 });
  EXPECT_EQ(this->schedule.size(), 1U);
  this->schedule.expire(kNow + milliseconds{ 1'200 });
  EXPECT_EQ(this->schedule.size(), 0U);
}

/** Guards against memory that grows with the bookings of faulty peers, and
 * against callers that all return at once while no more can be counted. */
TEST_F(ReturnScheduleTest, BookingsAreBounded)
{
  for (std::size_t i = 0; i < 2 * ReturnSchedule::kMaxBookings; ++i) {
    this->schedule.onPeerBooking(
      static_cast<std::uint16_t>(i), kNow + seconds{ 1 }, kNow);
  }
  EXPECT_EQ(this->schedule.size(), ReturnSchedule::kMaxBookings);
  const ReturnBooking early = this->schedule.book({ 1, 1, 0, 0 }, kRange, kNow);
  const ReturnBooking late =
    this->schedule.book({ 1, 1, 0, 999 }, kRange, kNow);
  EXPECT_GT(late.due - early.due, milliseconds{ 900 });
}

} // namespace
} // namespace poplartrack
