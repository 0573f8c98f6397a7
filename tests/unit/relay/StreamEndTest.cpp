// How streams may end: what looks complete to the caller must be complete.

#include <array>

#include "RelayFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

constexpr const char* kHead = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s\r\n";

/** How the end of a body is shown. */
enum class Framing : std::uint8_t
{
  Chunked,
  Length,
  UntilClose,
};

std::string
framingName(const ::testing::TestParamInfo<Framing>& aInfo)
{
  constexpr std::array<const char*, 3> kNames{ "Chunked",
                                               "Length",
                                               "UntilClose" };
  return kNames.at(static_cast<std::size_t>(aInfo.param));
}

class StreamEnd
  : public RelayFixture
  , public ::testing::WithParamInterface<Framing>
{
protected:
  /** Starts the relay with three replicas that can run a stream, one of which
   * gets the request. */
  void requestStream(int aAttempts, const std::string& aFields = {})
  {
    RelayRoute& route = this->world.config->routes["shop.example"][2];
    route.attempts = aAttempts;
    this->startWith("model", { "one", "two", "three" });
    this->openRequest("/stream/x", "X-Tokens: 5,5\r\n" + aFields);
  }
  /** Sends an answer whose body ends after these bytes in the regular way. */
  static void sendWhole(RawSocket& aReplica, const std::string& aBody)
  {
    switch (GetParam()) {
      case Framing::Chunked:
        aReplica.send(RelayWorld::streamHead("id-1") +
                      (aBody.empty() ? "" : RelayWorld::chunk(aBody)) +
                      RelayWorld::kLastChunk);
        break;
      case Framing::Length:
        aReplica.send(kHead +
                      ("Content-Length: " + std::to_string(aBody.size())) +
                      "\r\n\r\n" + aBody);
        break;
      case Framing::UntilClose:
        aReplica.send(kHead + ("\r\n" + aBody));
        aReplica.close();
        break;
    }
  }
  /** Accepts the next attempt and sends it such an answer. Returns the head of
   * its request. */
  std::string answerNext(const std::string& aBody)
  {
    RawSocket next = this->nextAttempt();
    sendWhole(next, aBody);
    return this->head;
  }
  /** Reads the caller's answer, which ends with its last chunk. */
  std::string completeAnswer()
  {
    std::string answer = this->caller->readUntil("0\r\n\r\n");
    EXPECT_TRUE(answer.ends_with("0\r\n\r\n")) << answer;
    return answer;
  }
  /** Expects that the caller's connection ends without the last chunk. */
  void expectCut()
  {
    const std::string answer = this->caller->readToEnd();
    EXPECT_FALSE(has(answer, "0\r\n\r\n")) << answer;
  }
};

TEST_P(StreamEnd, WithoutAnyEventIsNotComplete)
{
  this->requestStream(2);
  sendWhole(*this->replica, "");
  this->answerNext(RelayWorld::eventText(1));
  EXPECT_TRUE(has(this->completeAnswer(), "id: 1\n"));
}

TEST_P(StreamEnd, WithOnlyACommentIsNotComplete)
{
  this->requestStream(2);
  sendWhole(*this->replica, ": alive\n\n");
  this->answerNext(RelayWorld::eventText(1));
  EXPECT_TRUE(has(this->completeAnswer(), "id: 1\n"));
}

TEST_P(StreamEnd, AResumedRunWithoutAnEventIsNotComplete)
{
  this->requestStream(3);
  sendWhole(*this->replica, RelayWorld::eventText(1) + "id: 2\nda");
  this->answerNext("");
  EXPECT_TRUE(
    has(this->answerNext(RelayWorld::eventText(2)), "Last-Event-Id: 1\r\n"));
  EXPECT_TRUE(has(this->completeAnswer(), "id: 2\n"));
}

TEST_P(StreamEnd, AResumedRunThatOnlyRepeatsEventsIsNotComplete)
{
  this->requestStream(3);
  sendWhole(*this->replica,
            RelayWorld::eventText(1) + RelayWorld::eventText(2) + "id: 3\nda");
  this->answerNext(RelayWorld::eventText(1) + RelayWorld::eventText(2));
  this->answerNext(RelayWorld::eventText(3));
  EXPECT_TRUE(has(this->completeAnswer(), "id: 3\n"));
}

