// Replies whose heads are broken, and replies before the request is written.

#include "HttpCalls.h"

#include <vector>

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using namespace httptest;

// Guards against half a body that counts as whole because libcurl ignores a
// length that it cannot hold.
TEST(HttpClient, aBodyWithALengthThatNobodyCanHoldIsUnknown)
{
  for (const BodyFraming framing :
       { BodyFraming::Required, BodyFraming::Optional }) {
    const HttpResult result = callAnswered(
      "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nhalf",
      framing);
    EXPECT_EQ(result.outcome, CallOutcome::Unknown);
    EXPECT_FALSE(result.detail.empty());
  }
}

/** Returns a reply that is broken by its status line or one line of its head
 * alone. */
std::string
replyWith(const std::string& aStatusLine, const std::string& aLine = {})
{
  return aStatusLine + "\r\n" + aLine + "Content-Length: 2\r\n\r\nok";
}

// Guards against heads that libcurl takes for those of a reply: their status,
// lines or framing would reach callers.
TEST(HttpClient, aHeadThatIsNoneIsUnknown)
{
  const std::string ok = "HTTP/1.1 200 OK";
  const std::string chunks = "\r\n2\r\nok\r\n0\r\n\r\n";
  const std::vector<std::string> replies{
    replyWith("HTTP/1.1 000 Broken"),
    replyWith("HTTP/1.1 099 Broken"),
    replyWith("HTTP/1.1 600 Broken"),
    replyWith("HTTP/1.1 999 Broken"),
    replyWith("HTTP/1.1 2000 Broken"),
    replyWith("HTTP/1.1 20x Broken"),
    replyWith("HTTP/2.0 200 OK"),
    replyWith("HTTP/2 200"),
    replyWith(" HTTP/1.1 200 OK"),
    replyWith(ok, "X Name: value\r\n"),
    replyWith(ok, "X\tName: value\r\n"),
    replyWith(ok, "X-Name : value\r\n"),
    replyWith(ok, "X\x01Name: value\r\n"),
    replyWith(ok, "X\x7fName: value\r\n"),
    replyWith(ok, std::string{ "X\0Name: value\r\n", 15 }),
    replyWith(ok, "X(Name): value\r\n"),
    replyWith(ok, ": value\r\n"),
    replyWith(ok, "no colon\r\n"),
    replyWith(ok, "HTTP/1.1: value\r\n"),
    replyWith(ok, "X-Name: value\r\n X-Folded: value\r\n"),
    replyWith(ok, "\tX-Name: value\r\n"),
    replyWith(ok, "X-Name: va\x01lue\r\n"),
    replyWith(ok, "X-Name: va\rlue\r\n"),
    replyWith(ok, "Content-Length: 1\r\n"),
    replyWith(ok, "Content-Length : 1\r\n"),
    replyWith(ok, "Transfer-Encoding: chunked\r\n"),
    ok + "\r\nContent-Length: 2x\r\n\r\nok",
    ok + "\r\nContent-Length: +2\r\n\r\nok",
    ok + "\r\nContent Length: 2\r\n\r\nok",
    ok + "\r\nContent-Length:\r\n 2\r\n\r\nok",
    ok + "\r\nTransfer-Encoding : chunked\r\n" + chunks,
    ok + "\r\nTransfer Encoding: chunked\r\n" + chunks,
    ok + "\r\nTransfer-Encoding:\r\n chunked\r\n" + chunks,
    ok + "\r\nTransfer-Encoding: gzip\r\n\r\nok",
    ok + "\r\nTransfer-Encoding: xchunked\r\n" + chunks,
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks,
    "HTTP/1.1 103 Early Hints\r\nX Name: value\r\n\r\n" + replyWith(ok),
    ok + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
         "X Trailer: value\r\n\r\n",
  };
  for (const BodyFraming framing :
       { BodyFraming::Required, BodyFraming::Optional }) {
    for (const std::string& reply : replies) {
      SCOPED_TRACE(reply);
      const HttpResult result = callAnswered(reply, framing);
      EXPECT_EQ(result.outcome, CallOutcome::Unknown);
      EXPECT_FALSE(result.detail.empty());
      EXPECT_FALSE(result.overLimit);
    }
  }
}

// Guards against a check that refuses sound peers.
TEST(HttpClient, aValidHeadOfUnusualFormIsAReply)
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 2\r\n";
  const std::string body = "\r\nok";
  const std::vector<std::string> replies{
    "HTTP/1.1 200\r\n" + length + body,
    "HTTP/1.1 200 \r\ncontent-length:2\r\n" + body,
    "HTTP/1.0 200 OK\r\nContent-Length:\t2 \r\n" + body,
    "HTTP/1.1 599 Mine\r\n" + length + length + body,
    ok + "X-Empty:\r\nX-Text: caf\xe9\t\"a\"\r\n" + length + body,
    "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
    ok + "!#$%&'*+-.^_`|~09: v\r\nTransfer-Encoding: Chunked\r\n" +
      "\r\n2\r\nok\r\n0\r\nX-Trailer: 1\r\n\r\n",
  };
  for (const std::string& reply : replies) {
    SCOPED_TRACE(reply);
    const HttpResult result = callAnswered(reply);
    EXPECT_EQ(result.outcome, CallOutcome::Replied) << result.detail;
    EXPECT_EQ(result.body, "ok");
  }
}

/** Sends a call with a long body to a peer that answers before it has read it,
 * and ends the connection so. Returns how the call ends. */
HttpResult
uploadAnswered(void (*aEnd)(RawSocket&))
{
  constexpr std::size_t kUploadBytes = std::size_t{ 12 } << 20U;
  const auto client = newClient();
  RawListener listener;
  HttpCall call = callTo(listener.address());
  call.method = "POST";
  call.body.assign(kUploadBytes, 'x');
  call.framing = BodyFraming::Optional;
  std::future<HttpResult> result = start(*client, call);
  RawSocket peer = listener.accept();
  peer.readUntil(kHeadEnd);
  peer.send("HTTP/1.1 200 OK\r\n\r\npart");
  aEnd(peer);
  return result.get();
}

// Guards against part of a body that counts as whole because the failing write
// of the request has consumed the reset.
TEST(HttpClient, aReplyResetWhileTheRequestIsWrittenIsUnknown)
{
  constexpr int kCalls = 20;
  for (int i = 0; i < kCalls; ++i) {
    const HttpResult result =
      uploadAnswered([](RawSocket& aPeer) { aPeer.reset(); });
    EXPECT_EQ(result.outcome, CallOutcome::Unknown);
  }
}

TEST(HttpClient, aReplyThatEndsProperlyBeforeTheRequestIsWrittenIsWhole)
{
  const HttpResult result =
    uploadAnswered([](RawSocket& aPeer) { aPeer.endWriting(); });
  EXPECT_EQ(result.outcome, CallOutcome::Replied) << result.detail;
  EXPECT_EQ(result.body, "part");
}

} // namespace
} // namespace poplartrack
