#include "standins/lib/UsersReplica.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "platform/Base64.h"
#include "platform/WireNames.h"
#include "poplartrack/retry/PromptParts.h"

namespace poplartrack::standins {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kFailed = 500;
constexpr int kUnavailable = 503;

/** Work of a plain request, and the pause between two events. */
constexpr std::chrono::milliseconds kWork{ 4 };
constexpr std::chrono::milliseconds kEventPause{ 15 };
/** How many times as long work takes while the replica is slow. */
constexpr int kSlowFactor = 8;
/** Time that loading layers takes. */
constexpr std::chrono::milliseconds kLoad{ 100 };

std::int64_t
suspendAwareMillis()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  constexpr std::int64_t kMsPerSecond = 1'000;
  constexpr std::int64_t kNanosPerMs = 1'000'000;
  return now.tv_sec * kMsPerSecond + now.tv_nsec / kNanosPerMs;
}

/** Names of header fields come in lower case. */
std::string
headerOf(const HttpRequest& aRequest, std::string_view aName)
{
  std::string name{ aName };
  for (char& letter : name) {
    letter =
      static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  const auto found = aRequest.headers.find(name);
  return found == aRequest.headers.end() ? std::string{} : found->second;
}

/** What every answer of a run carries. */
HttpReply
stamped(const std::string& aId)
{
  HttpReply reply;
  reply.status = kOk;
  reply.headers[std::string{ wire_names::kStamp }] = "stamp-" + aId;
  reply.headers[std::string{ wire_names::kRequestId }] = aId;
  return reply;
}

} // namespace

std::string
usersAnswer(const std::string& aRequestId)
{
  return "answer to " + aRequestId + ", whole";
}

int
usersEventCount(const std::string& aRequestId)
{
  constexpr int kLeast = 8;
  constexpr std::size_t kSpread = 60;
  return kLeast +
         static_cast<int>(std::hash<std::string>{}(aRequestId) % kSpread);
}

std::string
usersEvent(const std::string& aRequestId, int aNumber)
{
  const std::string number = std::to_string(aNumber);
  return "id: " + number + "\ndata: " + aRequestId + " " + number + "\n\n";
}

UsersReplica::UsersReplica(UsersReplicaSettings aSettings)
  : settings(std::move(aSettings))
{
}

Result<std::unique_ptr<UsersReplica>>
UsersReplica::create(UsersReplicaSettings aSettings)
{
  auto replica =
    std::unique_ptr<UsersReplica>(new UsersReplica(std::move(aSettings)));
  auto http = HttpClient::create(HttpClientLimits{});
  if (!http) {
    return http.error();
  }
  replica->http = std::move(http).value();
  HttpServerLimits limits;
  limits.idleTimeout = std::chrono::seconds{ 4 };
  auto server = HttpServer::create(
    replica->settings.listen,
    [raw = replica.get()](const HttpRequest& aRequest) {
      return raw->answer(aRequest);
    },
    limits);
  if (!server) {
    return server.error();
  }
  replica->server = std::move(server).value();
  return replica;
}

std::string
UsersReplica::entry()
{
  Json entry{ { "Service", this->settings.service },
              { "Address", toText(this->settings.advertised) },
              { "Zone", this->settings.zone },
              { "Version", "1" },
              { "Slots", 64 },
              { "State", "ready" },
              { "Sequence", ++this->sequence } };
  if (!this->settings.kind.empty()) {
    entry["Kind"] = this->settings.kind;
    if (this->layers) {
      entry["Layers"] = { { "From", this->layers->from },
                          { "Target", this->layers->to },
                          { "Version", 1 } };
    }
  }
  return entry.dump();
}

void
UsersReplica::registerSelf()
{
  while (true) {
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + toText(this->settings.store) +
               std::string{ wire_names::kTransactPath };
    call.timeout = std::chrono::seconds{ 1 };
    {
      const std::scoped_lock lock{ this->guard };
      const Json row{ { "Table", wire_names::kReplicaTable },
                      { "part", "" },
                      { "Key", this->settings.id },
                      { "Value", toBase64(this->entry()) } };
      call.body = Json{
        { "Precondition", Json::array() },
        { "Puts", { row } },
        { "Delete", Json::array() }
      }.dump();
    }
    const HttpResult result = this->http->sendAndWait(std::move(call));
    if (result.outcome == CallOutcome::Replied && result.status == kOk) {
      return;
    }
    std::this_thread::sleep_for(kLoad);
  }
}

void
UsersReplica::print(const char* aWhat, const std::string& aRequestId)
{
  std::printf("%s %s %s %lld\n",
              aWhat,
              this->settings.id.c_str(),
              aRequestId.c_str(),
              static_cast<long long>(suspendAwareMillis()));
  std::fflush(stdout);
}

void
UsersReplica::crash(const std::string& aRequestId)
{
  std::this_thread::sleep_for(kEventPause);
  this->print("crashed", aRequestId);
  std::_Exit(kCrashExit);
}

