#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <vector>

#include <gtest/gtest.h>

#include "harness/RawHttp2.h"
#include "harness/RawSocket.h"
#include "poplartrack/wire/StreamClient.h"
#include "poplartrack/wire/StreamServer.h"

namespace poplartrack {
namespace {

using harness::RawSocket;
namespace raw = harness::raw_http2;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLong = seconds{ 30 };

std::unique_ptr<StreamServer>
serve(FrameHandler aHandler, StreamServerLimits aLimits = {})
{
  return std::move(StreamServer::create(
                     Address{ "127.0.0.1", 0 }, std::move(aHandler), aLimits))
    .value();
}

std::unique_ptr<StreamClient>
newClient(StreamClientLimits aLimits = {})
{
  return std::move(StreamClient::create(aLimits)).value();
}

std::future<CallResult>
start(StreamClient& aClient, const Address& aPeer, std::string aFrame)
{
  const auto promise = std::make_shared<std::promise<CallResult>>();
  aClient.call(aPeer, std::move(aFrame), kLong, [promise](CallResult aResult) {
    promise->set_value(std::move(aResult));
  });
  return promise->get_future();
}

void
echo(std::string aFrame, const Responder& aRespond)
{
  aRespond("re:" + std::move(aFrame));
}

/** Keeps calls unanswered until the test wants their replies. */
class HeldCalls
{
public:
  struct Held
  {
    std::string frame;
    Responder respond;
  };

