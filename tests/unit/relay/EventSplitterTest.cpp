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
  EXPECT_FALSE(splitter.endsBetweenEvents());
  EXPECT_EQ(splitter.feed("ta: b\n\n").front().id, 8U);
  EXPECT_TRUE(splitter.endsBetweenEvents());
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

/** Returns whether a stream with these bytes ends between two events. */
bool
endsBetweenEvents(std::string_view aBytes)
{
  EventSplitter splitter;
  splitter.feed(aBytes);
  return splitter.endsBetweenEvents();
}

TEST(EventSplitter, AStreamMayEndOnlyBetweenEvents)
{
  EXPECT_TRUE(endsBetweenEvents(""));
  EXPECT_TRUE(endsBetweenEvents("data: a\n\n"));
  EXPECT_TRUE(endsBetweenEvents("data: a\r\n\r\n"));
  EXPECT_FALSE(endsBetweenEvents("data: a\n"));
  EXPECT_FALSE(endsBetweenEvents("data: a\r\n\r"));
  EXPECT_FALSE(endsBetweenEvents("data: a\n\nid: 1"));
  EventSplitter splitter;
  splitter.feed("data: a\n");
  EXPECT_FALSE(splitter.endsBetweenEvents());
  splitter.feed("\n");
  EXPECT_TRUE(splitter.endsBetweenEvents());
}

TEST(EventSplitter, FurtherEmptyLinesAfterTheLastEventAreNoPartOfAnother)
{
  EXPECT_TRUE(endsBetweenEvents("data: a\n\n\n"));
  EXPECT_TRUE(endsBetweenEvents("data: a\r\n\r\n\r\n"));
}

TEST(EventSplitter, CommentsAndEmptyLinesBringNoData)
{
  EventSplitter splitter;
  const auto events = splitter.feed(": alive\n\ndata\n\nid: 1\n\n");
  ASSERT_EQ(events.size(), 3U);
  EXPECT_FALSE(events[0].hasData);
  EXPECT_TRUE(events[1].hasData);
  EXPECT_FALSE(events[2].hasData);
}

TEST(EventSplitter, FindsAnEmptyLineThatArrivesByteByByte)
{
  for (const std::string text : { "data: a\n\n", "data: a\r\n\r\n" }) {
    EventSplitter splitter;
    for (const char byte : text.substr(0, text.size() - 1)) {
      EXPECT_TRUE(splitter.feed({ &byte, 1 }).empty());
    }
    EXPECT_EQ(splitter.feed("\n").size(), 1U);
  }
}

} // namespace
} // namespace poplartrack