TEST_P(StreamEnd, RunsWithoutAnEventAfterAPartOfOneNeverComplete)
{
  this->requestStream(3);
  sendWhole(*this->replica, RelayWorld::eventText(1) + "id: 2\nda");
  this->answerNext("");
  this->answerNext("");
  this->expectCut();
}

TEST_P(StreamEnd, InsideALineIsResumed)
{
  for (const char* part : { "id:", "id: 2", "id: 2\nda", "id: 2\ndata: x\n" }) {
    StreamEnd::requestStream(2);
    sendWhole(*this->replica, RelayWorld::eventText(1) + part);
    EXPECT_TRUE(
      has(this->answerNext(RelayWorld::eventText(2)), "Last-Event-Id: 1\r\n"))
      << part;
    EXPECT_TRUE(has(this->completeAnswer(), "id: 2\n")) << part;
    this->world.loop.reset();
    this->world.replicas.clear();
  }
}

TEST_P(StreamEnd, InsideALineBreakIsResumed)
{
  this->requestStream(2);
  sendWhole(*this->replica, "id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: x\r\n\r");
  EXPECT_TRUE(
    has(this->answerNext(RelayWorld::eventText(2)), "Last-Event-Id: 1\r\n"));
  EXPECT_TRUE(has(this->completeAnswer(), "id: 2\n"));
}

TEST_P(StreamEnd, WithAFurtherEmptyLineIsComplete)
{
  this->requestStream(2);
  sendWhole(*this->replica, RelayWorld::eventText(1) + "\n");
  EXPECT_TRUE(has(this->completeAnswer(), "id: 1\n"));
}

TEST_P(StreamEnd, ThatCannotBeResumedIsCut)
{
  this->world.config->routes["shop.example"][2].resumable = false;
  this->requestStream(2);
  sendWhole(*this->replica, RelayWorld::eventText(1) + "id: 2\nda");
  this->expectCut();
}

TEST_P(StreamEnd, WithoutAnyEventThatCannotBeRepeatedIsAnError)
{
  this->world.config->routes["shop.example"][2].resumable = false;
  this->requestStream(2);
  sendWhole(*this->replica, "");
  this->expectStatus("502 ");
}

TEST_P(StreamEnd, InsideAnEventTwiceIsResumedTwice)
{
  this->requestStream(3);
  sendWhole(*this->replica, RelayWorld::eventText(1) + "id: 2\nda");
  EXPECT_TRUE(has(this->answerNext(RelayWorld::eventText(2) + "id: 3\n"),
                  "Last-Event-Id: 1\r\n"));
  EXPECT_TRUE(
    has(this->answerNext(RelayWorld::eventText(3)), "Last-Event-Id: 2\r\n"));
  const std::string answer = this->completeAnswer();
  for (const char* id : { "id: 1\n", "id: 2\n", "id: 3\n" }) {
    const std::size_t at = answer.find(id);
    EXPECT_NE(at, std::string::npos) << answer;
    EXPECT_EQ(answer.find(id, at + 1), std::string::npos) << answer;
  }
}

TEST_P(StreamEnd, InsideAnEventAtTheLastAttemptIsCut)
{
  this->requestStream(2);
  sendWhole(*this->replica, RelayWorld::eventText(1) + "id: 2\nda");
  this->answerNext(RelayWorld::eventText(2) + "id: 3\nda");
  this->expectCut();
}

TEST_P(StreamEnd, InsideAnEventAtADrainingRelayIsResumed)
{
  this->requestStream(2);
  this->world.shared.draining = true;
  this->world.shared.refusesRequests = true;
  sendWhole(*this->replica, RelayWorld::eventText(1) + "id: 2\nda");
  this->answerNext(RelayWorld::eventText(2));
  const std::string answer = this->caller->readToEnd();
  EXPECT_TRUE(has(answer, "id: 2\n")) << answer;
  EXPECT_TRUE(answer.ends_with("0\r\n\r\n")) << answer;
}

