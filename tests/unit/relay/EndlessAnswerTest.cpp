// Replicas that send bytes without end.

#include <thread>

#include "RelayFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

constexpr std::size_t kKilobyte = 1'024;
constexpr std::size_t kMegabyte = kKilobyte * kKilobyte;

const std::string kChunked = RelayWorld::streamHead("id-1");
const std::string kFailed = "HTTP/1.1 500 Failed\r\nX-Id: id-1\r\n\r\n";
const std::string kForeign = "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Stamp: s\r\n";

class EndlessAnswer : public RelayFixture
{
protected:
  EndlessAnswer()
  {
    this->world.adjust = [](RelaySettings& aSettings) {
      aSettings.answerHeadKb = 8;
      aSettings.answerMb = 1;
      aSettings.streamMb = 1;
      aSettings.eventKb = 64;
      // No test here waits for a share of the time.
      aSettings.bulkReadShare = 1;
    };
  }
  /** Starts the relay with two replicas, one of which gets a request. */
  void request(const std::string& aService, const std::string& aPath)
  {
    this->startWith(aService, { "one", "two" });
    this->openRequest(aPath, "X-Tokens: 5,5\r\n");
  }
  /** Sends bytes to the relay, then further ones again and again. Returns
   * whether the relay closes the connection. */
  bool isClosedUnder(const std::string& aStart, const std::string& aRepeated)
  {
    constexpr std::size_t kEnough = 24 * kMegabyte;
    std::string block;
    while (block.size() < 4 * kKilobyte) {
      block += aRepeated;
    }
    bool isOpen = this->replica->send(aStart);
    for (std::size_t sent = 0; isOpen && sent < kEnough; sent += block.size()) {
      isOpen = this->replica->send(block);
    }
    return !isOpen;
  }
  /** Expects that a stream's connection is closed under such bytes, the excess
   * counted, and the stream run by the other replica. */
  void expectStreamElsewhere(const std::string& aStart,
                             const std::string& aRepeated,
                             AnswerExcess aCause)
  {
    this->request("model", "/stream/x");
    EXPECT_TRUE(this->isClosedUnder(aStart, aRepeated));
    RawSocket second = this->nextAttempt();
    second.send(kChunked + RelayWorld::event(1) + RelayWorld::kLastChunk);
    const std::string answer = this->caller->readUntil("0\r\n\r\n");
    EXPECT_TRUE(answer.ends_with("data: x\n\n\r\n0\r\n\r\n")) << answer;
    EXPECT_EQ(this->world.shared.metrics.excesses(aCause), 1U);
  }
};

TEST_F(EndlessAnswer, AWholeAnswerIsRunElsewhereIfItMayBe)
{
  this->request("plain", "/again/x");
  EXPECT_TRUE(this->isClosedUnder(kFailed, "x"));
  RawSocket second = this->nextAttempt();
  second.send(RelayWorld::answer("id-1", "whole"));
  EXPECT_TRUE(this->caller->readUntil("whole").starts_with("HTTP/1.1 200 "));
  EXPECT_EQ(this->world.shared.metrics.excesses(AnswerExcess::Body), 1U);
}

TEST_F(EndlessAnswer, AWholeAnswerToARequestThatMayRunOnceMayHaveRun)
{
  this->request("plain", "/once/x");
  EXPECT_TRUE(this->isClosedUnder(kFailed, "x"));
  this->expectStatus("502 ");
}

TEST_F(EndlessAnswer, AWholeAnswerToAStreamIsRunElsewhere)
{
  this->expectStreamElsewhere(kFailed, "x", AnswerExcess::Body);
}

TEST_F(EndlessAnswer, AChunkedWholeAnswerHasTheSameLimit)
{
  this->request("plain", "/once/x");
  EXPECT_TRUE(this->isClosedUnder(
    kChunked, RelayWorld::chunk(std::string(4 * kKilobyte, 'x'))));
  this->expectStatus("502 ");
}

TEST_F(EndlessAnswer, AnAnnouncedLengthBeyondTheLimitIsNotRead)
{
  this->request("plain", "/once/x");
  this->replica->send("HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s\r\n"
                      "Content-Length: 1048577\r\n\r\n");
  this->expectStatus("502 ");
}

