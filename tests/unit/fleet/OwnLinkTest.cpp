#include "poplartrack/fleet/OwnLink.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };

TEST(OwnLink, IsSlowWhenAllEchoesTakeLong)
{
  OwnLink link;
  link.onEcho(milliseconds{ 5 }, kStart);
  link.onEcho(seconds{ 1 }, kStart + milliseconds{ 500 });
  EXPECT_TRUE(link.isSlow(kStart + milliseconds{ 500 }));
  link.onEcho(milliseconds{ 5 }, kStart + milliseconds{ 600 });
  EXPECT_FALSE(link.isSlow(kStart + milliseconds{ 600 }));
}

TEST(OwnLink, OneRelayThatEchoesLateShowsNothing)
{
  OwnLink link;
  link.onEcho(milliseconds{ 5 }, kStart);
  link.onEcho(seconds{ 1 }, kStart + milliseconds{ 100 });
  EXPECT_FALSE(link.isSlow(kStart + milliseconds{ 100 }));
}

TEST(OwnLink, WithoutEchoesNothingIsKnown)
{
  const OwnLink link;
  EXPECT_FALSE(link.isSlow(kStart));
}

} // namespace
} // namespace poplartrack
