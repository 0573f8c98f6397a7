#include "poplartrack/relay/EventSplitter.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace poplartrack {
namespace {

TEST(EventSplitter, HoldsBackAnIncompleteEvent)
{
  EventSplitter splitter;
  const auto events = splitter.feed("id: 7\ndata: a\n\nid: 8\nda");
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0].id, 7U);
  EXPECT_EQ(events[0].bytes, "id: 7\ndata: a\n\n");
  EXPECT_FALSE(splitter.mayEndAfter(""));
  EXPECT_EQ(splitter.feed("ta: b\n\n").front().id, 8U);
  EXPECT_TRUE(splitter.mayEndAfter(""));
}

TEST(EventSplitter, AnEventNeedsNoId)
{
  EventSplitter splitter;
  const auto events = splitter.feed("version: 3\ndata: x\r\n\r\n");
  ASSERT_EQ(events.size(), 1U);
  EXPECT_FALSE(events[0].id);
}

RC_GTEST_PROP(EventSplitter,
              SplitsIndependentlyOfReadBoundaries,
              (const std::vector<std::uint8_t>& aCuts))
{
  std::string text;
  for (int i = 1; i < 20; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: some words\n\n";
  }
  EventSplitter splitter;
  std::string joined;
  std::uint64_t next = 1;
  std::size_t at = 0;
  for (std::size_t i = 0; at < text.size(); ++i) {
    const std::size_t size = i < aCuts.size() ? aCuts[i] % 9 : text.size();
    for (const StreamEvent& event :
         splitter.feed(std::string_view{ text }.substr(at, size))) {
      RC_ASSERT(event.id == next++);
      joined += event.bytes;
    }
    at += size;
  }
  RC_ASSERT(joined == text);
}

TEST(EventSplitter, AStreamMayEndOnlyBetweenEvents)
{
  EventSplitter splitter;
  EXPECT_TRUE(splitter.mayEndAfter(""));
  EXPECT_TRUE(splitter.mayEndAfter("data: a\n\n"));
  EXPECT_TRUE(splitter.mayEndAfter("data: a\r\n\r\n"));
  EXPECT_FALSE(splitter.mayEndAfter("data: a\n"));
  splitter.feed("data: a\n");
  EXPECT_FALSE(splitter.mayEndAfter(""));
  EXPECT_TRUE(splitter.mayEndAfter("\n"));
}

} // namespace
} // namespace poplartrack
