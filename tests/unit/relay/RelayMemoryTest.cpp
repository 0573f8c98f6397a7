// What the relay holds for replicas and callers that read slowly.

#include <thread>

#include "RelayWorld.h"

namespace poplartrack {
namespace {

using namespace relaytest;

constexpr std::size_t kMegabyte = std::size_t{ 1024 } * 1024;
/** More than the kernel takes for a connection whose peer reads nothing. */
constexpr std::size_t kLargeBytes = 24 * kMegabyte;

class RelayMemory : public ::testing::Test
{
protected:
  RelayMemory()
  {
    this->world.config->limits.bodyBytes = 2 * kLargeBytes;
    this->world.addReplica("one", "plain", this->listener.address());
  }
  /** Starts a relay that holds at most 0.4 of 80 MB for requests and answers,
   * and connects three callers. They come first: a relay whose loop was busy
   * with a large request turns new connections away for a while. */
  void startSmall()
  {
    this->world.memoryMb = 80;
    this->world.start();
    for (int i = 0; i < 3; ++i) {
      this->callers.push_back(this->world.caller());
    }
  }
  /** Expects that the relay has stopped to read an answer, and that each caller
   * receives all of its own. */
  void expectPausedAndWhole()
  {
    EXPECT_GT(this->world.awaitCounter("answers_paused_total", 1), 0U);
    for (RawSocket& caller : this->callers) {
      EXPECT_EQ(caller.readBytes(kLargeBytes).size(), kLargeBytes);
    }
  }
  /** Waits until so many answers are not written completely. */
  [[nodiscard]] bool awaitUnwritten(std::size_t aAnswers) const
  {
    return waitFor([this, aAnswers] {
      return this->world.loop->unwrittenAnswers() == aAnswers;
    });
  }
  /** Returns a large answer, after which the replica's connection ends. */
  static std::string largeAnswer(const std::string& aId)
  {
    return RelayWorld::answer(aId,
                              std::string(kLargeBytes, 'x'),
                              "200 OK",
                              "X-Stamp: s\r\nConnection: close\r\n");
  }
  /** Sends a request whose answer the caller does not read yet. */
  void requestLargeAnswer(RawSocket& aCaller, const std::string& aId)
  {
    aCaller.send(RelayWorld::request("/again/x", aId));
    RawSocket replica = this->listener.accept();
    replica.readUntil("\r\n\r\n");
    replica.send(largeAnswer(aId));
    this->replicas.push_back(std::move(replica));
  }
  RawSocket requestLargeAnswer(const std::string& aId)
  {
    RawSocket caller = this->world.caller();
    this->requestLargeAnswer(caller, aId);
    return caller;
  }

  RelayWorld world;
  RawListener listener;
  std::vector<RawSocket> callers;
  std::vector<RawSocket> replicas;
};

TEST_F(RelayMemory, SlowReplicasLeaveMemoryForOtherRequests)
{
  this->startSmall();
  RawSocket& first = this->callers[0];
  RawSocket& second = this->callers[1];
  RawSocket& small = this->callers[2];
  const std::string body(kLargeBytes, 'x');
  first.send(RelayWorld::request("/again/x", "id-1", "", body));
  RawSocket slow = this->listener.accept();
  second.send("POST /again/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: id-2\r\n"
              "X-Key: secret\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n");
  const std::string refused = second.readUntil("}\n");
  EXPECT_TRUE(refused.starts_with("HTTP/1.1 503 ")) << refused;
  EXPECT_TRUE(has(refused, "Connection: close\r\n")) << refused;
  small.send(RelayWorld::request("/again/x", "id-3", "", "content"));
  RawSocket replica = this->listener.accept();
  replica.readUntil("content");
  replica.send(RelayWorld::answer("id-3", "whole"));
  EXPECT_TRUE(small.readUntil("whole").starts_with("HTTP/1.1 200 "));
}

TEST_F(RelayMemory, AnswersForSlowCallersAreNotReadWithoutLimit)
{
  this->startSmall();
  this->requestLargeAnswer(this->callers[0], "id-1");
  ASSERT_TRUE(this->awaitUnwritten(1));
  this->callers[1].send(RelayWorld::request("/again/x", "id-2"));
  this->callers[2].send(RelayWorld::request("/again/x", "id-3"));
  std::vector<std::thread> senders;
  for (int i = 0; i < 2; ++i) {
    RawSocket replica = this->listener.accept();
    const std::string head = replica.readUntil("\r\n\r\n");
    const std::string id = has(head, "id-2") ? "id-2" : "id-3";
    senders.emplace_back([id, replica = std::move(replica)]() mutable {
      replica.send(largeAnswer(id));
    });
  }
  this->expectPausedAndWhole();
  for (std::thread& sender : senders) {
    sender.join();
  }
}

TEST_F(RelayMemory, AnswersThatComeOneByOneAreNotReadWithoutLimit)
{
  // Guards against a relay that reads the only unfinished answer however much
  // the finished ones hold.
  this->startSmall();
  this->requestLargeAnswer(this->callers[0], "id-1");
  ASSERT_TRUE(this->awaitUnwritten(1));
  this->requestLargeAnswer(this->callers[1], "id-2");
  ASSERT_TRUE(this->awaitUnwritten(2));
  this->callers[2].send(RelayWorld::request("/again/x", "id-3"));
  RawSocket replica = this->listener.accept();
  replica.readUntil("\r\n\r\n");
  std::thread sender{ [&] { replica.send(largeAnswer("id-3")); } };
  EXPECT_GT(this->world.awaitCounter("answers_paused_total", 1), 0U);
  EXPECT_EQ(this->world.loop->openRequests(), 1U);
  this->expectPausedAndWhole();
  sender.join();
}

TEST_F(RelayMemory, AnAnswerThatIsNotWrittenYetIsKnown)
{
  // Guards against a process that exits while callers still read their answers.
  this->world.start();
  RawSocket caller = this->requestLargeAnswer("id-1");
  ASSERT_TRUE(this->world.awaitOpen(0));
  EXPECT_EQ(this->world.loop->unwrittenAnswers(), 1U);
  EXPECT_EQ(caller.readBytes(kLargeBytes).size(), kLargeBytes);
  EXPECT_TRUE(this->awaitUnwritten(0));
}

TEST_F(RelayMemory, ACallerThatReadsSlowlyIsNotIdle)
{
  // Connections must not be idle for the time limit before their requests
  // arrive, however slowly the test runs.
  constexpr Duration kIdleTimeout = std::chrono::milliseconds{ 100 };
  this->world.useManualClock();
  this->world.config->limits.idleTimeout = kIdleTimeout;
  this->world.start();
  RawSocket slow = this->requestLargeAnswer("id-1");
  ASSERT_TRUE(this->world.awaitOpen(0));
  RawSocket idle = this->world.sendRequest("/again/x", "id-2");
  RawSocket replica = this->listener.accept();
  replica.readUntil("\r\n\r\n");
  replica.send(RelayWorld::answer("id-2", "whole"));
  EXPECT_TRUE(has(idle.readUntil("whole"), "HTTP/1.1 200 "));
  // The bytes come before the relay takes the connection for idle.
  this->world.settle();
  this->world.advance(kIdleTimeout);
  EXPECT_EQ(idle.readToEnd(), "");
  EXPECT_EQ(slow.readBytes(kLargeBytes).size(), kLargeBytes);
}

} // namespace
} // namespace poplartrack