TEST_F(EndlessAnswer, AnAnswerOfTheLargestSizeIsForwarded)
{
  this->request("plain", "/once/x");
  std::thread sender{ [this] {
    this->replica->send(
      RelayWorld::answer("id-1", std::string(kMegabyte, 'x')));
  } };
  const std::string answer = this->caller->readBytes(kMegabyte);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 "));
  EXPECT_EQ(answer.size(), kMegabyte);
  sender.join();
}

TEST_F(EndlessAnswer, AChunkExtension)
{
  this->expectStreamElsewhere(kChunked + "5;", "x", AnswerExcess::Framing);
}

TEST_F(EndlessAnswer, AnExtensionOfEachChunk)
{
  const std::string extension(kKilobyte, 'x');
  this->expectStreamElsewhere(
    kChunked, "1;a=" + extension + "\r\n\n\r\n", AnswerExcess::Framing);
}

TEST_F(EndlessAnswer, TheSizeLineOfAChunk)
{
  this->expectStreamElsewhere(kChunked, "0", AnswerExcess::Framing);
}

TEST_F(EndlessAnswer, Trailers)
{
  this->expectStreamElsewhere(
    kChunked + "0\r\n", "Name: value\r\n", AnswerExcess::Framing);
}

TEST_F(EndlessAnswer, AStatusLine)
{
  this->expectStreamElsewhere("HTTP/1.1 200 ", "x", AnswerExcess::Head);
}

TEST_F(EndlessAnswer, HeaderFields)
{
  this->expectStreamElsewhere(
    "HTTP/1.1 200 OK\r\n", "Name: value\r\n", AnswerExcess::Head);
}

TEST_F(EndlessAnswer, AFewInterimAnswersAreSkipped)
{
  // Guards against an interim answer that is taken for the answer itself: its
  // caller would wait for another one in vain.
  this->startWith("plain", { "one" });
  this->openRequest("/once/x");
  this->replica->send("HTTP/1.1 103 Early Hints\r\n\r\n" +
                      RelayWorld::answer("id-1", "whole"));
  EXPECT_TRUE(this->caller->readUntil("whole").starts_with("HTTP/1.1 200 "));
}

TEST_F(EndlessAnswer, InterimAnswers)
{
  this->expectStreamElsewhere(
    "", "HTTP/1.1 103 Early Hints\r\n\r\n", AnswerExcess::Interim);
}

TEST_F(EndlessAnswer, AnAnswerToAnotherRequest)
{
  this->expectStreamElsewhere(kForeign + "\r\n", "x", AnswerExcess::Foreign);
}

TEST_F(EndlessAnswer, AnswersToOtherRequests)
{
  this->expectStreamElsewhere(
    "", kForeign + "Content-Length: 1\r\n\r\nx", AnswerExcess::Foreign);
}

TEST_F(EndlessAnswer, AnEvent)
{
  this->expectStreamElsewhere(
    kChunked,
    RelayWorld::chunk("data: " + std::string(kKilobyte, 'x')),
    AnswerExcess::Event);
}

TEST_F(EndlessAnswer, AnEventThatArrivesUntilTheConnectionCloses)
{
  this->expectStreamElsewhere(
    "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s\r\n\r\n",
    "data: x\n",
    AnswerExcess::Event);
}

TEST_F(EndlessAnswer, Comments)
{
  // The caller reads, so that only the limit of the stream ends it.
  this->request("model", "/stream/x");
  std::thread reader{ [this] { this->caller->readToEnd(); } };
  EXPECT_TRUE(this->isClosedUnder(kChunked, RelayWorld::chunk(":\n\n")));
  RawSocket second = this->nextAttempt();
  second.send(kChunked + RelayWorld::event(1) + RelayWorld::kLastChunk);
  EXPECT_EQ(this->world.awaitCounter("answers_total", 1), 1U);
  EXPECT_EQ(this->world.shared.metrics.excesses(AnswerExcess::Stream), 1U);
  this->world.loop.reset();
  reader.join();
}

TEST_F(EndlessAnswer, EventsThatTheCallerHas)
{
  this->request("model", "/stream/x");
  this->replica->send(kChunked + RelayWorld::event(1));
  this->caller->readUntil("id: 1\n");
  EXPECT_TRUE(this->isClosedUnder("", RelayWorld::event(1)));
  this->expectResumed(this->one);
}

