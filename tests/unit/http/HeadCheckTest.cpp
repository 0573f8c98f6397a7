#include "poplartrack/http/HeadCheck.h"

#include <initializer_list>

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

HeadFlaw
flawOfStatusLine(std::string_view aLine)
{
  HeadCheck check;
  return checkStatusLine(check, aLine);
}

TEST(HeadCheck, aStatusLineHasAVersionAndAStatus)
{
  for (const char* line : { "HTTP/1.1 100 Continue",
                            "HTTP/1.0 200 OK",
                            "HTTP/1.1 599 ",
                            "HTTP/1.1 200",
                            "HTTP/1.1 200 caf\xe9" }) {
    EXPECT_EQ(flawOfStatusLine(line), HeadFlaw::None) << line;
  }
  for (const char* line : { "",
                            "HTTP/1.1",
                            "HTTP/1.1 20",
                            "HTTP/1.1 2000 OK",
                            "HTTP/1.1 20x OK",
                            "HTTP/1.1 +20 OK",
                            "HTTP/1.1  200 OK",
                            "HTTP/1.2 200 OK",
                            "HTTP/2.0 200 OK",
                            "HTTP/1.x 200 OK",
                            "http/1.1 200 OK",
                            "HTTP/1.1 200 O\x01K",
                            "X-Name: value" }) {
    EXPECT_EQ(flawOfStatusLine(line), HeadFlaw::StatusLine) << line;
  }
  for (const char* line : { "HTTP/1.1 000 X",
                            "HTTP/1.1 099 X",
                            "HTTP/1.1 101 X",
                            "HTTP/1.1 600 X" }) {
    EXPECT_EQ(flawOfStatusLine(line), HeadFlaw::Status) << line;
  }
}

TEST(HeadCheck, namesAreTokensAndValuesHaveNoControlCharacters)
{
  EXPECT_EQ(flawOfField("X-Name", "caf\xe9\t\"a\""), HeadFlaw::None);
  EXPECT_EQ(flawOfField("!#$%&'*+-.^_`|~09azAZ", ""), HeadFlaw::None);
  for (const char* name :
       { "", "X Name", "X\tName", "X-Name ", "X\x7f", "X:Y" }) {
    EXPECT_EQ(flawOfField(name, ""), HeadFlaw::FieldName) << name;
  }
  for (const char* value : { "\x01", "a\rb", "a\nb", "\x7f" }) {
    EXPECT_EQ(flawOfField("X-Name", value), HeadFlaw::FieldValue) << value;
  }
}

/** Returns the last flaw of a head of this version with these two fields. */
HeadFlaw
flawOfFraming(int aVersion,
              std::string_view aName,
              std::string_view aValue,
              std::string_view aNextName = "x-none",
              std::string_view aNextValue = {})
{
  HeadCheck check;
  check.onStatus(aVersion, 200, "OK");
  const HeadFlaw first = check.onField(aName, aValue);
  return first == HeadFlaw::None ? check.onField(aNextName, aNextValue) : first;
}

TEST(HeadCheck, aBodyHasOneLengthOrChunks)
{
  constexpr int kHttp11 = 11;
  const auto length = [](std::string_view aValue) {
    return flawOfFraming(kHttp11, "Content-Length", aValue);
  };
  const auto coding = [](std::string_view aValue) {
    return flawOfFraming(kHttp11, "Transfer-Encoding", aValue);
  };
  for (const char* value : { "0", "5", "5, 5", "9223372036854775807" }) {
    EXPECT_EQ(length(value), HeadFlaw::None) << value;
  }
  for (const char* value : { "",
                             "x",
                             "5x",
                             "+5",
                             "-5",
                             "0x5",
                             "5,",
                             "5, 6",
                             "9223372036854775808" }) {
    EXPECT_EQ(length(value), HeadFlaw::ContentLength) << value;
  }
  EXPECT_EQ(coding("Chunked"), HeadFlaw::None);
  for (const char* value :
       { "", "gzip", "gzip, chunked", "chunked, chunked", "xchunked" }) {
    EXPECT_EQ(coding(value), HeadFlaw::TransferEncoding) << value;
  }
  EXPECT_EQ(
    flawOfFraming(kHttp11, "content-length", "5", "Content-Length", "5"),
    HeadFlaw::None);
  EXPECT_EQ(
    flawOfFraming(kHttp11, "content-length", "5", "Content-Length", "6"),
    HeadFlaw::ContentLength);
  EXPECT_EQ(flawOfFraming(
              kHttp11, "Content-Length", "5", "Transfer-Encoding", "chunked"),
            HeadFlaw::TransferEncoding);
  EXPECT_EQ(flawOfFraming(
              kHttp11, "Transfer-Encoding", "chunked", "Content-Length", "5"),
            HeadFlaw::TransferEncoding);
  EXPECT_EQ(flawOfFraming(10, "Transfer-Encoding", "chunked"),
            HeadFlaw::TransferEncoding);
}

/** Returns the flaw of the whole head of a request with these codings, each in
 * a field of its own. */
HeadFlaw
flawOfCodings(std::initializer_list<const char*> aValues, int aVersion = 11)
{
  HeadCheck check;
  check.onRequest(aVersion);
  for (const char* value : aValues) {
    const HeadFlaw flaw = check.onField("Transfer-Encoding", value);
    if (flaw != HeadFlaw::None) {
      return flaw;
    }
  }
  return check.onEnd();
}

// Guards against requests in the body of one whose end is unknown.
TEST(HeadCheck, aRequestHasAKnownEnd)
{
  EXPECT_EQ(flawOfCodings({}), HeadFlaw::None);
  EXPECT_EQ(flawOfCodings({ "Chunked" }), HeadFlaw::None);
  for (const char* value : { "",
                             "identity",
                             "xchunked",
                             "chunked, gzip",
                             "chunked, chunked",
                             "chunked,",
                             ", chunked",
                             "chunked;q=1",
                             "a b, chunked" }) {
    EXPECT_EQ(flawOfCodings({ value }), HeadFlaw::TransferEncoding) << value;
  }
  EXPECT_EQ(flawOfCodings({ "chunked", "gzip" }), HeadFlaw::TransferEncoding);
  EXPECT_EQ(flawOfCodings({ "chunked" }, 10), HeadFlaw::TransferEncoding);
  EXPECT_EQ(flawOfCodings({ "gzip, chunked" }), HeadFlaw::UnknownCoding);
  EXPECT_EQ(flawOfCodings({ "x;a=b", "chunked" }), HeadFlaw::UnknownCoding);
  HeadCheck both;
  both.onRequest(11);
  both.onField("Content-Length", "4");
  both.onField("Transfer-Encoding", "chunked");
  EXPECT_NE(both.onEnd(), HeadFlaw::None);
}

TEST(HeadCheck, aFoldedLineIsOneWithinTheHead)
{
  EXPECT_TRUE(hasFoldedLine("A: b\r\n c\r\n\r\n"));
  EXPECT_TRUE(hasFoldedLine("\tc\r\n"));
  EXPECT_FALSE(hasFoldedLine("A: b\r\nC: d\r\n\r\n body\n of the answer"));
  EXPECT_FALSE(hasFoldedLine("\r\n body"));
}

} // namespace
} // namespace poplartrack
