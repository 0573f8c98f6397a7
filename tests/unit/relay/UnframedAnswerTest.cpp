// Answers that end with their connection, and streams that end inside an event.

#include "RelayWorld.h"

namespace poplartrack {
namespace {

using namespace relaytest;

constexpr const char* kHead = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s\r\n";

/** The text of an event, without the framing of a chunk. */
std::string
eventText(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: x\n\n";
}

class UnframedAnswer : public ::testing::Test
{
protected:
  /** Starts the relay with two replicas of the model, and sends a request. */
  RawSocket openStream()
  {
    this->world.addReplica("one", "model", this->listener.address());
    this->world.addReplica("two", "model", this->listener.address());
    this->world.start();
    return this->world.sendRequest("/stream/x", "id-1", "X-Tokens: 5,5\r\n");
  }
  /** Accepts the next attempt; returns its request in aHead. */
  RawSocket nextAttempt(std::string& aHead)
  {
    RawSocket replica = this->listener.accept();
    aHead = replica.readUntil("\r\n\r\n");
    return replica;
  }
  RawSocket nextAttempt()
  {
    std::string head;
    return this->nextAttempt(head);
  }
  /** Expects that the stream is resumed after its first event, and ends it. */
  void expectResumed(RawSocket& aCaller)
  {
    std::string head;
    RawSocket second = this->nextAttempt(head);
    EXPECT_TRUE(has(head, "Last-Event-Id: 1\r\n")) << head;
    second.send(RelayWorld::streamHead("id-1") + RelayWorld::event(2) +
                RelayWorld::kLastChunk);
    const std::string rest = aCaller.readUntil("0\r\n\r\n");
    EXPECT_TRUE(has(rest, "id: 2\n")) << rest;
  }

  RelayWorld world;
  RawListener listener;
};

TEST_F(UnframedAnswer, AStreamEndsWithItsConnection)
{
  RawSocket caller = this->openStream();
  RawSocket replica = this->nextAttempt();
  replica.send(kHead + std::string{ "\r\n" } + eventText(1) + eventText(2));
  replica.close();
  const std::string answer = caller.readUntil("0\r\n\r\n");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
  EXPECT_TRUE(has(answer, "id: 2\n")) << answer;
  EXPECT_TRUE(has(answer, "0\r\n\r\n")) << answer;
}

TEST_F(UnframedAnswer, AStreamThatEndsInAnEventIsResumed)
{
  RawSocket caller = this->openStream();
  RawSocket replica = this->nextAttempt();
  replica.send(kHead + std::string{ "\r\n" } + eventText(1) + "id: 2\nda");
  replica.close();
  this->expectResumed(caller);
}

TEST_F(UnframedAnswer, AStreamWithoutAnyEventIsNotComplete)
{
  // Guards against a stream that ends as complete because its replica crashed
  // after the head of the answer.
  RawSocket caller = this->openStream();
  RawSocket replica = this->nextAttempt();
  replica.send(kHead + std::string{ "\r\n" });
  replica.close();
  RawSocket second = this->nextAttempt();
  second.send(RelayWorld::streamHead("id-1") + RelayWorld::event(1) +
              RelayWorld::kLastChunk);
  const std::string answer = caller.readUntil("0\r\n\r\n");
  EXPECT_TRUE(has(answer, "id: 1\n")) << answer;
}

TEST_F(UnframedAnswer, AChunkedStreamThatEndsInAnEventIsResumed)
{
  RawSocket caller = this->openStream();
  RawSocket replica = this->nextAttempt();
  replica.send(RelayWorld::streamHead("id-1") + RelayWorld::event(1) +
               "8\r\nid: 2\nda\r\n" + RelayWorld::kLastChunk);
  this->expectResumed(caller);
}

TEST_F(UnframedAnswer, AStreamWithALengthThatEndsInAnEventIsResumed)
{
  RawSocket caller = this->openStream();
  RawSocket replica = this->nextAttempt();
  const std::string body = eventText(1) + "id: 2\nda";
  replica.send(kHead + ("Content-Length: " + std::to_string(body.size())) +
               "\r\n\r\n" + body);
  this->expectResumed(caller);
}

TEST_F(UnframedAnswer, AStreamThatCannotResumeIsCutInsteadOfCompleted)
{
  this->world.config->routes["shop.example"][2].resumable = false;
  RawSocket caller = this->openStream();
  RawSocket replica = this->nextAttempt();
  replica.send(RelayWorld::streamHead("id-1") + RelayWorld::event(1) +
               "8\r\nid: 2\nda\r\n" + RelayWorld::kLastChunk);
  EXPECT_FALSE(has(caller.readToEnd(), "0\r\n\r\n"));
}

TEST_F(UnframedAnswer, AnswersAfterADiscardedOneToHeadHaveNoBody)
{
  this->world.addReplica("one", "plain", this->listener.address());
  this->world.start();
  RawSocket caller = this->world.caller();
  caller.send("HEAD /again/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: id-2\r\n"
              "X-Key: secret\r\n\r\n");
  RawSocket replica = this->nextAttempt();
  replica.send("HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s\r\n"
               "Content-Length: 5\r\n\r\n"
               "HTTP/1.1 200 OK\r\nX-Id: id-2\r\nX-Stamp: s\r\n"
               "Content-Length: 7\r\n\r\n");
  const std::string answer = caller.readUntil("\r\n\r\n");
  EXPECT_TRUE(has(answer, "Content-Length: 7\r\n")) << answer;
}

} // namespace
} // namespace poplartrack
