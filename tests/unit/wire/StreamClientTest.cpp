#include "poplartrack/wire/StreamClient.h"

#include <future>

#include <gtest/gtest.h>

#include "harness/RawHttp2.h"
#include "harness/RawSocket.h"

namespace poplartrack {
namespace {

using harness::RawListener;
using harness::RawSocket;
namespace raw = harness::raw_http2;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLong = seconds{ 30 };

std::unique_ptr<StreamClient>
newClient(StreamClientLimits aLimits = {})
{
  return std::move(StreamClient::create(aLimits)).value();
}

std::future<CallResult>
start(StreamClient& aClient,
      const Address& aPeer,
      std::string aFrame,
      Duration aTimeout = kLong)
{
  const auto promise = std::make_shared<std::promise<CallResult>>();
  aClient.call(
    aPeer, std::move(aFrame), aTimeout, [promise](CallResult aResult) {
      promise->set_value(std::move(aResult));
    });
  return promise->get_future();
}

/** Takes the client's connection and tells it that calls may come. */
RawSocket
acceptReady(RawListener& aListener)
{
  RawSocket peer = aListener.accept();
  peer.send(raw::settings());
  return peer;
}

TEST(StreamClient, aRefusedConnectionIsNotSent)
{
  const auto client = newClient();
  EXPECT_EQ(start(*client, harness::deadAddress(), "a").get().outcome,
            CallOutcome::NotSent);
}

TEST(StreamClient, afterAFailedConnectCallsFailAtOnceForAWhile)
{
  StreamClientLimits limits;
  limits.reconnectBackoff = seconds{ 60 };
  const auto client = newClient(limits);
  RawListener listener;
  const Address address = listener.address();
  std::future<CallResult> first = start(*client, address, "a");
  listener.accept().close();
  EXPECT_EQ(first.get().outcome, CallOutcome::NotSent);
  // The peer would accept again, but is not even tried.
  const CallResult second = start(*client, address, "b").get();
  EXPECT_EQ(second.outcome, CallOutcome::NotSent);
  EXPECT_EQ(second.detail, "no connection to the peer");
}

// Guards against calls that fail at once while a sound peer is silent for
// longer than a connect may take.
TEST(StreamClient, afterAConnectTimeoutTheNextCallConnectsAgain)
{
  StreamClientLimits limits;
  limits.connectTimeout = milliseconds{ 20 };
  limits.reconnectBackoff = seconds{ 60 };
  const auto client = newClient(limits);
  RawListener listener;
  for (const char* frame : { "a", "b" }) {
    const CallResult result = start(*client, listener.address(), frame).get();
    EXPECT_EQ(result.outcome, CallOutcome::NotSent);
    EXPECT_EQ(result.detail, "the peer did not get ready in time");
  }
}

// Guards against a peer without a process that counts as one that is silent.
TEST(StreamClient, onlyATimeoutIsSilence)
{
  const auto client = newClient();
  EXPECT_FALSE(start(*client, harness::deadAddress(), "a").get().silent);
  RawListener listener;
  auto unread = start(*client, listener.address(), "a", milliseconds{ 10 });
  EXPECT_TRUE(unread.get().silent);
  auto sent = start(*client, listener.address(), "b");
  listener.accept().close();
  EXPECT_FALSE(sent.get().silent);
}

TEST(StreamClient, aFrameOverTheLimitIsNotSent)
{
  StreamClientLimits limits;
  limits.maxFrameBytes = 10;
  const auto client = newClient(limits);
  EXPECT_EQ(
    start(*client, harness::deadAddress(), std::string(11, 'x')).get().detail,
    "the frame is over the limit");
}

// The peer reads two calls and dies. The first had its reply coming; nothing
// tells whether the second was handled. Both are Unknown, never "not sent".
TEST(StreamClient, aPeerThatDiesMidCallLeavesItUnknown)
{
  const auto client = newClient();
  RawListener listener;
  std::future<CallResult> first = start(*client, listener.address(), "ONE");
  RawSocket peer = acceptReady(listener);
  peer.readUntil("ONE");
  std::future<CallResult> second = start(*client, listener.address(), "TWO");
  peer.readUntil("TWO");
  // ":status: 200" and half a reply.
  peer.send(raw::frame(raw::kHeaders, raw::kEndHeaders, 1, "\x88") +
            raw::frame(raw::kData, 0, 1, "half"));
  peer.close();
  const CallResult result = first.get();
  EXPECT_EQ(result.outcome, CallOutcome::Unknown);
  EXPECT_EQ(result.frame, "");
  EXPECT_EQ(second.get().outcome, CallOutcome::Unknown);
}

TEST(StreamClient, onlyRefusedStreamsAreNotSent)
{
  const auto client = newClient();
  RawListener listener;
  std::future<CallResult> refused = start(*client, listener.address(), "ONE");
  RawSocket peer = acceptReady(listener);
  peer.readUntil("ONE");
  std::future<CallResult> failed = start(*client, listener.address(), "TWO");
  peer.readUntil("TWO");
  peer.send(raw::resetStream(1, raw::kRefusedStream) +
            raw::resetStream(3, raw::kInternalError));
  EXPECT_EQ(refused.get().outcome, CallOutcome::NotSent);
  EXPECT_EQ(failed.get().outcome, CallOutcome::Unknown);
}

// The peer leaves with two calls on the way and says that it has taken the
// first only. It then dies without an answer to that one.
TEST(StreamClient, goAwayTellsWhichCallsWereNotTaken)
{
  const auto client = newClient();
  RawListener listener;
  std::future<CallResult> taken = start(*client, listener.address(), "ONE");
  RawSocket peer = acceptReady(listener);
  peer.readUntil("ONE");
  std::future<CallResult> late = start(*client, listener.address(), "TWO");
  peer.readUntil("TWO");
  peer.send(raw::goAway(1));
  EXPECT_EQ(late.get().outcome, CallOutcome::NotSent);
  // A new call goes to a new connection.
  std::future<CallResult> next = start(*client, listener.address(), "THREE");
  RawSocket successor = acceptReady(listener);
  successor.readUntil("THREE");
  peer.close();
  EXPECT_EQ(taken.get().outcome, CallOutcome::Unknown);
  successor.send(raw::resetStream(1, raw::kRefusedStream));
  EXPECT_EQ(next.get().outcome, CallOutcome::NotSent);
}

TEST(StreamClient, aTimeoutResetsTheStreamAndIsUnknown)
{
  const auto client = newClient();
  RawListener listener;
  std::future<CallResult> result =
    start(*client, listener.address(), "ONE", milliseconds{ 300 });
  RawSocket peer = acceptReady(listener);
  peer.readUntil("ONE");
  EXPECT_EQ(result.get().outcome, CallOutcome::Unknown);
  const std::string reset = raw::resetStream(1, raw::kCancel);
  EXPECT_NE(peer.readUntil(reset).find(reset), std::string::npos);
}

// The call is larger than the peer's window and the peer opens it no further:
// the last byte never left, so the peer cannot have handled the call.
TEST(StreamClient, aCallWhoseEndNeverLeftIsNotSent)
{
  const auto client = newClient();
  RawListener listener;
  std::future<CallResult> result = start(*client,
                                         listener.address(),
                                         std::string(100'000, 'x'),
                                         milliseconds{ 300 });
  RawSocket peer = acceptReady(listener);
  EXPECT_EQ(result.get().outcome, CallOutcome::NotSent);
  const std::string reset = raw::resetStream(1, raw::kCancel);
  EXPECT_NE(peer.readUntil(reset).find(reset), std::string::npos);
}

// The peer is frozen (SIGSTOP): its kernel accepts the connection and takes
// all bytes, but nobody answers. The call is not even written.
TEST(StreamClient, aPeerFrozenBeforeTheCallIsNotSent)
{
  StreamClientLimits limits;
  limits.connectTimeout = milliseconds{ 20 };
  const auto client = newClient(limits);
  RawListener listener;
  std::future<CallResult> result = start(*client, listener.address(), "ONE");
  EXPECT_EQ(result.get().outcome, CallOutcome::NotSent);
  const std::string seen = listener.accept().readToEnd();
  EXPECT_EQ(seen.find("ONE"), std::string::npos);
}

TEST(StreamClient, aPeerFrozenWithACallIsGivenUp)
{
  StreamClientLimits limits;
  limits.pingInterval = milliseconds{ 10 };
  limits.pingTimeout = milliseconds{ 10 };
  const auto client = newClient(limits);
  RawListener listener;
  std::future<CallResult> call = start(*client, listener.address(), "ONE");
  RawSocket peer = acceptReady(listener);
  const CallResult result = call.get();
  EXPECT_EQ(result.outcome, CallOutcome::Unknown);
  EXPECT_EQ(result.detail, "the peer does not answer PING");
}

TEST(StreamClient, aReplyOverTheLimitIsUnknown)
{
  StreamClientLimits limits;
  limits.maxFrameBytes = 10;
  const auto client = newClient(limits);
  RawListener listener;
  std::future<CallResult> result = start(*client, listener.address(), "ONE");
  RawSocket peer = acceptReady(listener);
  peer.readUntil("ONE");
  peer.send(raw::frame(raw::kHeaders, raw::kEndHeaders, 1, "\x88") +
            raw::frame(raw::kData, raw::kEndStream, 1, std::string(11, 'x')));
  EXPECT_EQ(result.get().outcome, CallOutcome::Unknown);
}

TEST(StreamClient, closingEndsOpenCallsAsUnknown)
{
  auto client = newClient();
  RawListener listener;
  std::future<CallResult> result = start(*client, listener.address(), "ONE");
  RawSocket peer = acceptReady(listener);
  peer.readUntil("ONE");
  client.reset();
  EXPECT_EQ(result.get().outcome, CallOutcome::Unknown);
}

} // namespace
} // namespace poplartrack
