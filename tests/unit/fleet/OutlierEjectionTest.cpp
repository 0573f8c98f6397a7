#include "poplartrack/fleet/OutlierEjection.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };

/** Returns an ejection of the replica "bad" that begins at kStart. */
OutlierEjection
ejectedOnce()
{
  OutlierEjection outliers;
  outliers.onFailure("bad", kStart, kStart);
  outliers.onFailure("bad", kStart, kStart);
  EXPECT_TRUE(outliers.onFailure("bad", kStart, kStart));
  return outliers;
}

/** Returns what a relay knows when two peers report the replica "bad". */
OutlierEjection
reportedByTwoPeers()
{
  OutlierEjection outliers;
  outliers.onPeer("one", { "bad" }, kStart);
  outliers.onPeer("two", { "bad" }, kStart);
  return outliers;
}

/** Guards against a replica that fails at once, is therefore never busy and
 * receives most requests of a choice by load. */
TEST(OutlierEjection, AReplicaThatFailsAtOnceReceivesOnlyTrials)
{
  OutlierEjection outliers;
  int failed = 0;
  constexpr int kRequests = 3'000;
  for (int i = 0; i < kRequests; ++i) {
    const TimePoint now = kStart + milliseconds{ 10 } * i;
    // Its rival always has a request in flight, so "bad" is less loaded.
    if (!outliers.mayBegin("bad", now)) {
      continue;
    }
    outliers.onSent("bad", now);
    outliers.onFailure("bad", now, now + milliseconds{ 2 });
    ++failed;
  }
  // Three failures, and trials after 1, 2, 4 and 8 s, over 30 s.
  EXPECT_EQ(failed, 3 + 4);
}

/** Guards against a sound replica that is ejected for answers lost now and
 * then. */
TEST(OutlierEjection, FailuresBetweenSuccessesDoNotEject)
{
  OutlierEjection outliers;
  for (int i = 0; i < 20; ++i) {
    outliers.onFailure("flaky", kStart, kStart);
    outliers.onFailure("flaky", kStart, kStart);
    EXPECT_FALSE(outliers.onSuccess("flaky"));
    EXPECT_TRUE(outliers.mayBegin("flaky", kStart));
  }
}

/** Guards against a replica that stays out of use after it has recovered. */
TEST(OutlierEjection, ASuccessfulTrialEndsTheEjection)
{
  OutlierEjection outliers = ejectedOnce();
  EXPECT_FALSE(outliers.mayBegin("bad", kStart + milliseconds{ 999 }));
  const TimePoint trial = kStart + seconds{ 1 };
  ASSERT_TRUE(outliers.mayBegin("bad", trial));
  outliers.onSent("bad", trial);
  EXPECT_FALSE(outliers.mayBegin("bad", trial)) << "only one trial at a time";
  EXPECT_TRUE(outliers.onSuccess("bad"));
  EXPECT_TRUE(outliers.mayBegin("bad", trial));
  EXPECT_TRUE(outliers.ejected().empty());
}

/** Guards against an ejection that requests in flight at its begin prolong. */
TEST(OutlierEjection, OnlyTrialsProlongAnEjection)
{
  OutlierEjection outliers = ejectedOnce();
  EXPECT_FALSE(outliers.onFailure("bad", kStart, kStart + milliseconds{ 900 }));
  EXPECT_TRUE(outliers.mayBegin("bad", kStart + seconds{ 1 }));
}

/** Guards against a replica that no trial reaches, because the one trial was
 * cancelled. */
TEST(OutlierEjection, ATrialWithoutAResultIsRepeated)
{
  OutlierEjection outliers = ejectedOnce();
  outliers.onSent("bad", kStart + seconds{ 1 });
  EXPECT_TRUE(outliers.mayBegin("bad", kStart + seconds{ 2 }));
}

/** Guards against a sound replica that is out of use for good, because the
 * relays that have ejected it never send it another request. */
TEST(OutlierEjection, AnEjectionThatNoTrialConfirmsEnds)
{
  OutlierEjection one = ejectedOnce();
  OutlierEjection two = ejectedOnce();
  OutlierEjection other;
  const TimePoint end = kStart + seconds{ 4 };
  one.expire(end - milliseconds{ 1 });
  EXPECT_EQ(one.ejected().size(), 1U);
  one.expire(end);
  two.expire(end);
  other.onPeer("one", one.ejected(), end);
  other.onPeer("two", two.ejected(), end);
  EXPECT_TRUE(other.mayBegin("bad", end));
  EXPECT_TRUE(one.empty());
}

