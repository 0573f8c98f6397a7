// Cost of one call between two processes' worth of threads on loopback: over
// StreamClient and StreamServer, and over HttpClient and HttpServer.
//
//   build/stream_calls [seconds per row] [stream | http]
//
// Closed loop: each of N callers sends its next call when the reply is there.
// CPU time is that of the whole process, so it counts both ends.

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "poplartrack/http/HttpClient.h"
#include "poplartrack/http/HttpServer.h"
#include "poplartrack/wire/StreamClient.h"
#include "poplartrack/wire/StreamServer.h"

namespace poplartrack {
namespace {

const Address kLoopback{ "127.0.0.1", 0 };
constexpr Duration kTimeout = std::chrono::seconds{ 30 };

/** Sends one call with this body and reports whether the reply came. */
using SendOne = std::function<void(const std::string& aBody,
                                   std::function<void(bool aReplied)> aDone)>;

Duration
processorTime()
{
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval& aTime) {
    return Duration{ aTime.tv_sec * std::micro::den + aTime.tv_usec };
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

/** N callers in a closed loop until the time is over. */
class ClosedLoop
{
public:
  ClosedLoop(SendOne aSend, std::size_t aBytes, int aCallers)
    : send(std::move(aSend))
    , body(aBytes, 'x')
    , callers(aCallers)
  {
  }

  /** Runs for aTime and prints one row. */
  void run(const char* aName, Duration aTime);

private:
  void next();
  void finish(TimePoint aStart, bool aReplied);

  SendOne send;
  std::string body;
  int callers;
  TimePoint end{};
  std::mutex mutex;
  std::condition_variable idle;
  int running = 0;
  std::size_t failed = 0;
  std::vector<std::int64_t> micros;
};

void
ClosedLoop::next()
{
  const TimePoint start = SystemClock{}.now();
  this->send(this->body,
             [this, start](bool aReplied) { this->finish(start, aReplied); });
}

void
ClosedLoop::finish(TimePoint aStart, bool aReplied)
{
  const TimePoint now = SystemClock{}.now();
  {
    const std::scoped_lock lock{ this->mutex };
    this->micros.push_back((now - aStart).count());
    this->failed += aReplied ? 0 : 1;
    if (now >= this->end) {
      --this->running;
      this->idle.notify_all();
      return;
    }
  }
  this->next();
}

void
ClosedLoop::run(const char* aName, Duration aTime)
{
  const TimePoint start = SystemClock{}.now();
  const Duration busy = processorTime();
  this->end = start + aTime;
  this->running = this->callers;
  for (int i = 0; i < this->callers; ++i) {
    this->next();
  }
  std::unique_lock lock{ this->mutex };
  this->idle.wait(lock, [this] { return this->running == 0; });
  const Duration elapsed = SystemClock{}.now() - start;
  const Duration used = processorTime() - busy;
  std::sort(this->micros.begin(), this->micros.end());
  const std::size_t count = this->micros.size();
  const auto calls = static_cast<double>(count);
  std::printf("%-7s %7zu B %5d callers %9.0f calls/s  p50 %7lld us  p99 %7lld "
              "us  CPU %7.1f us/call  failed %zu\n",
              aName,
              this->body.size(),
              this->callers,
              calls * std::micro::den / static_cast<double>(elapsed.count()),
              static_cast<long long>(this->micros[count / 2]),
              static_cast<long long>(this->micros[count * 99 / 100]),
              static_cast<double>(used.count()) / calls,
              this->failed);
  std::fflush(stdout);
}

struct Case
{
  std::size_t bytes;
  int callers;
};

const std::vector<Case> kCases{
  { 100, 1 },    { 100, 16 },    { 100, 256 },  { 1'000, 1 },
  { 1'000, 16 }, { 1'000, 256 }, { 64'000, 1 }, { 64'000, 16 },
};

void
measureStreams(Duration aTime)
{
  const auto server =
    std::move(
      StreamServer::create(kLoopback,
                           [](std::string aFrame, const Responder& aRespond) {
                             aRespond(std::move(aFrame));
                           },
                           {}))
      .value();
  const auto client = std::move(StreamClient::create({})).value();
  const SendOne send = [&](const std::string& aBody,
                           std::function<void(bool)> aDone) {
    client->call(server->address(),
                 aBody,
                 kTimeout,
                 [done = std::move(aDone)](const CallResult& aResult) {
                   done(aResult.outcome == CallOutcome::Replied);
                 });
  };
  for (const Case& row : kCases) {
    ClosedLoop{ send, row.bytes, row.callers }.run("stream", aTime);
  }
}

void
measureHttp(Duration aTime)
{
  const auto server =
    std::move(HttpServer::create(kLoopback,
                                 [](const HttpRequest& aRequest) {
                                   HttpReply reply;
                                   reply.body = aRequest.body;
                                   return reply;
                                 },
                                 {}))
      .value();
  HttpClientLimits limits;
  limits.maxConnectionsPerHost = limits.maxConnections;
  const auto client = std::move(HttpClient::create(limits)).value();
  const std::string url = "http://" + toText(server->address()) + "/";
  const SendOne send = [&](const std::string& aBody,
                           std::function<void(bool)> aDone) {
    HttpCall call;
    call.method = "POST";
    call.url = url;
    call.body = aBody;
    call.timeout = kTimeout;
    client->send(std::move(call),
                 [done = std::move(aDone)](const HttpResult& aResult) {
                   done(aResult.outcome == CallOutcome::Replied);
                 });
  };
  for (const Case& row : kCases) {
    ClosedLoop{ send, row.bytes, row.callers }.run("http", aTime);
  }
}

} // namespace
} // namespace poplartrack

int
main(int argc, char** argv)
{
  const double seconds = argc > 1 ? std::atof(argv[1]) : 2.0;
  const poplartrack::Duration time{ static_cast<std::int64_t>(
    seconds * std::micro::den) };
  const std::string only = argc > 2 ? argv[2] : "";
  if (only != "http") {
    poplartrack::measureStreams(time);
  }
  if (only != "stream") {
    poplartrack::measureHttp(time);
  }
  return 0;
}
