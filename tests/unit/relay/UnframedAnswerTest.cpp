// Answers that end with their connection, and streams that end inside an event.

#include "RelayFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

constexpr const char* kHead = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s\r\n";

class UnframedAnswer : public RelayFixture
{
protected:
  /** Starts the relay with two replicas, one of which has a stream's request.
   */
  void requestStream()
  {
    this->startWith("model", { "one", "two" });
    this->openRequest("/stream/x", "X-Tokens: 5,5\r\n");
  }
};

TEST_F(UnframedAnswer, AStreamEndsWithItsConnection)
{
  this->requestStream();
  this->replica->send(kHead + std::string{ "\r\n" } + RelayWorld::eventText(1) +
                      RelayWorld::eventText(2));
  this->replica->close();
  const std::string answer = this->caller->readUntil("0\r\n\r\n");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
  EXPECT_TRUE(has(answer, "id: 2\n")) << answer;
  EXPECT_TRUE(has(answer, "0\r\n\r\n")) << answer;
}

TEST_F(UnframedAnswer, AStreamThatEndsInAnEventIsResumed)
{
  this->requestStream();
  this->replica->send(kHead + std::string{ "\r\n" } + RelayWorld::eventText(1) +
                      "id: 2\nda");
  this->replica->close();
  this->expectResumed(this->one);
}

TEST_F(UnframedAnswer, AStreamWithoutAnyEventIsNotComplete)
{
  // Guards against a stream that ends as complete because its replica crashed
  // after the head of the answer.
  this->requestStream();
  this->replica->send(kHead + std::string{ "\r\n" });
  this->replica->close();
  RawSocket second = this->nextAttempt();
  second.send(RelayWorld::streamHead("id-1") + RelayWorld::event(1) +
              RelayWorld::kLastChunk);
  const std::string answer = this->caller->readUntil("0\r\n\r\n");
  EXPECT_TRUE(has(answer, "id: 1\n")) << answer;
}

TEST_F(UnframedAnswer, AChunkedStreamThatEndsInAnEventIsResumed)
{
  this->requestStream();
  this->replica->send(RelayWorld::streamHead("id-1") + RelayWorld::event(1) +
                      "8\r\nid: 2\nda\r\n" + RelayWorld::kLastChunk);
  this->expectResumed(this->one);
}

TEST_F(UnframedAnswer, AStreamWithALengthThatEndsInAnEventIsResumed)
{
  this->requestStream();
  const std::string body = RelayWorld::eventText(1) + "id: 2\nda";
  this->replica->send(kHead +
                      ("Content-Length: " + std::to_string(body.size())) +
                      "\r\n\r\n" + body);
  this->expectResumed(this->one);
}

TEST_F(UnframedAnswer, AStreamThatCannotResumeIsCutInsteadOfCompleted)
{
  this->world.config->routes["shop.example"][2].resumable = false;
  this->requestStream();
  this->replica->send(RelayWorld::streamHead("id-1") + RelayWorld::event(1) +
                      "8\r\nid: 2\nda\r\n" + RelayWorld::kLastChunk);
  EXPECT_FALSE(has(this->caller->readToEnd(), "0\r\n\r\n"));
}

TEST_F(UnframedAnswer, AnswersAfterADiscardedOneToHeadHaveNoBody)
{
  this->startWith("plain", { "one" });
  this->caller.emplace(this->world.caller());
  this->caller->send("HEAD /again/x HTTP/1.1\r\nHost: shop.example\r\n"
                     "X-Id: id-2\r\nX-Key: secret\r\n\r\n");
  this->replica.emplace(this->nextAttempt());
  this->replica->send("HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s\r\n"
                      "Content-Length: 5\r\n\r\n"
                      "HTTP/1.1 200 OK\r\nX-Id: id-2\r\nX-Stamp: s\r\n"
                      "Content-Length: 7\r\n\r\n");
  const std::string answer = this->caller->readUntil("\r\n\r\n");
  EXPECT_TRUE(has(answer, "Content-Length: 7\r\n")) << answer;
}

} // namespace
} // namespace poplartrack
