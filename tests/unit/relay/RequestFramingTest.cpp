// Requests whose bodies have no known end: what follows them on a connection
// could be the text of another request (request smuggling).

#include "../../../src/relay/MessageParser.h"
#include "RelayFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

struct FramingCase
{
  /** Lines of the head. */
  const char* fields;
  const char* status;
};

constexpr const char* kBadRequest = "HTTP/1.1 400 Bad Request";
constexpr const char* kNotImplemented = "HTTP/1.1 501 Not Implemented";

/** What says where a body ends, in ways that readers take differently. */
constexpr std::array kUnknownEnds{
  FramingCase{ "Transfer-Encoding: identity\r\n", kBadRequest },
  FramingCase{ "Transfer-Encoding: gzip\r\n", kBadRequest },
  FramingCase{ "Transfer-Encoding: xchunked\r\n", kBadRequest },
  FramingCase{ "Transfer-Encoding: \"chunked\"\r\n", kBadRequest },
  FramingCase{ "Transfer-Encoding: chunked;q=1\r\n", kBadRequest },
  FramingCase{ "Transfer-Encoding: chunked, identity\r\n", kBadRequest },
  FramingCase{ "Transfer-Encoding: chunked, gzip\r\n", kBadRequest },
  FramingCase{ "Transfer-Encoding: chunked, chunked\r\n", kBadRequest },
  FramingCase{ "Transfer-Encoding: chunked,\r\n", kBadRequest },
  FramingCase{ "Transfer-Encoding: , chunked\r\n", kBadRequest },
  FramingCase{ "Transfer-Encoding:\r\n", kBadRequest },
  FramingCase{ "Transfer-Encoding:\r\n chunked\r\n", kBadRequest },
  FramingCase{ "Transfer-Encoding : chunked\r\n", kBadRequest },
  FramingCase{ "Transfer-Encoding: chunked\x01\r\n", kBadRequest },
  FramingCase{ "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
               kBadRequest },
  FramingCase{ "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
               kBadRequest },
  FramingCase{ "Transfer-Encoding: identity\r\nContent-Length: 4\r\n",
               kBadRequest },
  FramingCase{ "Content-Length: 4\r\nTransfer-Encoding: gzip\r\n",
               kBadRequest },
  FramingCase{ "Content-Length: 4, 5\r\n", kBadRequest },
  FramingCase{ "Content-Length: 4\r\nContent-Length: 5\r\n", kBadRequest },
  FramingCase{ "Content-Length: +4\r\n", kBadRequest },
  FramingCase{ "Content-Length: -4\r\n", kBadRequest },
  FramingCase{ "Content-Length: 0x4\r\n", kBadRequest },
  FramingCase{ "Content-Length: 4 4\r\n", kBadRequest },
  FramingCase{ "Content-Length:\r\n", kBadRequest },
  FramingCase{ "Content-Length: 99999999999999999999\r\n", kBadRequest },
  FramingCase{ "Transfer-Encoding: gzip, chunked\r\n", kNotImplemented },
  FramingCase{ "Transfer-Encoding: foo;a=b, chunked\r\n", kNotImplemented },
  FramingCase{ "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
               kNotImplemented },
};

/** Returns a request with these lines in its head and the text of another one
 * as its body. */
std::string
requestAround(const std::string& aFields)
{
  return "POST /again/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: outer\r\n"
         "X-Key: secret\r\n" +
         aFields + "\r\n" + RelayWorld::request("/again/y", "inner");
}

class RequestFramingTest : public RelayFixture
{
protected:
  /** Expects that the relay refuses what comes on a connection, with this
   * status and once, and closes it. */
  void expectRefused(RawSocket& aCaller, const FramingCase& aCase)
  {
    const std::string answer = aCaller.readToEnd();
    EXPECT_TRUE(answer.starts_with(aCase.status)) << aCase.fields << answer;
    EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << aCase.fields;
  }
};

