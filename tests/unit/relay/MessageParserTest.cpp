#include "../../../src/relay/MessageParser.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

constexpr std::size_t kHead = 4'096;

TEST(MessageParser, ReadsABodyWithALengthWhenNoLimitIsSet)
{
  // With the documented way to set no body limit, boost::none, the parser
  // rejected every answer with a Content-Length.
  ResponseParser parser{ kHead, 0 };
  parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
  EXPECT_EQ(parser.problem(), ParseProblem::None);
  EXPECT_TRUE(parser.is_done());
  EXPECT_EQ(parser.takeBody(), "hello");
}

TEST(MessageParser, DoesNotConsumeBytesAfterAMessage)
{
  RequestParser parser{ kHead, 100 };
  const std::string bytes =
    "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nokGET / HTTP/1.1\r\n";
  EXPECT_EQ(parser.feed(bytes), bytes.size() - 16);
  EXPECT_TRUE(parser.is_done());
}

TEST(MessageParser, RejectsTwoFramingsInOneHead)
{
  RequestParser both{ kHead, 100 };
  both.feed("POST / HTTP/1.1\r\nContent-Length: 4\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
  EXPECT_EQ(both.problem(), ParseProblem::Malformed);
  RequestParser twice{ kHead, 100 };
  twice.feed("POST / HTTP/1.1\r\nContent-Length: 4\r\n"
             "Content-Length: 5\r\n\r\n");
  EXPECT_EQ(twice.problem(), ParseProblem::Malformed);
}

TEST(MessageParser, EnforcesItsLimits)
{
  RequestParser head{ 64, 100 };
  head.feed("POST / HTTP/1.1\r\nX: " + std::string(200, 'x'));
  EXPECT_EQ(head.problem(), ParseProblem::HeadTooLarge);
  RequestParser body{ kHead, 4 };
  body.feed("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n");
  EXPECT_EQ(body.problem(), ParseProblem::BodyTooLarge);
  RequestParser chunks{ kHead, 4 };
  chunks.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
              "5\r\nhello\r\n");
  EXPECT_EQ(chunks.problem(), ParseProblem::BodyTooLarge);
}

/** Feeds a parser these bytes in two parts, of which the first has this size.
 */
void
feedInParts(ResponseParser& aParser, std::string_view aBytes, std::size_t aSize)
{
  std::string input{ aBytes.substr(0, aSize) };
  input.erase(0, aParser.feed(input));
  input.append(aBytes.substr(aSize));
  aParser.feed(input);
}

TEST(MessageParser, RejectsAFoldedLineWhereverTheBytesAreSplit)
{
  // Guards against lines of a body that are taken for folded ones of the head.
  constexpr std::string_view kFolded =
    "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 1\r\n\r\nx";
  constexpr std::string_view kBody = " x\n y\r\n z";
  const std::string sound =
    "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 9\r\n\r\n" +
    std::string{ kBody };
  for (std::size_t size = 0; size <= kFolded.size(); ++size) {
    ResponseParser parser{ kHead, 0 };
    feedInParts(parser, kFolded, size);
    EXPECT_EQ(parser.problem(), ParseProblem::Malformed) << size;
  }
  for (std::size_t size = 0; size <= sound.size(); ++size) {
    ResponseParser parser{ kHead, 0 };
    feedInParts(parser, sound, size);
    EXPECT_EQ(parser.problem(), ParseProblem::None) << size;
    EXPECT_TRUE(parser.is_done()) << size;
    EXPECT_EQ(parser.takeBody(), kBody) << size;
  }
}

/** Feeds a parser the start of an answer, then bytes again and again. Returns
 * the problem after so many bytes, or before. */
ParseProblem
problemAfter(const std::string& aStart, const std::string& aRepeated)
{
  constexpr std::size_t kEnough = 10 * kHead;
  ResponseParser parser{ kHead, 0 };
  std::string input = aStart;
  for (std::size_t sent = 0;
       sent < kEnough && parser.problem() == ParseProblem::None;
       sent += aRepeated.size()) {
    input.append(aRepeated);
    input.erase(0, parser.feed(input));
  }
  return parser.problem();
}

const std::string kChunked =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST(MessageParser, FramingWithoutEndHasALimit)
{
  EXPECT_EQ(problemAfter(kChunked + "5;", "x"), ParseProblem::FramingTooLarge);
  EXPECT_EQ(problemAfter(kChunked, "1;a=" + std::string(99, 'x') + "\r\ny\r\n"),
            ParseProblem::FramingTooLarge);
  EXPECT_EQ(problemAfter(kChunked + "0\r\n", "A: b\r\n"),
            ParseProblem::FramingTooLarge);
  EXPECT_EQ(problemAfter(kChunked, "0"), ParseProblem::FramingTooLarge);
}

TEST(MessageParser, ABodyInSmallChunksIsAllowed)
{
  EXPECT_EQ(problemAfter(kChunked, "1\r\nx\r\n"), ParseProblem::None);
}

TEST(MessageParser, AHeadWithoutEndHasALimit)
{
  EXPECT_EQ(problemAfter("HTTP/1.1 200 ", "x"), ParseProblem::HeadTooLarge);
  EXPECT_EQ(problemAfter("HTTP/1.1 200 OK\r\n", "A: b\r\n"),
            ParseProblem::HeadTooLarge);
}

TEST(HeaderList, ComparesWithoutCaseAndFindsTokens)
{
  HeaderList headers;
  headers.add("Connection", "keep-alive, X-Hop");
  EXPECT_TRUE(headers.hasToken("connection", "x-hop"));
  EXPECT_TRUE(isHopByHop(headers, "X-Hop"));
  EXPECT_TRUE(isHopByHop(headers, "transfer-ENCODING"));
  EXPECT_FALSE(isHopByHop(headers, "X-Other"));
}

} // namespace
} // namespace poplartrack