/** Guards against an end of the ejection while trials still fail. */
TEST(OutlierEjection, AFailedTrialConfirmsTheEjection)
{
  OutlierEjection outliers = ejectedOnce();
  const TimePoint trial = kStart + seconds{ 3 };
  outliers.onSent("bad", trial);
  EXPECT_TRUE(outliers.onFailure("bad", trial, trial));
  outliers.expire(trial + seconds{ 8 } - milliseconds{ 1 });
  EXPECT_EQ(outliers.ejected().size(), 1U);
  outliers.expire(trial + seconds{ 8 });
  EXPECT_TRUE(outliers.ejected().empty());
}

/** Guards against a trial that counts as failed because of a request that was
 * sent before the ejection and fails late. */
TEST(OutlierEjection, AnOlderFailureIsNotThatOfATrial)
{
  OutlierEjection outliers = ejectedOnce();
  const TimePoint trial = kStart + seconds{ 1 };
  outliers.onSent("bad", trial);
  EXPECT_FALSE(outliers.onFailure("bad", kStart, trial + milliseconds{ 10 }));
  EXPECT_TRUE(outliers.onFailure("bad", trial, trial + milliseconds{ 20 }));
}

/** Guards against an ejection that ends because each trial fails only after the
 * next one was sent. */
TEST(OutlierEjection, AFailureAfterTheNextTrialCounts)
{
  OutlierEjection outliers = ejectedOnce();
  const TimePoint first = kStart + seconds{ 1 };
  outliers.onSent("bad", first);
  outliers.onSent("bad", first + seconds{ 1 });
  EXPECT_TRUE(outliers.onFailure("bad", first, first + milliseconds{ 1'500 }));
}

/** Guards against many relays that each find out by failures of their own. */
TEST(OutlierEjection, ReportsOfPeersEject)
{
  OutlierEjection outliers;
  outliers.onPeer("one", { "bad" }, kStart);
  EXPECT_TRUE(outliers.mayBegin("bad", kStart)) << "one peer may be at fault";
  outliers.onFailure("bad", kStart, kStart);
  EXPECT_FALSE(outliers.mayBegin("bad", kStart));
  const OutlierEjection without = reportedByTwoPeers();
  EXPECT_FALSE(without.mayBegin("bad", kStart));
  EXPECT_TRUE(without.ejected().empty()) << "only own findings are reported";
}

/** Guards against ejections that peers never hear of because a report is full.
 */
TEST(OutlierEjection, MoreEjectionsThanAReportHoldsTakeTurns)
{
  constexpr int kReplicas = 40;
  OutlierEjection one;
  OutlierEjection two;
  OutlierEjection other;
  const auto replica = [](int aIndex) { return "r" + std::to_string(aIndex); };
  for (int i = 0; i < 3 * kReplicas; ++i) {
    one.onFailure(replica(i % kReplicas), kStart, kStart);
    two.onFailure(replica(i % kReplicas), kStart, kStart);
  }
  // Relays of other zones receive every second message.
  const TimePoint end = kStart + seconds{ 2 };
  for (TimePoint now = kStart; now < end; now += milliseconds{ 400 }) {
    EXPECT_EQ(one.report(now).size(), OutlierEjection::kMaxReported);
    other.onPeer("one", one.report(now), now);
    other.onPeer("two", two.report(now), now);
    other.expire(now);
  }
  for (int i = 0; i < kReplicas; ++i) {
    EXPECT_FALSE(other.mayBegin(replica(i), end)) << i;
  }
  other.onPeer("one", {}, end);
  EXPECT_TRUE(other.mayBegin(replica(0), end)) << "a short report is complete";
}

/** Guards against an ejection that outlives the peers that reported it. */
TEST(OutlierEjection, ReportsOfSilentPeersEnd)
{
  OutlierEjection outliers = reportedByTwoPeers();
  outliers.expire(kStart + seconds{ 3 });
  EXPECT_TRUE(outliers.mayBegin("bad", kStart));
  EXPECT_TRUE(outliers.empty());
}

TEST(OutlierEjection, NoMoreThanAThirdOfTheReplicasAreEjected)
{
  // What all paths share fails, such as a later part: nothing would be left to
  // begin at.
  constexpr std::size_t kReplicas = 30;
  OutlierEjection outliers;
  outliers.setListed(kReplicas);
  for (std::size_t i = 0; i < kReplicas; ++i) {
    for (int failure = 0; failure < 5; ++failure) {
      outliers.onFailure("r" + std::to_string(i), kStart, kStart);
    }
  }
  EXPECT_EQ(outliers.ejected().size(), kReplicas / 3);
}

} // namespace
} // namespace poplartrack