HttpReply
UsersReplica::answer(const HttpRequest& aRequest)
{
  HttpReply reply = this->answerCall(aRequest);
  const std::string id = headerOf(aRequest, wire_names::kRequestId);
  if (this->draining) {
    reply.headers[std::string{ wire_names::kDraining }] = "1";
    if (!id.empty()) {
      this->print("announced", id);
    }
  }
  return reply;
}

HttpReply
UsersReplica::answerCall(const HttpRequest& aRequest)
{
  if (this->rejecting) {
    constexpr double kMsPerSecond = 1'000;
    const std::string id = headerOf(aRequest, wire_names::kRequestId);
    HttpReply reply;
    reply.status = kUnavailable;
    reply.headers[std::string{ wire_names::kNotRun }] = "1";
    reply.headers[std::string{ wire_names::kRequestId }] = id;
    reply.headers["Retry-After"] = std::to_string(
      static_cast<double>(kRequestedBackoff.count()) / kMsPerSecond);
    if (!id.empty()) {
      this->print("rejected", id);
    }
    return reply;
  }
  if (aRequest.path == wire_names::kReportPath) {
    return this->report();
  }
  const std::string expected = headerOf(aRequest, wire_names::kExpectReplica);
  if (!expected.empty() && expected != this->settings.id) {
    HttpReply reply;
    reply.status = kMisdirected;
    reply.headers[std::string{ wire_names::kNotRun }] = "1";
    reply.headers[std::string{ wire_names::kRequestId }] =
      headerOf(aRequest, wire_names::kRequestId);
    return reply;
  }
  if (aRequest.path == wire_names::kOrderPath) {
    return this->takeOrder(aRequest);
  }
  const std::string id = headerOf(aRequest, wire_names::kRequestId);
  std::printf(
    "run %s %lld\n", id.c_str(), static_cast<long long>(suspendAwareMillis()));
  std::fflush(stdout);
  this->print("took", id);
  const std::string parts = headerOf(aRequest, wire_names::kPromptParts);
  const std::vector<std::string_view> shared = sharedPromptParts(parts);
  if (std::find(shared.begin(), shared.end(), kDeadlyPart) != shared.end()) {
    this->crash(id);
  }
  if (this->failing) {
    HttpReply reply = stamped(id);
    reply.status = kFailed;
    return reply;
  }
  const std::string after = headerOf(aRequest, wire_names::kLastEventId);
  const int last = after.empty() ? 0 : std::stoi(after);
  if (this->endless) {
    return this->runEndless(id, last);
  }
  return this->settings.kind.empty() ? this->runPlain(id)
                                     : this->runStream(id, last);
}

HttpReply
UsersReplica::report()
{
  HttpReply reply;
  reply.body = Json{ { "pace", 1 }, { "Stalled", Json::array() } }.dump();
  return reply;
}

HttpReply
UsersReplica::takeOrder(const HttpRequest& aRequest)
{
  HttpReply reply;
  const Json order = Json::parse(aRequest.body, nullptr, false);
  if (!order.is_object() || order.value("Op", "") != "place") {
    // Nothing here can be told another path: it has one part.
    reply.status = order.is_object() ? kAccepted : kBadRequest;
    return reply;
  }
  {
    const std::scoped_lock lock{ this->guard };
    this->layers =
      LayerRange{ order.value("From", 0U), order.value("Target", 0U) };
  }
  std::this_thread::sleep_for(kLoad);
  this->registerSelf();
  reply.status = kAccepted;
  return reply;
}

void
UsersReplica::work(std::chrono::milliseconds aTime) const
{
  std::this_thread::sleep_for(aTime * this->settings.slowdown *
                              (this->slow ? kSlowFactor : 1));
}

HttpReply
UsersReplica::runPlain(const std::string& aId)
{
  this->work(kWork);
  HttpReply reply = stamped(aId);
  reply.body = usersAnswer(aId);
  return reply;
}

HttpReply
UsersReplica::runEndless(const std::string& aId, int aAfter)
{
  constexpr std::size_t kBlockBytes = 16'384;
  HttpReply reply = stamped(aId);
  std::string block(kBlockBytes, 'x');
  if (this->settings.kind.empty()) {
    reply.status = kFailed;
  } else if (std::hash<std::string>{}(aId) % 2 == 0) {
    // One event again and again; else one that does not end.
    block.clear();
    while (block.size() < kBlockBytes) {
      block += usersEvent(aId, aAfter + 1);
    }
  }
  reply.source = [this, block] {
    return BodyChunk{ block,
                      this->endless ? BodyChunk::State::More
                                    : BodyChunk::State::Abort };
  };
  return reply;
}

HttpReply
UsersReplica::runStream(const std::string& aId, int aAfter)
{
  HttpReply reply = stamped(aId);
  reply.headers["Content-Type"] = "text/event-stream";
  const int count = usersEventCount(aId);
  reply.source = [this, aId, count, next = aAfter + 1]() mutable {
    this->work(kEventPause);
    if (next > count) {
      return BodyChunk{ "", BodyChunk::State::Last };
    }
    const int number = next++;
    return BodyChunk{ usersEvent(aId, number),
                      number == count ? BodyChunk::State::Last
                                      : BodyChunk::State::More };
  };
  return reply;
}

} // namespace poplartrack::standins
