#include "poplartrack/http/HttpClient.h"

#include <vector>

#include <gtest/gtest.h>

#include "HttpCalls.h"

namespace poplartrack {
namespace {

using namespace httptest;

TEST(HttpClient, aRefusedConnectionIsNotSent)
{
  const HttpResult result =
    newClient()->sendAndWait(callTo(harness::deadAddress()));
  EXPECT_EQ(result.outcome, CallOutcome::NotSent);
  EXPECT_FALSE(result.detail.empty());
}

TEST(HttpClient, aCutAfterTheRequestIsUnknown)
{
  const auto client = newClient();
  RawListener listener;
  std::future<HttpResult> result = start(*client, callTo(listener.address()));
  RawSocket peer = listener.accept();
  peer.readUntil(kHeadEnd);
  peer.close();
  EXPECT_EQ(result.get().outcome, CallOutcome::Unknown);
}

TEST(HttpClient, aTimeoutAfterTheRequestIsUnknown)
{
  const auto client = newClient();
  RawListener listener;
  HttpCall call = callTo(listener.address());
  call.timeout = std::chrono::milliseconds{ 300 };
  std::future<HttpResult> result = start(*client, call);
  RawSocket peer = listener.accept();
  peer.readUntil(kHeadEnd);
  EXPECT_EQ(result.get().outcome, CallOutcome::Unknown);
}

// The peer answers one call, reads the next on the same connection and dies;
// nobody listens on its port any more. libcurl sends the request again by
// itself and ends with "could not connect". The caller must not be told "not
// sent": the dead peer may have handled what it read.
TEST(HttpClient, aKeptAliveConnectionThatDiesWithTheRequestIsUnknown)
{
  const auto client = newClient();
  RawListener listener;
  std::future<HttpResult> first = start(*client, callTo(listener.address()));
  RawSocket peer = listener.accept();
  peer.readUntil(kHeadEnd);
  peer.send(kReply);
  EXPECT_EQ(first.get().outcome, CallOutcome::Replied);

  std::future<HttpResult> second = start(*client, callTo(listener.address()));
  peer.readUntil(kHeadEnd);
  listener.close();
  peer.close();
  EXPECT_EQ(second.get().outcome, CallOutcome::Unknown);
}

// As above, but the peer comes back: libcurl alone would send the request a
// second time. A call that asked for a connection of its own is sent once.
TEST(HttpClient, aCallOnAFreshConnectionIsNeverSentAgain)
{
  const auto client = newClient();
  RawListener listener;
  HttpCall call = callTo(listener.address());
  std::future<HttpResult> first = start(*client, call);
  RawSocket kept = listener.accept();
  kept.readUntil(kHeadEnd);
  kept.send(kReply);
  EXPECT_EQ(first.get().outcome, CallOutcome::Replied);

  call.freshConnection = true;
  std::future<HttpResult> second = start(*client, call);
  RawSocket fresh = listener.accept();
  fresh.readUntil(kHeadEnd);
  fresh.close();
  EXPECT_EQ(second.get().outcome, CallOutcome::Unknown);
  // The next thing that the peer sees is the next call, not a repeat.
  call.freshConnection = false;
  std::future<HttpResult> third = start(*client, call);
  kept.readUntil(kHeadEnd);
  kept.send(kReply);
  EXPECT_EQ(third.get().outcome, CallOutcome::Replied);
}

TEST(HttpClient, aReplyCutShortIsUnknown)
{
  const auto client = newClient();
  RawListener listener;
  std::future<HttpResult> result = start(*client, callTo(listener.address()));
  RawSocket peer = listener.accept();
  peer.readUntil(kHeadEnd);
  peer.send(kReply.substr(0, kReply.size() - 1));
  peer.close();
  EXPECT_EQ(result.get().outcome, CallOutcome::Unknown);
}

// Guards against libcurl's success for a head that the peer never finished.
TEST(HttpClient, aReplyCutWithinItsHeadIsUnknown)
{
  const std::vector<std::string_view> cutHeads{
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nX-Name: value\r\n",
    "HTTP/1.1 200 OK\r\nX-Name: value\r\nContent-Le",
    "HTTP/1.1 200 OK\r\nX-Name: value\r\n\r",
    "HTTP/1.1 204 No Content\r\nX-Name: value\r\n",
    "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
    "HTTP/1.1 101 Switching Protocols\r\n\r\nbody",
  };
  for (const BodyFraming framing :
       { BodyFraming::Required, BodyFraming::Optional }) {
    for (const std::string_view head : cutHeads) {
      SCOPED_TRACE(head);
      const HttpResult result = callAnswered(head, framing);
      EXPECT_EQ(result.outcome, CallOutcome::Unknown);
      EXPECT_FALSE(result.detail.empty());
      EXPECT_FALSE(result.headers.contains("retry-after"));
    }
  }
}

// Guards against a place of a cut, in head or body, that looks like the end.
TEST(HttpClient, noPartOfAReplyIsAReply)
{
  const std::vector<std::string_view> replies{
    "HTTP/1.1 200 OK\r\nRetry-After: 12\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    // All but the last line feed, which libcurl need not wait for.
    "2\r\nok\r\n0\r\nX-Trailer: 1\r\n\r",
  };
  for (const std::string_view reply : replies) {
    for (std::size_t size = 0; size < reply.size(); ++size) {
      const std::string_view part = reply.substr(0, size);
      SCOPED_TRACE(part);
      EXPECT_EQ(callAnswered(part, BodyFraming::Optional).outcome,
                CallOutcome::Unknown);
    }
  }
}

// Guards against half a body, whose sender stopped, taken for a whole one.
TEST(HttpClient, aBodyThatOnlyTheConnectionEndsIsUnknownUnlessAllowed)
{
  constexpr std::string_view kUnframed = "HTTP/1.1 200 OK\r\n\r\nhalf";
  const HttpResult refused = callAnswered(kUnframed);
  EXPECT_EQ(refused.outcome, CallOutcome::Unknown);
  EXPECT_FALSE(refused.detail.empty());
  const HttpResult allowed = callAnswered(kUnframed, BodyFraming::Optional);
  EXPECT_EQ(allowed.outcome, CallOutcome::Replied);
  EXPECT_EQ(allowed.body, "half");
}

// Guards against half a body, whose sender was reset, taken for a whole one.
TEST(HttpClient, aBodyEndedByAResetIsUnknown)
{
  const auto client = newClient();
  RawListener listener;
  HttpCall call = callTo(listener.address());
  call.framing = BodyFraming::Optional;
  std::future<HttpResult> result = start(*client, call);
  RawSocket peer = listener.accept();
  peer.readBytes(1);
  peer.send("HTTP/1.1 200 OK\r\n\r\nhalf");
  // The rest of the request is unread, which makes this a reset.
  peer.close();
  EXPECT_EQ(result.get().outcome, CallOutcome::Unknown);
}

TEST(HttpClient, aReplyThatCanHaveNoBodyNeedsNoLength)
{
  const std::vector<std::string_view> replies{
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 304 Not Modified\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
  };
  for (const std::string_view reply : replies) {
    SCOPED_TRACE(reply);
    EXPECT_EQ(callAnswered(reply).outcome, CallOutcome::Replied);
  }
}

TEST(HttpClient, aHeaderThatCarriesAnotherRequestIsNotSent)
{
  HttpCall call = callTo(harness::deadAddress());
  call.headers["x-key"] = "a\r\n\r\nPOST / HTTP/1.1";
  const HttpResult result = newClient()->sendAndWait(call);
  EXPECT_EQ(result.outcome, CallOutcome::NotSent);
  EXPECT_EQ(result.detail, "a header is no HTTP header");
}

TEST(HttpClient, closingEndsOpenCallsAsUnknown)
{
  auto client = newClient();
  RawListener listener;
  std::promise<HttpResult> promise;
  client->send(callTo(listener.address()), [&promise](HttpResult aResult) {
    promise.set_value(std::move(aResult));
  });
  RawSocket peer = listener.accept();
  peer.readUntil(kHeadEnd);
  client.reset();
  EXPECT_EQ(promise.get_future().get().outcome, CallOutcome::Unknown);
}

} // namespace
} // namespace poplartrack
