#include "poplartrack/fleet/RecentReplicas.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart{ seconds{ 100 } };

TEST(RecentReplicas, AnEntryThatVanishesAndComesBackIsNotForgotten)
{
  RecentReplicas recent;
  recent.onList({ "one", "two" }, kStart);
  // The list has not changed for long before the entry vanishes.
  recent.onList({ "two" }, kStart + minutes{ 60 });
  recent.onList({ "two" }, kStart + minutes{ 61 });
  EXPECT_TRUE(recent.ids().contains("one"));
  recent.onList({ "one", "two" }, kStart + minutes{ 62 });
  recent.onList({ "two" }, kStart + minutes{ 73 });
  EXPECT_TRUE(recent.ids().contains("one"));
}

TEST(RecentReplicas, AReplicaThatStaysUnlistedIsForgotten)
{
  RecentReplicas recent;
  recent.onList({ "one" }, kStart);
  recent.onMentioned("early", kStart);
  recent.onList({ "two" }, kStart + seconds{ 1 });
  EXPECT_EQ(recent.ids(), (std::set<std::string>{ "early", "one", "two" }));
  recent.onList({ "two" }, kStart + minutes{ 11 });
  EXPECT_EQ(recent.ids(), std::set<std::string>{ "two" });
}

} // namespace
} // namespace poplartrack
