#include "poplartrack/fleet/RequestedBackoffs.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "poplartrack/fleet/ReplicaSignals.h"

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ seconds{ 100 } };

TEST(RequestedBackoffs, AShorterRequestDoesNotEndALongerOneSooner)
{
  RequestedBackoffs backoffs;
  EXPECT_TRUE(backoffs.onRequested("one", seconds{ 3 }, kStart));
  EXPECT_FALSE(backoffs.onRequested("one", seconds{ 1 }, kStart));
  EXPECT_TRUE(backoffs.inForce("one", kStart + milliseconds{ 2'999 }));
  EXPECT_FALSE(backoffs.inForce("one", kStart + seconds{ 3 }));
  EXPECT_FALSE(backoffs.inForce("two", kStart));
}

RC_GTEST_PROP(RequestedBackoffs, LastUntilTheLatestEndAndThenExpire, ())
{
  const auto lengths = *rc::gen::nonEmpty(
    rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 10'000)));
  RequestedBackoffs backoffs;
  TimePoint now = kStart;
  TimePoint end = kStart;
  for (const int length : lengths) {
    backoffs.onRequested("one", milliseconds{ length }, now);
    end = std::max(end, now + milliseconds{ length });
    now += milliseconds{ length / 2 };
    backoffs.expire(now);
    RC_ASSERT(backoffs.inForce("one", now) == (now < end));
  }
  const bool hadAny = backoffs.size() > 0;
  RC_ASSERT(backoffs.expire(end) == hadAny);
  RC_ASSERT(backoffs.size() == 0U);
}

TEST(ReplicaSignals, ReadsSecondsWithAndWithoutAFraction)
{
  EXPECT_EQ(parseSignals({ 503, "3", {}, {} }).backoff, seconds{ 3 });
  EXPECT_EQ(parseSignals({ 429, "0.25", {}, {} }).backoff, milliseconds{ 250 });
}

TEST(ReplicaSignals, OnlyARejectionAsksForABackoff)
{
  EXPECT_FALSE(parseSignals({ 200, "3", {}, {} }).backoff);
  EXPECT_FALSE(parseSignals({ 500, "3", {}, {} }).backoff);
  EXPECT_FALSE(parseSignals({ 503, std::nullopt, {}, {} }).backoff);
}

TEST(ReplicaSignals, AValueThatCannotBeParsedIsReportedAndNotGuessed)
{
  for (const char* text : { "", "soon", "-1", "1e999", "3 s", "nan" }) {
    const ReplicaSignals signals = parseSignals({ 503, text, text, {} });
    EXPECT_FALSE(signals.backoff) << text;
    EXPECT_FALSE(signals.rateLimit) << text;
    EXPECT_TRUE(signals.hasUnreadableBackoff) << text;
    EXPECT_TRUE(signals.hasUnreadableLimit) << text;
  }
  // Longer than a Duration can hold.
  EXPECT_TRUE(parseSignals({ 503, "1e300", {}, {} }).backoff);
}

} // namespace
} // namespace poplartrack
