#include "poplartrack/http/HttpClient.h"

#include <atomic>
#include <future>

#include <gtest/gtest.h>

#include "../relay/WaitFor.h"
#include "harness/RawSocket.h"

namespace poplartrack {
namespace {

using harness::RawListener;
using harness::RawSocket;

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kReply =
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

std::unique_ptr<HttpClient>
newClient(HttpClientLimits aLimits = {})
{
  return std::move(HttpClient::create(aLimits)).value();
}

HttpCall
callTo(const Address& aPeer)
{
  HttpCall call;
  call.url = "http://" + toText(aPeer) + "/";
  return call;
}

std::future<HttpResult>
start(HttpClient& aClient, HttpCall aCall)
{
  return std::async(std::launch::async, [&aClient, call = std::move(aCall)] {
    return aClient.sendAndWait(call);
  });
}

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

/** Sends a call with this framing, and returns how it ends when the peer sends
 * these bytes and closes the connection. */
HttpResult
callAnswered(std::string_view aBytes,
             BodyFraming aFraming = BodyFraming::Required)
{
  const auto client = newClient();
  RawListener listener;
  HttpCall call = callTo(listener.address());
  call.framing = aFraming;
  std::future<HttpResult> result = start(*client, call);
  RawSocket peer = listener.accept();
  peer.readUntil(kHeadEnd);
  peer.send(aBytes);
  peer.close();
  return result.get();
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
  const std::vector<std::string_view> replies{
    "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 \r\ncontent-length:2\r\n\r\nok",
    "HTTP/1.0 200 OK\r\nContent-Length:\t2 \r\n\r\nok",
    "HTTP/1.1 599 Mine\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Empty:\r\nX-Text: caf\xe9\t\"a\"\r\n"
    "Content-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
    "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09: v\r\nTransfer-Encoding: Chunked\r\n"
    "\r\n2\r\nok\r\n0\r\nX-Trailer: 1\r\n\r\n",
  };
  for (const std::string_view reply : replies) {
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

TEST(HttpClient, aReplyOverTheLimitIsUnknownAndBounded)
{
  HttpClientLimits limits;
  limits.maxBodyBytes = 1;
  const auto client = newClient(limits);
  RawListener listener;
  std::future<HttpResult> result = start(*client, callTo(listener.address()));
  RawSocket peer = listener.accept();
  peer.readUntil(kHeadEnd);
  peer.send(kReply);
  const HttpResult end = result.get();
  EXPECT_EQ(end.outcome, CallOutcome::Unknown);
  EXPECT_LE(end.body.size(), 1U);
}

/** Returns how a call ends whose reply begins so and goes on without end. */
HttpResult
endlessReply(const std::string& aStart, const std::string& aRepeated)
{
  constexpr std::size_t kEnough = std::size_t{ 64 } << 20U;
  const auto client = newClient();
  RawListener listener;
  HttpCall call = callTo(listener.address());
  call.timeout = std::chrono::minutes{ 1 };
  call.maxBodyBytes = 100'000;
  std::future<HttpResult> result = start(*client, call);
  RawSocket peer = listener.accept();
  peer.readUntil(kHeadEnd);
  std::string block;
  while (block.size() < 4'096) {
    block += aRepeated;
  }
  bool isOpen = peer.send(aStart);
  for (std::size_t sent = 0; isOpen && sent < kEnough; sent += block.size()) {
    isOpen = peer.send(block);
  }
  EXPECT_FALSE(isOpen);
  peer.close();
  return result.get();
}

const std::string kChunked =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST(HttpClient, aReplyWithoutEndIsUnknownAndBounded)
{
  const std::string chunkWithExtension =
    "1;a=" + std::string(1'000, 'x') + "\r\ny\r\n";
  const std::vector<std::pair<std::string, std::string>> replies{
    { "HTTP/1.1 200 OK\r\n\r\n", "x" },
    { kChunked, "4\r\nxxxx\r\n" },
    { kChunked + "5;", "x" },
    { kChunked, chunkWithExtension },
    { kChunked, "0" },
    { kChunked + "0\r\n", "Name: value\r\n" },
    { "HTTP/1.1 200 ", "x" },
    { "HTTP/1.1 200 OK\r\n", "Name: value\r\n" },
    { "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
  };
  for (const auto& [start, repeated] : replies) {
    SCOPED_TRACE(start + repeated.substr(0, 40));
    const HttpResult result = endlessReply(start, repeated);
    EXPECT_EQ(result.outcome, CallOutcome::Unknown);
    EXPECT_LE(result.body.size(), 100'000U);
  }
}

// Guards against replies without end that take the memory of the process
// together, each below its own limit.
TEST(HttpClient, manyRepliesWithoutEndAreBoundedTogether)
{
  constexpr std::size_t kPeers = 8;
  constexpr std::size_t kMegabyte = std::size_t{ 1 } << 20U;
  HttpClientLimits limits;
  limits.maxBodyBytes = kMegabyte;
  limits.maxHeldBytes = 2 * kMegabyte;
  std::atomic<std::size_t> overLimit{ 0 };
  const auto client = newClient(limits);
  RawListener listener;
  std::vector<RawSocket> peers;
  for (std::size_t i = 0; i < kPeers; ++i) {
    HttpCall call = callTo(listener.address());
    call.timeout = std::chrono::minutes{ 1 };
    client->send(call, [&overLimit](const HttpResult& aResult) {
      EXPECT_EQ(aResult.outcome, CallOutcome::Unknown);
      overLimit += aResult.overLimit ? 1 : 0;
    });
    peers.push_back(listener.accept());
    peers.back().readUntil(kHeadEnd);
  }
  for (RawSocket& peer : peers) {
    peer.send("HTTP/1.1 200 OK\r\n\r\n" + std::string(kMegabyte - 1, 'x'));
  }
  // Two of them at most have room.
  EXPECT_TRUE(relaytest::waitFor([&] { return overLimit >= kPeers - 2; }));
  std::future<HttpResult> small = start(*client, callTo(listener.address()));
  RawSocket sound = listener.accept();
  sound.readUntil(kHeadEnd);
  sound.send(kReply);
  EXPECT_EQ(small.get().outcome, CallOutcome::Replied);
}

/** Returns whether a call with a long body ends although its peer reads none of
 * it and sends bytes that are no reply, without end. */
bool
uploadEndsUnder(const std::string& aStart, const std::string& aRepeated)
{
  constexpr std::size_t kUploadBytes = std::size_t{ 12 } << 20U;
  constexpr std::size_t kEnough = std::size_t{ 64 } << 20U;
  const auto client = newClient();
  RawListener listener;
  HttpCall call = callTo(listener.address());
  call.method = "POST";
  call.body.assign(kUploadBytes, 'x');
  call.framing = BodyFraming::Optional;
  call.timeout = std::chrono::minutes{ 1 };
  call.maxBodyBytes = 100'000;
  std::future<HttpResult> result = start(*client, call);
  RawSocket peer = listener.accept();
  std::string block;
  while (block.size() < 4'096) {
    block += aRepeated;
  }
  bool isOpen = peer.send(aStart);
  for (std::size_t sent = 0; isOpen && sent < kEnough; sent += block.size()) {
    isOpen = peer.send(block);
  }
  peer.close();
  return !isOpen && result.get().outcome == CallOutcome::Unknown;
}

TEST(HttpClient, aReplyWithoutEndWhileTheRequestIsWrittenIsBounded)
{
  EXPECT_TRUE(uploadEndsUnder("HTTP/1.1 200 OK\r\n\r\n", "x"));
  EXPECT_TRUE(uploadEndsUnder("HTTP/1.1 200 OK\r\n", "Name: value\r\n"));
  EXPECT_TRUE(uploadEndsUnder("HTTP/1.1 200 ", "x"));
  EXPECT_TRUE(uploadEndsUnder("", "HTTP/1.1 103 Early Hints\r\n\r\n"));
  EXPECT_TRUE(uploadEndsUnder(kChunked + "5;", "x"));
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