// Guards against requests that run though they stand in the body of another
// one, and against that one without its body.
TEST_F(RequestFramingTest, ARequestWithoutAKnownEndIsRefusedAndItsChannelClosed)
{
  this->startWith("plain", { "one" });
  for (const FramingCase& framing : kUnknownEnds) {
    RawSocket asking = this->world.caller();
    asking.send(requestAround(framing.fields));
    asking.endWriting();
    this->expectRefused(asking, framing);
  }
  this->world.settle();
  EXPECT_FALSE(this->one.acceptWithin(Duration{ 0 }));
}

// Guards against the same behind a request that was served.
TEST_F(RequestFramingTest, TheSameHoldsOnAKeptConnection)
{
  this->startWith("plain", { "one" });
  for (const FramingCase& framing : kUnknownEnds) {
    RawSocket asking = this->world.caller();
    asking.send(RelayWorld::request("/again/x", "first"));
    RawSocket attempt = this->nextAttempt();
    attempt.send(RelayWorld::answer(
      "first", "whole", "200 OK", "X-Stamp: s\r\nConnection: close\r\n"));
    EXPECT_TRUE(has(asking.readUntil("whole"), "200 OK"));
    asking.send(requestAround(framing.fields));
    asking.endWriting();
    this->expectRefused(asking, framing);
  }
  this->world.settle();
  EXPECT_FALSE(this->one.acceptWithin(Duration{ 0 }));
}

// Guards against parts of a request that are taken for others where its bytes
// are split.
TEST(RequestFraming, WhereTheBytesAreSplitChangesNothing)
{
  constexpr std::size_t kHead = 4'096;
  for (const FramingCase& framing : kUnknownEnds) {
    const std::string text = requestAround(framing.fields);
    for (std::size_t size = 0; size <= text.size(); ++size) {
      RequestParser parser{ kHead, kHead };
      std::string input = text.substr(0, size);
      input.erase(0, parser.feed(input));
      input.append(text.substr(size));
      parser.feed(input);
      EXPECT_NE(parser.problem(), ParseProblem::None) << framing.fields << size;
    }
  }
}

// Guards against chunks that other readers end elsewhere.
TEST(RequestFraming, OddChunksAreNoBody)
{
  constexpr std::size_t kHead = 4'096;
  for (const char* body : { "+5\r\nhello\r\n0\r\n\r\n",
                            "-5\r\nhello\r\n0\r\n\r\n",
                            "0x5\r\nhello\r\n0\r\n\r\n",
                            " 5\r\nhello\r\n0\r\n\r\n",
                            "5\nhello\n0\n\n",
                            "5\r\nhelloo\r\n0\r\n\r\n",
                            "5\r\nhello0\r\n\r\n",
                            "\r\nhello\r\n0\r\n\r\n",
                            "10000000000000005\r\nhello\r\n0\r\n\r\n",
                            "5g\r\nhello\r\n0\r\n\r\n" }) {
    RequestParser parser{ kHead, kHead };
    parser.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                std::string{ body });
    // A line that ends otherwise is waited for, until the request times out.
    EXPECT_FALSE(parser.is_done() && parser.problem() == ParseProblem::None)
      << body;
  }
}

// Guards against proper requests that are refused with the odd ones.
TEST_F(RequestFramingTest, ProperBodiesArePassedOn)
{
  this->startWith("plain", { "one" });
  for (const char* fields : { "Transfer-Encoding: chunked\r\n",
                              "transfer-encoding:  CHUNKED \r\n" }) {
    RawSocket asking = this->world.caller();
    asking.send("POST /again/x HTTP/1.1\r\nHost: shop.example\r\n"
                "X-Id: id-1\r\nX-Key: secret\r\n" +
                std::string{ fields } + "\r\n" + RelayWorld::chunk("body") +
                RelayWorld::kLastChunk);
    RawSocket attempt = this->nextAttempt();
    EXPECT_TRUE(has(this->head, "Content-Length: 4\r\n")) << this->head;
    if (!this->head.ends_with("body")) {
      EXPECT_TRUE(attempt.readUntil("body").ends_with("body"));
    }
    attempt.send(RelayWorld::answer(
      "id-1", "whole", "200 OK", "X-Stamp: s\r\nConnection: close\r\n"));
    EXPECT_TRUE(has(asking.readUntil("whole"), "200 OK"));
  }
}

} // namespace
} // namespace poplartrack
