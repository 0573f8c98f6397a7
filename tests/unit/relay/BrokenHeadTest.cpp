// Replicas in trouble: heads that are no head of an answer.

#include <vector>

#include "RelayReplacementFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

/** Returns bytes that are an answer but for their status line and one line of
 * their head. */
std::string
answerWith(const std::string& aStatusLine, const std::string& aLine = {})
{
  return aStatusLine + "\r\nX-Id: id-1\r\nX-Stamp: s\r\n" + aLine +
         "Content-Length: 6\r\n\r\nbroken";
}

/** Returns the same where aFraming is all that frames the body. */
std::string
framedBy(const std::string& aStatusLine, const std::string& aFraming)
{
  return aStatusLine + "\r\nX-Id: id-1\r\nX-Stamp: s\r\n" + aFraming +
         "\r\n6\r\nbroken\r\n0\r\n\r\n";
}

constexpr const char* kOk = "HTTP/1.1 200 OK";

/** Answers whose heads are broken, in one way each. */
std::vector<std::string>
brokenAnswers()
{
  return {
    answerWith("HTTP/1.1 000 Broken"),
    answerWith("HTTP/1.1 001 Broken"),
    answerWith("HTTP/1.1 099 Broken"),
    answerWith("HTTP/1.1 600 Broken"),
    answerWith("HTTP/1.1 999 Broken"),
    answerWith("HTTP/1.1 2000 Broken"),
    answerWith("HTTP/1.1 20x Broken"),
    answerWith("HTTP/1.1 -20 Broken"),
    answerWith("HTTP/1.1 101 Switching Protocols"),
    answerWith("HTTP/2.0 200 OK"),
    answerWith("HTTP/0.9 200 OK"),
    answerWith("HTTP/1.1 200 O\x01K"),
    answerWith(kOk, "X Name: value\r\n"),
    answerWith(kOk, "X\tName: value\r\n"),
    answerWith(kOk, "X-Name : value\r\n"),
    answerWith(kOk, "X-Name\t: value\r\n"),
    answerWith(kOk, "X\x01Name: value\r\n"),
    answerWith(kOk, "X\x7fName: value\r\n"),
    answerWith(kOk, std::string{ "X\0Name: value\r\n", 15 }),
    answerWith(kOk, "X(Name): value\r\n"),
    answerWith(kOk, "X\xe9Name: value\r\n"),
    answerWith(kOk, ": value\r\n"),
    answerWith(kOk, "no colon\r\n"),
    answerWith(kOk, " X-Name: value\r\n"),
    answerWith(kOk, "\tX-Name: value\r\n"),
    answerWith(kOk, "X-Name: va\x01lue\r\n"),
    answerWith(kOk, "X-Name: va\rlue\r\n"),
    answerWith(kOk, std::string{ "X-Name: va\0lue\r\n", 16 }),
    answerWith(kOk, "Content-Length: 7\r\n"),
    answerWith(kOk, "Transfer-Encoding: chunked\r\n"),
    framedBy(kOk, "Content-Length: 6x\r\n"),
    framedBy(kOk, "Content-Length: -6\r\n"),
    framedBy(kOk, "Content-Length: +6\r\n"),
    framedBy(kOk, "Content-Length: 0x6\r\n"),
    framedBy(kOk, "Content-Length:\r\n"),
    framedBy(kOk, "Content-Length: 99999999999999999999\r\n"),
    framedBy(kOk, "Transfer-Encoding: gzip\r\n"),
    framedBy(kOk, "Transfer-Encoding: gzip, chunked\r\n"),
    framedBy(kOk, "Transfer-Encoding: chunked, gzip\r\n"),
    framedBy(kOk, "Transfer-Encoding: xchunked\r\n"),
    framedBy(kOk, "Transfer-Encoding: chunked, chunked\r\n"),
    framedBy(kOk,
             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
    framedBy("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n"),
  };
}

class BrokenHead : public RelayFixture
{
protected:
  /** The retry budget allows a retry of each request. */
  BrokenHead() { this->world.retryRatio = 2; }
  /** Sends a request, which its replica answers so, and closes. */
  void answerFirst(const std::string& aPath, const std::string& aAnswer)
  {
    this->openRequest(aPath, "X-Tokens: 5,5\r\nConnection: close\r\n");
    this->replica->send(aAnswer);
    this->replica->close();
  }
  /** Expects an answer without any byte of the broken one. */
  static void expectUnbroken(const std::string& aAnswer,
                             const std::string& aStatus)
  {
    EXPECT_TRUE(aAnswer.starts_with("HTTP/1.1 " + aStatus)) << aAnswer;
    EXPECT_FALSE(has(aAnswer, "roken")) << aAnswer;
  }
};

TEST_F(BrokenHead, OfARequestThatMayRunOnceIsAnOutcomeUnknown)
{
  // Guards against bytes that are no answer, passed on as one.
  this->startWith("plain", { "one" });
  for (const std::string& broken : brokenAnswers()) {
    SCOPED_TRACE(broken);
    this->answerFirst("/once/x", broken);
    const std::string answer = this->caller->readToEnd();
    expectUnbroken(answer, "502 ");
    EXPECT_FALSE(has(answer, "X-Stamp")) << answer;
  }
}

TEST_F(BrokenHead, OfARepeatableRequestIsRepeated)
{
  // Guards against a broken answer where another replica has a whole one.
  this->startWith("plain", { "one", "two" });
  for (const std::string& broken : brokenAnswers()) {
    SCOPED_TRACE(broken);
    this->answerFirst("/again/x", broken);
    RawSocket second = this->nextAttempt();
    second.send(RelayWorld::answer(
      "id-1", "whole", "200 OK", "X-Stamp: s\r\nConnection: close\r\n"));
    const std::string answer = this->caller->readToEnd();
    expectUnbroken(answer, "200 ");
    EXPECT_TRUE(answer.ends_with("whole")) << answer;
  }
}

TEST_F(BrokenHead, OfAStreamIsRunElsewhere)
{
  // Guards against a broken answer in place of a stream.
  this->startWith("model", { "one", "two" });
  for (const std::string& broken : brokenAnswers()) {
    SCOPED_TRACE(broken);
    this->answerFirst("/stream/x", broken);
    RawSocket second = this->nextAttempt();
    second.send("HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s\r\nConnection: "
                "close\r\nTransfer-Encoding: chunked\r\n\r\n" +
                RelayWorld::event(1) + RelayWorld::kLastChunk);
    const std::string answer = this->caller->readToEnd();
    expectUnbroken(answer, "200 ");
    EXPECT_TRUE(has(answer, "id: 1\n")) << answer;
  }
}

TEST_F(BrokenHead, OfAResumedStreamIsRunElsewhere)
{
  // Guards against a stream that ends, or goes on, with a broken answer.
  this->world.config->routes["shop.example"][2].attempts = 3;
  this->startWith("model", { "one", "two", "three" });
  this->openStream();
  this->replica->close();
  RawSocket second = this->nextAttempt();
  second.send(answerWith("HTTP/1.1 000 Broken"));
  this->expectResumed(this->one);
}

TEST_F(BrokenHead, AReplicaThatSendsOneCountsAsFaulty)
{
  this->startWith("plain", { "one", "two" });
  this->answerFirst("/once/x", answerWith("HTTP/1.1 000 Broken"));
  this->expectStatus("502 ");
  this->expectOtherReplicaNext("/once/x");
}

TEST_F(BrokenHead, ValidHeadsOfUnusualFormStayAnswers)
{
  // Guards against a check that refuses sound replicas.
  const std::string more = "X-Id: id-1\r\nX-Stamp: s\r\nConnection: close\r\n";
  const std::vector<std::string> answers{
    "HTTP/1.1 200 \r\n" + more + "Content-Length: 5\r\n\r\nwhole",
    "HTTP/1.0 200 OK\r\n" + more + "Content-Length:5\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\n" + more + "content-length:\t5 \r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\n" + more + "Content-Length: 5, 5\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\n" + more +
      "Content-Length: 5\r\nContent-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\n" + more + "X-Empty:\r\nX-Text: caf\xe9\t\"a\"\r\n" +
      "Content-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\n" + more + "!#$%&'*+-.^_`|~09azAZ: v\r\n" +
      "Transfer-Encoding: Chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + more +
      "Content-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 299 Mine\r\n" + more + "Content-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 599 Mine\r\n" + more + "Content-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 400 Bad Request\r\n" + more + "\r\nwhole",
  };
  this->startWith("plain", { "one" });
  for (const std::string& valid : answers) {
    SCOPED_TRACE(valid);
    this->answerFirst("/once/x", valid);
    const std::string answer = this->caller->readToEnd();
    EXPECT_TRUE(answer.ends_with("\r\n\r\nwhole")) << answer;
    EXPECT_TRUE(has(answer, "X-Stamp: s\r\n")) << answer;
  }
}

class BrokenHeadSetAside : public RelayReplacementFixture
{};

TEST_F(BrokenHeadSetAside, OfAnAttemptThatWasReplacedEndsOnlyThat)
{
  // Guards against a broken answer that is read beside the next attempt.
  this->startTwo(this->two.address());
  this->openRequest("/stream/x", "X-Tokens: 5,5\r\n");
  RawSocket next = this->awaitNext();
  this->replica->send(answerWith("HTTP/1.1 000 Broken"));
  EXPECT_EQ(this->replica->readToEnd(), "");
  next.send(RelayWorld::streamHead("id-1") + RelayWorld::event(1) +
            RelayWorld::kLastChunk);
  const std::string answer = this->caller->readUntil("0\r\n\r\n");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
  EXPECT_FALSE(has(answer, "roken")) << answer;
}

TEST_F(BrokenHeadSetAside, OfTheNextAttemptReturnsToTheFirst)
{
  // Guards against a stream that ends because its next attempt is broken.
  this->startTwo(this->two.address());
  this->openStream();
  RawSocket next = this->awaitNext();
  next.send(answerWith("HTTP/1.1 000 Broken"));
  this->awaitRestored(1);
  this->expectEnd();
}

} // namespace
} // namespace poplartrack
