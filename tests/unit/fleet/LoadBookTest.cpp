#include "poplartrack/fleet/LoadBook.h"

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

TEST(LoadBook, WhatIsTakenBackLeavesNothing)
{
  LoadBook book;
  const LayerPath path = pathOf("one", "two");
  book.add(path, 100);
  book.beginReading(path, 80);
  EXPECT_EQ(book.at("two"), (ReplicaLoad{ 1, 600, 80 }));
  book.endReading(path, 80);
  book.remove(path, 100);
  EXPECT_EQ(book.at("two"), ReplicaLoad{});
  EXPECT_TRUE(book.own().empty());
}

// Guards against a first part that is booked by its memory alone while its
// slots are taken.
TEST(LoadBook, CountsRequestsWhereTheirPathsBegin)
{
  LoadBook book;
  book.add(pathOf("one", "two"), 10);
  book.onPeer("other", { { "one", ReplicaLoad{ 3, 50, 7, 2 } } }, kStart);
  EXPECT_EQ(book.at("one").entered, 3U);
  EXPECT_EQ(book.at("two").entered, 0U);
  book.remove(pathOf("one", "two"), 10);
  EXPECT_EQ(book.at("one").entered, 2U);
}

TEST(LoadBook, AddsWhatOtherRelaysToldUntilTheyFallSilent)
{
  LoadBook book;
  book.add(pathOf("one", "two"), 10);
  book.onPeer("other", { { "one", ReplicaLoad{ 3, 50, 7 } } }, kStart);
  EXPECT_EQ(book.at("one"), (ReplicaLoad{ 4, 90, 7, 1 }));
  book.expirePeers(kStart + seconds{ 3 });
  EXPECT_EQ(book.at("one").requests, 1U);
}

} // namespace
} // namespace poplartrack