TEST_F(EndlessAnswer, BytesAfterAnAnswerCloseItsConnection)
{
  this->request("plain", "/once/x");
  this->replica->send(RelayWorld::answer("id-1", "whole"));
  EXPECT_TRUE(has(this->caller->readUntil("whole"), "HTTP/1.1 200 "));
  EXPECT_TRUE(this->isClosedUnder("", "x"));
}

TEST_F(EndlessAnswer, BytesWithAnAnswerCloseItsConnection)
{
  this->request("plain", "/once/x");
  EXPECT_TRUE(this->isClosedUnder(RelayWorld::answer("id-1", "whole"), "x"));
  EXPECT_TRUE(has(this->caller->readUntil("whole"), "HTTP/1.1 200 "));
}

TEST_F(EndlessAnswer, ThatArrivesSlowlyEndsWithItsDeadline)
{
  this->world.useManualClock();
  this->request("plain", "/once/x");
  this->replica->send(kFailed);
  for (int i = 0; i < 61; ++i) {
    this->replica->send("x");
    this->world.advance(std::chrono::seconds{ 1 });
  }
  this->expectStatus("504 ");
  EXPECT_TRUE(this->isClosedUnder("", "x"));
}

TEST_F(EndlessAnswer, AReplicaThatSendsOneCountsAsFaulty)
{
  this->request("plain", "/once/x");
  EXPECT_TRUE(this->isClosedUnder(kFailed, "x"));
  this->expectStatus("502 ");
  this->expectOtherReplicaNext("/once/x");
}

TEST_F(EndlessAnswer, FramingOfARequestIsRefused)
{
  this->startWith("plain", { "one" });
  this->caller.emplace(this->world.caller());
  this->caller->send("POST /once/x HTTP/1.1\r\nX-Id: id-1\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n5;" +
                     std::string(kMegabyte, 'x'));
  EXPECT_TRUE(waitFor([this] {
    return this->world.shared.metrics.refusals(ErrorKind::HeadTooLarge) == 1;
  }));
}

/** Streams whose callers read slowly. */
class SlowCallers : public RelayFixture
{};

TEST_F(SlowCallers, PauseTheirStreams)
{
  // Guards against a relay that reads a stream to the end of its memory because
  // its caller does not read.
  constexpr int kEvents = 24'000;
  this->world.adjust = [](RelaySettings& aSettings) {
    aSettings.streamMb = 64;
    aSettings.bulkReadShare = 1;
  };
  this->startWith("model", { "one" });
  this->openRequest("/stream/x", kLongStream);
  std::thread sender{ [this] {
    this->replica->send(RelayWorld::streamHead("id-1"));
    const std::string data(kKilobyte, 'x');
    for (int i = 1; i <= kEvents; ++i) {
      this->replica->send(RelayWorld::chunk(RelayWorld::eventText(i, data)));
    }
    this->replica->send(RelayWorld::kLastChunk);
  } };
  EXPECT_GT(this->world.awaitCounter("streams_paused_total", 1), 0U);
  const std::string answer = this->caller->readUntil("\n\n\r\n0\r\n\r\n");
  EXPECT_TRUE(has(answer, "id: " + std::to_string(kEvents) + "\n"));
  sender.join();
}

TEST_F(SlowCallers, ReadsInBulkWaitForTheirShareOfTheTime)
{
  // Guards against an answer that takes the time of all other requests. Each
  // look at this clock takes a millisecond.
  std::atomic<std::int64_t> looks{ 0 };
  this->world.clock = [&looks] {
    return runtimeNow() + std::chrono::milliseconds{ ++looks };
  };
  this->startWith("plain", { "one" });
  this->openRequest("/once/x");
  std::thread sender{ [this] {
    this->replica->send(
      RelayWorld::answer("id-1", std::string(4 * kMegabyte, 'x')));
  } };
  EXPECT_GT(this->world.awaitCounter("bulk_reads_paused_total", 1), 0U);
  const std::string answer = this->caller->readBytes(4 * kMegabyte);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 "));
  EXPECT_EQ(answer.size(), 4 * kMegabyte);
  sender.join();
  this->world.loop.reset();
}

} // namespace
} // namespace poplartrack
