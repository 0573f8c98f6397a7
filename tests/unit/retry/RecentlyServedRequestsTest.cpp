#include "poplartrack/retry/RecentlyServedRequests.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr Fingerprint kRequest{ 1, 2 };

TEST(RecentlyServedRequests, RemembersTheLastTimeForAMinute)
{
  RecentlyServedRequests served;
  EXPECT_FALSE(served.lastServed(kRequest, kStart));
  served.onServed(kRequest, kStart);
  served.onServed(kRequest, kStart + seconds{ 20 });
  served.onServed(Fingerprint{ 3, 4 }, kStart + seconds{ 45 });
  EXPECT_EQ(served.lastServed(kRequest, kStart + seconds{ 50 }),
            kStart + seconds{ 20 });
  EXPECT_FALSE(served.lastServed(kRequest, kStart + seconds{ 80 }));
}

TEST(RecentlyServedRequests, StaysBounded)
{
  RecentlyServedRequests served;
  served.onServed(kRequest, kStart);
  std::size_t known = 0;
  constexpr std::uint64_t kMany = 20'000;
  for (std::uint64_t i = 0; i < kMany; ++i) {
    served.onServed(Fingerprint{ 10, i }, kStart);
  }
  for (std::uint64_t i = 0; i < kMany; ++i) {
    known += served.lastServed(Fingerprint{ 10, i }, kStart) ? 1 : 0;
  }
  EXPECT_LE(known, 4'096U);
  // A request that is remembered is still updated when the limit is reached.
  served.onServed(kRequest, kStart + seconds{ 10 });
  EXPECT_EQ(served.lastServed(kRequest, kStart + seconds{ 10 }),
            kStart + seconds{ 10 });
}

} // namespace
} // namespace poplartrack
