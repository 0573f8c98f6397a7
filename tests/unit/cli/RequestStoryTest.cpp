#include "cli/RequestStory.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

std::vector<LogEntry>
entriesOf(const std::vector<std::string>& aLines)
{
  std::vector<LogEntry> entries;
  entries.reserve(aLines.size());
  for (const std::string& line : aLines) {
    entries.push_back(parseLogLine(line));
  }
  return entries;
}

TEST(RequestStory, TellsARequestsLinesAndWhatWasBelievedOfItsReplicas)
{
  // Two relays' logs, out of order: the request's stream lost its replica, of
  // which the other relay had learned just before.
  const std::string answered =
    R"(relay-1 request: event=answered id=abc reason="status 200" )"
    "replica=i-2 t_ms=5000";
  const std::string broken =
    R"(relay-1 path: event=attempt_broken id=abc replica=i-1 )"
    R"(cause="part lost" t_ms=4000)";
  const auto story = requestStory(
    "abc",
    entriesOf(
      { answered,
        broken,
        "relay-2 replicas: event=lost replica=i-1 named=1 t_ms=3900",
        "relay-2 replicas: event=lost replica=i-9 named=1 t_ms=3900",
        "relay-1 request: event=answered id=other replica=i-1 t_ms=3950",
        "no line of a log" }));
  ASSERT_EQ(story.size(), 3U);
  EXPECT_EQ(story[0], "+0 ms  relay-2 replicas lost, named 1, replica i-1");
  EXPECT_EQ(story[1],
            "+100 ms  relay-1 path attempt_broken, cause part lost, "
            "replica i-1");
  EXPECT_EQ(story[2],
            "+1100 ms  relay-1 request answered, reason status 200, "
            "replica i-2");
}

TEST(RequestStory, IsEmptyForAnUnknownId)
{
  EXPECT_TRUE(requestStory("abc", {}).empty());
}

} // namespace
} // namespace poplartrack
