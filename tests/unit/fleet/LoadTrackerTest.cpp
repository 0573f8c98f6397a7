#include "poplartrack/fleet/LoadTracker.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{ seconds{ 50 } };

LayerPath
pathOf(const std::string& aFirst, const std::string& aSecond)
{
  LayerPath path;
  path.parts = { { aFirst, {}, { 0, 4 } }, { aSecond, {}, { 4, 10 } } };
  return path;
}

TEST(LoadTracker, RemovingWhatWasAddedLeavesNothing)
{
  LoadTracker tracker;
  const LayerPath path = pathOf("one", "two");
  tracker.add(path, 100);
  tracker.beginPrefill(path, 80);
  EXPECT_EQ(tracker.at("two"), (ReplicaLoad{ 1, 600, 80 }));
  tracker.endPrefill(path, 80);
  tracker.remove(path, 100);
  EXPECT_EQ(tracker.at("two"), ReplicaLoad{});
  EXPECT_TRUE(tracker.own().empty());
}

// Guards against a first part of a path that is chosen for its free memory
// while its slots are taken.
TEST(LoadTracker, CountsRequestsWhereTheirPathsBegin)
{
  LoadTracker tracker;
  tracker.add(pathOf("one", "two"), 10);
  tracker.onPeer("other", { { "one", ReplicaLoad{ 3, 50, 7, 2 } } }, kStart);
  EXPECT_EQ(tracker.at("one").pathStarts, 3U);
  EXPECT_EQ(tracker.at("two").pathStarts, 0U);
  tracker.remove(pathOf("one", "two"), 10);
  EXPECT_EQ(tracker.at("one").pathStarts, 2U);
}

TEST(LoadTracker, AddsPeerReportsUntilThePeerTimesOut)
{
  LoadTracker tracker;
  tracker.add(pathOf("one", "two"), 10);
  tracker.onPeer("other", { { "one", ReplicaLoad{ 3, 50, 7 } } }, kStart);
  EXPECT_EQ(tracker.at("one"), (ReplicaLoad{ 4, 90, 7, 1 }));
  tracker.expirePeers(kStart + seconds{ 3 });
  EXPECT_EQ(tracker.at("one").requests, 1U);
}

} // namespace
} // namespace poplartrack
