#include "poplartrack/http/HttpServer.h"

#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

#include <gtest/gtest.h>

#include "harness/RawSocket.h"
#include "poplartrack/http/HttpClient.h"

namespace poplartrack {
namespace {

using harness::RawSocket;

const Address kLoopback{ "127.0.0.1", 0 };

std::unique_ptr<HttpServer>
serve(HttpHandler aHandler, HttpServerLimits aLimits = {})
{
  Result<std::unique_ptr<HttpServer>> server =
    HttpServer::create(kLoopback, std::move(aHandler), aLimits);
  EXPECT_TRUE(server) << describe(server.error());
  return std::move(server).value();
}

std::unique_ptr<HttpClient>
newClient(HttpClientLimits aLimits = {})
{
  return std::move(HttpClient::create(aLimits)).value();
}

HttpCall
callOf(const HttpServer& aServer, const std::string& aTarget)
{
  HttpCall call;
  call.url = "http://" + toText(aServer.address()) + aTarget;
  return call;
}

HttpReply
textReply(std::string aBody)
{
  HttpReply reply;
  reply.body = std::move(aBody);
  return reply;
}

TEST(HttpServer, theHandlerSeesTheRequestAndTheCallerTheReply)
{
  std::promise<HttpRequest> handled;
  const auto server = serve([&handled](const HttpRequest& aRequest) {
    handled.set_value(aRequest);
    HttpReply reply = textReply("made");
    reply.status = 201;
    reply.headers["X-Route"] = "a,b";
    return reply;
  });
  HttpCall call = callOf(*server, "/tables/t%20t/a%2Fb%3A%25?prefix=p%2Fq&n=1");
  call.method = "POST";
  call.headers["X-Account"] = "fjord";
  call.body = std::string(100'000, 'x');
  const HttpResult result = newClient()->sendAndWait(call);

  EXPECT_EQ(result.outcome, CallOutcome::Replied) << result.detail;
  EXPECT_EQ(result.status, 201);
  EXPECT_EQ(result.body, "made");
  EXPECT_EQ(result.headers.at("x-route"), "a,b");
  const HttpRequest seen = handled.get_future().get();
  EXPECT_EQ(seen.method, "POST");
  EXPECT_EQ(seen.path, "/tables/t t/a%2Fb:%25");
  EXPECT_EQ(
    seen.query,
    (std::map<std::string, std::string>{ { "prefix", "p/q" }, { "n", "1" } }));
  EXPECT_EQ(seen.headers.at("x-account"), "fjord");
  EXPECT_EQ(seen.body, call.body);
}

TEST(HttpServer, aBodyOverTheLimitIsAnswered413AndNeverHandled)
{
  std::atomic<int> handled{ 0 };
  HttpServerLimits limits;
  limits.maxBodyBytes = 1000;
  const auto server = serve(
    [&handled](const HttpRequest&) {
      ++handled;
      return textReply("ok");
    },
    limits);
  const auto client = newClient();
  HttpCall call = callOf(*server, "/");
  call.method = "POST";
  call.body = std::string(1001, 'x');
  EXPECT_EQ(client->sendAndWait(call).status, 413);
  EXPECT_EQ(handled, 0);
  call.body.pop_back();
  EXPECT_EQ(client->sendAndWait(call).status, 200);

  // Far over the limit the server stops reading and closes.
  RawSocket flood = RawSocket::connectTo(server->address());
  flood.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n");
  while (flood.send(std::string(4096, 'x'))) {
  }
  EXPECT_EQ(handled, 1);
}

/** Lets a test hand chunks to a streamed reply one at a time. */
class ChunkFeed
{
public:
  void push(BodyChunk aChunk)
  {
    const std::scoped_lock lock{ this->mutex };
    this->chunks.push_back(std::move(aChunk));
    this->changed.notify_all();
  }
  BodyChunk next()
  {
    std::unique_lock lock{ this->mutex };
    this->changed.wait(lock, [this] { return !this->chunks.empty(); });
    BodyChunk chunk = std::move(this->chunks.front());
    this->chunks.erase(this->chunks.begin());
    return chunk;
  }

private:
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<BodyChunk> chunks;
};

HttpHandler
streamFrom(ChunkFeed& aFeed, std::promise<bool>& aFinished)
{
  return [&aFeed, &aFinished](const HttpRequest&) {
    HttpReply reply;
    reply.source = [&aFeed] { return aFeed.next(); };
    reply.finished = [&aFinished](bool aSentWhole) {
      aFinished.set_value(aSentWhole);
    };
    return reply;
  };
}

TEST(HttpServer, aStreamArrivesChunkByChunk)
{
  ChunkFeed feed;
  std::promise<bool> finished;
  const auto server = serve(streamFrom(feed, finished));
  std::string seen;
  HttpCall call = callOf(*server, "/");
  // Each chunk is made only after the caller has the one before: a server
  // that held chunks back would hang here.
  call.onBytes = [&](std::string_view aBytes) {
    seen += aBytes;
    const bool second = seen == "one ";
    feed.push(second ? BodyChunk{ "two ", BodyChunk::State::More }
                     : BodyChunk{ "", BodyChunk::State::Last });
    return true;
  };
  feed.push(BodyChunk{ "one ", BodyChunk::State::More });
  const HttpResult result = newClient()->sendAndWait(call);
  EXPECT_EQ(result.outcome, CallOutcome::Replied) << result.detail;
  EXPECT_EQ(seen, "one two ");
  EXPECT_TRUE(finished.get_future().get());
}

// The caller gets half an answer whose maker then fails. The connection is cut
// without the last chunk, so no HTTP client can take the half for the whole:
// not one on a kept-alive connection and not one that asked for its close.
TEST(HttpServer, anAbortedStreamIsNeverAWholeBody)
{
  for (const std::string connection : { "keep-alive", "close" }) {
    ChunkFeed feed;
    std::promise<bool> finished;
    const auto server = serve(streamFrom(feed, finished));
    feed.push(BodyChunk{ "half", BodyChunk::State::Abort });
    HttpCall call = callOf(*server, "/");
    call.headers["Connection"] = connection;
    call.framing = BodyFraming::Optional;
    const HttpResult result = newClient()->sendAndWait(call);
    EXPECT_EQ(result.outcome, CallOutcome::Unknown);
    EXPECT_FALSE(finished.get_future().get());
  }
}

// Guards against a reply of ours that looks the same when this process crashed.
TEST(HttpServer, everyReplySaysWhereItsBodyEnds)
{
  ChunkFeed feed;
  const auto server = serve([&feed](const HttpRequest& aRequest) {
    HttpReply reply = textReply(aRequest.path == "/empty" ? "" : "whole");
    if (aRequest.path == "/stream") {
      reply.source = [&feed] { return feed.next(); };
    }
    return reply;
  });
  for (const std::string connection : { "keep-alive", "close" }) {
    for (const std::string path : { "/empty", "/whole", "/stream" }) {
      SCOPED_TRACE(path);
      feed.push(BodyChunk{ "whole", BodyChunk::State::Last });
      HttpCall call = callOf(*server, path);
      call.headers["Connection"] = connection;
      call.framing = BodyFraming::Required;
      const HttpResult result = newClient()->sendAndWait(call);
      EXPECT_EQ(result.outcome, CallOutcome::Replied) << result.detail;
    }
  }
}

TEST(HttpServer, aClientThatLeavesMidStreamEndsTheExchange)
{
  ChunkFeed feed;
  std::promise<bool> finished;
  auto server = serve(streamFrom(feed, finished));
  RawSocket client = RawSocket::connectTo(server->address());
  client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  feed.push(BodyChunk{ "one", BodyChunk::State::More });
  client.readUntil("one");
  client.close();
  std::future<bool> end = finished.get_future();
  while (end.wait_for(std::chrono::seconds{ 0 }) != std::future_status::ready) {
    feed.push(BodyChunk{ std::string(1000, 'x'), BodyChunk::State::More });
    std::this_thread::yield();
  }
  EXPECT_FALSE(end.get());
  server.reset();
}

/** Returns when the server has cut two silent clients one after the other, so
 * that whoever waited meanwhile is surely past the idle timeout. */
void
outlastIdleTimeout(const Address& aServer)
{
  for (int i = 0; i < 2; ++i) {
    RawSocket silent = RawSocket::connectTo(aServer);
    silent.send("GET / HT");
    silent.readToEnd();
  }
}

// A client that says nothing is closed after the idle timeout, so it cannot
// hold a thread for ever. A handler that thinks for longer than that, or a
// stream with a longer gap between two tokens, is no silent client: the
// library takes it for one, and without a pause of its timer the stream is cut.
TEST(HttpServer, silenceIsCutButSlowAnswersAreNot)
{
  HttpServerLimits limits;
  limits.idleTimeout = std::chrono::seconds{ 1 };
  std::promise<void> handling;
  std::promise<void> streaming;
  ChunkFeed gates;
  ChunkFeed chunks;
  const auto server = serve(
    [&](const HttpRequest&) {
      handling.set_value();
      gates.next();
      HttpReply reply;
      reply.source = [&chunks] { return chunks.next(); };
      return reply;
    },
    limits);
  std::string seen;
  std::future<HttpResult> answer = std::async(std::launch::async, [&] {
    HttpCall call = callOf(*server, "/");
    call.onBytes = [&](std::string_view aBytes) {
      if (seen.empty()) {
        streaming.set_value();
      }
      seen += aBytes;
      return true;
    };
    return newClient()->sendAndWait(call);
  });
  handling.get_future().wait();
  outlastIdleTimeout(server->address());
  gates.push(BodyChunk{});
  chunks.push(BodyChunk{ "slow ", BodyChunk::State::More });
  streaming.get_future().wait();
  outlastIdleTimeout(server->address());
  chunks.push(BodyChunk{ "answer", BodyChunk::State::Last });
  const HttpResult result = answer.get();
  EXPECT_EQ(result.outcome, CallOutcome::Replied) << result.detail;
  EXPECT_EQ(seen, "slow answer");
}

TEST(HttpServer, stopListeningRefusesNewCallersAndAnswersOpenOnes)
{
  std::promise<void> started;
  std::promise<void> stopped;
  const auto server = serve([&](const HttpRequest&) {
    started.set_value();
    stopped.get_future().wait();
    return textReply("whole");
  });
  std::future<HttpResult> answer = std::async(std::launch::async, [&] {
    return newClient()->sendAndWait(callOf(*server, "/"));
  });
  started.get_future().wait();
  EXPECT_EQ(server->openRequests(), 1U);
  server->stopListening();
  EXPECT_EQ(newClient()->sendAndWait(callOf(*server, "/")).outcome,
            CallOutcome::NotSent);
  stopped.set_value();
  const HttpResult result = answer.get();
  EXPECT_EQ(result.body, "whole");
  EXPECT_EQ(result.headers.at("connection"), "close");
}

TEST(HttpServer, aTakenPortIsAnError)
{
  const auto first =
    serve([](const HttpRequest&) { return textReply("first"); });
  const Result<std::unique_ptr<HttpServer>> second = HttpServer::create(
    first->address(),
    [](const HttpRequest&) { return textReply("second"); },
    HttpServerLimits{});
  ASSERT_FALSE(second);
  EXPECT_EQ(second.error().kind, ErrorKind::Network);
}

} // namespace
} // namespace poplartrack
