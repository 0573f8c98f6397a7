#include "poplartrack/retry/CrashWatch.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr Fingerprint kRequest{ 1, 2 };
const RecentlyServedRequests kNone;

TEST(CrashWatch, ABrokenConnectionAloneIsNoCrash)
{
  CrashWatch watch{ seconds{ 4 } };
  watch.onBroken(CrashReport{ kRequest, "a", true }, kStart);
  EXPECT_EQ(watch.replicas(), std::set<std::string>{ "a" });
  EXPECT_TRUE(
    watch.onCrashed("b", CrashProof::Unreachable, kNone, kStart).empty());
  watch.expire(kStart + milliseconds{ 4'001 });
  EXPECT_TRUE(watch.replicas().empty());
  EXPECT_TRUE(
    watch.onCrashed("a", CrashProof::Unreachable, kNone, kStart).empty());
}

TEST(CrashWatch, ACrashReportsEachRequestOnce)
{
  CrashWatch watch{ seconds{ 4 } };
  watch.onBroken(CrashReport{ kRequest, "a", false }, kStart);
  watch.onBroken(CrashReport{ kRequest, "a", true }, kStart);
  watch.onBroken(CrashReport{ Fingerprint{ 5, 6 }, "a", false }, kStart);
  const auto reports =
    watch.onCrashed("a", CrashProof::Unreachable, kNone, kStart);
  ASSERT_EQ(reports.size(), 2U);
  EXPECT_EQ(reports[0], (CrashReport{ kRequest, "a", true }));
  EXPECT_TRUE(
    watch.onCrashed("a", CrashProof::Unreachable, kNone, kStart).empty());
}

TEST(CrashWatch, ARequestServedElsewhereSinceIsNotReported)
{
  // Guards against a lookup that counts as the cause of a crash although
  // another replica served it before the crash was confirmed seconds later.
  CrashWatch watch{ seconds{ 4 } };
  watch.onBroken(CrashReport{ kRequest, "a", true }, kStart);
  watch.onBroken(CrashReport{ Fingerprint{ 5, 6 }, "a", true }, kStart);
  RecentlyServedRequests served;
  served.onServed(Fingerprint{ 5, 6 }, kStart - seconds{ 1 });
  served.onServed(kRequest, kStart + milliseconds{ 20 });
  const auto reports = watch.onCrashed(
    "a", CrashProof::Unreachable, served, kStart + seconds{ 2 });
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].suspect, (Fingerprint{ 5, 6 }));
}

TEST(CrashWatch, ASilentReplicaHasCrashedOnlyWhenItHasExited)
{
  // Guards against a quarantine of requests whose replicas were only silent.
  CrashWatch watch{ seconds{ 4 } };
  const CrashReport report{ .suspect = kRequest,
                            .replica = "a",
                            .silent = true };
  watch.onBroken(report, kStart);
  EXPECT_TRUE(
    watch.onCrashed("a", CrashProof::Unreachable, kNone, kStart).empty());
  EXPECT_EQ(watch.onCrashed("a", CrashProof::Exited, kNone, kStart).size(), 1U);
}

} // namespace
} // namespace poplartrack