  FrameHandler handler()
  {
    return [this](std::string aFrame, Responder aRespond) {
      const std::scoped_lock lock{ this->mutex };
      this->held.push_back(Held{ std::move(aFrame), std::move(aRespond) });
      this->changed.notify_all();
    };
  }
  /** Waits until that many calls have come and takes them. */
  std::vector<Held> take(std::size_t aCount)
  {
    std::unique_lock lock{ this->mutex };
    this->changed.wait(lock, [&] { return this->held.size() >= aCount; });
    return std::exchange(this->held, {});
  }

private:
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<Held> held;
};

TEST(StreamCall, framesOfEverySizeComeBack)
{
  const auto server = serve(echo);
  const auto client = newClient();
  const std::size_t largest = StreamServerLimits{}.maxFrameBytes - 3;
  for (const std::size_t size :
       { std::size_t{ 0 }, std::size_t{ 1 }, largest }) {
    const std::string frame(size, 'f');
    const CallResult result = start(*client, server->address(), frame).get();
    EXPECT_EQ(result.outcome, CallOutcome::Replied) << result.detail;
    EXPECT_EQ(result.frame, "re:" + frame);
  }
}

TEST(StreamCall, aThousandCallsAtOnceEachGetTheirOwnReply)
{
  const auto server = serve(echo);
  const auto client = newClient();
  std::vector<std::future<void>> callers;
  callers.reserve(4);
  for (int caller = 0; caller < 4; ++caller) {
    callers.push_back(std::async(std::launch::async, [&, caller] {
      std::vector<std::future<CallResult>> results;
      results.reserve(250);
      for (int i = 0; i < 250; ++i) {
        results.push_back(
          start(*client,
                server->address(),
                std::to_string(caller) + "/" + std::to_string(i)));
      }
      for (int i = 0; i < 250; ++i) {
        EXPECT_EQ(results[static_cast<std::size_t>(i)].get().frame,
                  "re:" + std::to_string(caller) + "/" + std::to_string(i));
      }
    }));
  }
  for (std::future<void>& caller : callers) {
    caller.get();
  }
}

// Two hundred calls are open on one connection and are answered last first,
// from another thread. No caller may get another's reply.
TEST(StreamCall, crossedRepliesFindTheirCallers)
{
  HeldCalls held;
  const auto server = serve(held.handler());
  const auto client = newClient();
  std::vector<std::future<CallResult>> results;
  results.reserve(200);
  for (int i = 0; i < 200; ++i) {
    results.push_back(start(*client, server->address(), std::to_string(i)));
  }
  std::vector<HeldCalls::Held> calls = held.take(200);
  EXPECT_EQ(server->openCalls(), 200U);
  for (auto call = calls.rbegin(); call != calls.rend(); ++call) {
    call->respond("re:" + call->frame);
    call->respond("a second reply is nobody's");
  }
  for (int i = 0; i < 200; ++i) {
    EXPECT_EQ(results[static_cast<std::size_t>(i)].get().frame,
              "re:" + std::to_string(i));
  }
}

// The process answers what it has taken and takes no more: the caller of the
// second call learns that it was not handled, the first gets its reply whole,
// also when the server ends the moment it has no call open.
TEST(StreamCall, drainAnswersWhatItTookAndTakesNoMore)
{
  HeldCalls held;
  auto server = serve(held.handler());
  const Address address = server->address();
  const auto client = newClient();
  std::future<CallResult> taken = start(*client, address, "first");
  std::vector<HeldCalls::Held> calls = held.take(1);
  server->drain();
  CallOutcome later = CallOutcome::Unknown;
  while (later != CallOutcome::NotSent) {
    std::future<CallResult> result = start(*client, address, "second");
    while (result.wait_for(milliseconds{ 1 }) != std::future_status::ready) {
      // If it was sent before GOAWAY, it was taken and is answered like the
      // first. A rejection may take longer than a millisecond.
      for (HeldCalls::Held& call : held.take(0)) {
        call.respond("early");
      }
    }
    later = result.get().outcome;
  }
  const std::string large(1U << 20U, 'r');
  calls.front().respond(large);
  while (server->openCalls() > 0) {
    std::this_thread::yield();
  }
  server.reset();
  const CallResult result = taken.get();
  EXPECT_EQ(result.outcome, CallOutcome::Replied) << result.detail;
  EXPECT_EQ(result.frame, large);
}

TEST(StreamCall, aResponderOutlivesItsServer)
{
  HeldCalls held;
  auto server = serve(held.handler());
  const auto client = newClient();
  std::future<CallResult> result = start(*client, server->address(), "call");
  std::vector<HeldCalls::Held> calls = held.take(1);
  server.reset();
  EXPECT_EQ(result.get().outcome, CallOutcome::Unknown);
  calls.front().respond("too late");
}

TEST(StreamCall, aFrameOverTheServersLimitIsNotHandled)
{
  std::atomic<int> handled{ 0 };
  StreamServerLimits limits;
  limits.maxFrameBytes = 1000;
  const auto server = serve(
    [&handled](const std::string&, const Responder& aRespond) {
      ++handled;
      aRespond(std::string(1001, 'x'));
    },
    limits);
  const auto client = newClient();
  const CallResult over =
    start(*client, server->address(), std::string(1001, 'x')).get();
  EXPECT_EQ(over.outcome, CallOutcome::NotSent);
  EXPECT_EQ(handled, 0);
  // A reply over the limit is no reply, but the call has been handled.
  const CallResult reply =
    start(*client, server->address(), std::string(1000, 'x')).get();
  EXPECT_EQ(reply.outcome, CallOutcome::Unknown);
  EXPECT_EQ(handled, 1);
}

TEST(StreamCall, callsThatWouldFillTheServersMemoryAreRefused)
{
  StreamServerLimits limits;
  limits.maxBufferedBytes = 100;
  const auto server = serve(echo, limits);
  const auto client = newClient();
  const Address& address = server->address();
  EXPECT_EQ(start(*client, address, std::string(101, 'x')).get().outcome,
            CallOutcome::NotSent);
  EXPECT_EQ(start(*client, address, std::string(100, 'x')).get().outcome,
            CallOutcome::Replied);
}

TEST(StreamCall, aConnectionOverTheLimitIsNotSent)
{
  StreamServerLimits limits;
  limits.maxConnections = 1;
  const auto server = serve(echo, limits);
  const auto first = newClient();
  const auto second = newClient();
  const Address& address = server->address();
  EXPECT_EQ(start(*first, address, "a").get().outcome, CallOutcome::Replied);
  EXPECT_EQ(start(*second, address, "b").get().outcome, CallOutcome::NotSent);
  EXPECT_EQ(start(*first, address, "c").get().outcome, CallOutcome::Replied);
}

TEST(StreamCall, garbageEndsItsOwnConnectionOnly)
{
  const auto server = serve(echo);
  const std::string settings = std::string{ raw::kPreface } + raw::settings();
  const std::vector<std::string> garbage{
    "GET / HTTP/1.1\r\n\r\n",
    std::string(100'000, '\xFF'),
    // A header block that no HPACK decoder can read.
    settings + raw::frame(raw::kHeaders, raw::kEndHeaders, 1, "\xFF\xFF\xFF"),
    // DATA on a stream that was never opened.
    settings + raw::frame(raw::kData, raw::kEndStream, 7, "x"),
  };
  for (const std::string& bytes : garbage) {
    RawSocket peer = RawSocket::connectTo(server->address());
    peer.send(bytes);
    peer.readToEnd();
  }
  const auto client = newClient();
  EXPECT_EQ(start(*client, server->address(), "a").get().frame, "re:a");
}

TEST(StreamCall, aSilentConnectionIsClosed)
{
  StreamServerLimits limits;
  limits.idleTimeout = milliseconds{ 10 };
  const auto server = serve(echo, limits);
  RawSocket::connectTo(server->address()).readToEnd();
}

// A peer makes a call and then answers no PING: it is frozen, or the way to it
// is cut. Its connection must not keep the call open for ever, or a stop of
// this process would wait for it.
TEST(StreamCall, aCallerThatFreezesIsGivenUp)
{
  StreamServerLimits limits;
  limits.pingInterval = milliseconds{ 10 };
  limits.pingTimeout = milliseconds{ 10 };
  HeldCalls held;
  const auto server = serve(held.handler(), limits);
  RawSocket peer = RawSocket::connectTo(server->address());
  peer.send(raw::kPreface);
  peer.send(raw::settings() + raw::call(1, "frozen"));
  EXPECT_EQ(held.take(1).front().frame, "frozen");
  peer.readToEnd();
  while (server->openCalls() > 0) {
    std::this_thread::yield();
  }
}

} // namespace
} // namespace poplartrack