TEST_P(StreamEnd, InsideAnEventAfterTheLastEventOfTheCallerIsResumedThere)
{
  this->requestStream(2, "Last-Event-Id: 7\r\n");
  sendWhole(*this->replica, "id: 8\nda");
  EXPECT_TRUE(
    has(this->answerNext(RelayWorld::eventText(8)), "Last-Event-Id: 7\r\n"));
  EXPECT_TRUE(has(this->completeAnswer(), "id: 8\n"));
}

TEST_P(StreamEnd, WithoutAnEventAfterTheLastOneIsCompleteIfTwoReplicasSaySo)
{
  // The first replica is lost between the last event and the end.
  this->requestStream(3);
  this->replica->send(RelayWorld::streamHead("id-1") + RelayWorld::event(1));
  this->caller->readUntil("id: 1\n");
  this->replica->close();
  this->answerNext("");
  this->answerNext("");
  if (GetParam() == Framing::UntilClose) {
    // Such an end cannot be told from a crash.
    this->expectCut();
  } else {
    this->completeAnswer();
  }
}

TEST_P(StreamEnd, AfterAPathWasMovedIsResumed)
{
  this->world.addThreeParts(this->one.address());
  this->world.addModelReplica("other", this->two.address(), { 3, 6 }, "a");
  this->world.start();
  this->openRequest("/stream/x", kLongStream);
  this->replica->send(RelayWorld::streamHead("id-1") + RelayWorld::event(1));
  this->caller->readUntil("id: 1\n");
  // Either part may be on the path; the other one takes its place.
  this->world.replicas["two"].draining = true;
  this->world.publishReplicas(2);
  this->world.addReplica("whole", "model", this->two.address());
  this->world.publishReplicas(3);
  const std::string rest = "id: 2\nda";
  this->replica->send(RelayWorld::chunk(rest) + RelayWorld::kLastChunk);
  RawSocket second = acceptRequest(this->two, this->head);
  EXPECT_TRUE(has(this->head, "Last-Event-Id: 1\r\n")) << this->head;
  sendWhole(second, RelayWorld::eventText(2));
  EXPECT_TRUE(has(this->completeAnswer(), "id: 2\n"));
}

INSTANTIATE_TEST_SUITE_P(Framings,
                         StreamEnd,
                         ::testing::Values(Framing::Chunked,
                                           Framing::Length,
                                           Framing::UntilClose),
                         framingName);

using StreamAnswer = RelayFixture;

TEST_F(StreamAnswer, WithoutIdsIsNotRepeatedButCut)
{
  // A second run would begin with the events that the caller has.
  this->startWith("model", { "one", "two" });
  this->openRequest("/stream/x", "X-Tokens: 5,5\r\n");
  this->replica->send(RelayWorld::streamHead("id-1") + "9\r\ndata: x\n\n\r\n");
  this->caller->readUntil("data: x\n\n");
  this->replica->close();
  EXPECT_FALSE(has(this->caller->readToEnd(), "0\r\n\r\n"));
}

TEST_F(StreamAnswer, ToHeadHasNoBody)
{
  // Guards against a last chunk that the caller takes for the next answer.
  this->startWith("model", { "one" });
  this->caller.emplace(this->world.caller());
  const std::string request =
    "HEAD /stream/x HTTP/1.1\r\nHost: shop.example\r\n"
    "X-Key: secret\r\nX-Tokens: 5,5\r\nX-Id: ";
  this->caller->send(request + "id-1\r\n\r\n" + request + "id-2\r\n\r\n");
  this->replica.emplace(this->nextAttempt());
  this->replica->send(RelayWorld::streamHead("id-1"));
  EXPECT_TRUE(has(this->replica->readUntil("id-2"), "id-2"));
  this->replica->send(RelayWorld::streamHead("id-2"));
  const std::string answer = this->caller->readUntil("X-Id: id-2\r\n");
  EXPECT_FALSE(has(answer, "\r\n\r\n0\r\n")) << answer;
}

} // namespace
} // namespace poplartrack
