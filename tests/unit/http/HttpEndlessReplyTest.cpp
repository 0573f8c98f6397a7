// Replies without end.

#include <atomic>
#include <vector>

#include "../relay/WaitFor.h"
#include "HttpCalls.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using namespace httptest;

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

} // namespace
} // namespace poplartrack
