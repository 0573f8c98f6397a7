#include "poplartrack/fleet/StatusRepeat.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr Duration kPeriod = milliseconds{ 400 };

TEST(StatusRepeat, SendsAnythingNewAtOnce)
{
  StatusRepeat repeat;
  EXPECT_TRUE(repeat.shouldSend("load 1", kStart));
  EXPECT_TRUE(repeat.shouldSend("load 2", kStart + kPeriod));
  EXPECT_TRUE(repeat.shouldSend("load 1", kStart + 2 * kPeriod));
}

TEST(StatusRepeat, TheReceiversHearOfARelayAtRestInTime)
{
  // Receivers drop what they know of a relay after two seconds without a
  // message. With one of the messages lost, the next one must still be in time.
  StatusRepeat repeat;
  TimePoint before = kStart;
  TimePoint last = kStart;
  for (TimePoint now = kStart; now < kStart + std::chrono::minutes{ 1 };
       now += kPeriod) {
    if (repeat.shouldSend("at rest", now)) {
      EXPECT_LT(now - before, milliseconds{ 2'000 });
      before = std::exchange(last, now);
    }
  }
}

TEST(StatusRepeat, ARelayAtRestSendsFewMessages)
{
  StatusRepeat repeat;
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    sent += repeat.shouldSend("at rest", kStart + i * kPeriod) ? 1 : 0;
  }
  EXPECT_LE(sent, 50);
}

} // namespace
} // namespace poplartrack
