#include "system/LoadRunner.h"

#include <algorithm>
#include <random>
#include <thread>

#include <nlohmann/json.hpp>

namespace poplartrack::bench {
namespace {

using nlohmann::json;

constexpr Duration kBeyondDeadline = std::chrono::seconds{ 5 };
constexpr std::uint32_t kVocabulary = 256;

TimePoint
now()
{
  return SystemClock{}.now();
}

/** Takes one line of a stream, or a refusal's body. */
void
readLine(CallRecord& aCall, const std::string& aLine)
{
  const json line = json::parse(aLine, nullptr, false);
  if (!line.is_object()) {
    return;
  }
  if (line.contains("token")) {
    aCall.tokens.push_back(line["token"].get<std::uint32_t>());
    aCall.tokenTimes.push_back(now());
  } else if (line.contains("end")) {
    aCall.whole = line["end"].value("tokens", 0U) == aCall.tokens.size() &&
                  aCall.tokens.size() == aCall.wanted;
    aCall.attempts = line["end"].value("attempts", 0U);
  } else if (line.contains("failed")) {
    aCall.kind = line["failed"].value("kind", "failed");
  } else if (line.contains("kind")) {
    aCall.kind = line.value("kind", "refused");
  }
}

/** Intended send times with a fixed seed. */
std::vector<Duration>
sendTimes(const LoadSpec& aSpec)
{
  std::vector<Duration> times;
  std::mt19937_64 random{ aSpec.seed };
  std::exponential_distribution<double> gap{ aSpec.perSecond };
  const bool even = aSpec.arrivals == Arrivals::Even;
  double at = 0;
  const double length =
    std::chrono::duration<double>(aSpec.until - aSpec.from).count();
  while (true) {
    at += even ? 1 / aSpec.perSecond : gap(random);
    if (at >= length) {
      return times;
    }
    times.push_back(aSpec.from + std::chrono::duration_cast<Duration>(
                                   std::chrono::duration<double>{ at }));
  }
}

} // namespace

struct LoadRunner::OpenCall
{
  LoadSpec spec;
  CallRecord record;
  std::string rest;
};

Result<std::unique_ptr<LoadRunner>>
LoadRunner::create(std::vector<std::string> aEntries)
{
  HttpClientLimits limits;
  limits.maxConnections = 16'384;
  limits.maxConnectionsPerHost = 8'192;
  std::unique_ptr<LoadRunner> runner{ new LoadRunner(std::move(aEntries)) };
  for (std::unique_ptr<HttpClient>* one :
       { &runner->streams, &runner->plains }) {
    Result<std::unique_ptr<HttpClient>> client = HttpClient::create(limits);
    if (!client) {
      return client.error();
    }
    *one = std::move(client).value();
  }
  return runner;
}

std::vector<CallRecord>
LoadRunner::run(const std::vector<LoadSpec>& aSpecs, TimePoint aStart)
{
  std::vector<OpenCallPtr> calls;
  for (const LoadSpec& spec : aSpecs) {
    std::mt19937_64 random{ spec.seed + 1 };
    for (const Duration at : sendTimes(spec)) {
      auto call = std::make_shared<OpenCall>();
      call->spec = spec;
      call->record.model = spec.model;
      call->record.wanted = spec.model.empty() ? 0 : spec.shape.tokens;
      call->record.intended = aStart + at;
      call->record.deadline = spec.deadline;
      for (std::uint32_t i = 0; i < spec.shape.prompt; ++i) {
        call->record.prompt.push_back(
          static_cast<std::uint32_t>(random() % kVocabulary));
      }
      calls.push_back(std::move(call));
    }
  }
  std::stable_sort(
    calls.begin(), calls.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne->record.intended < aTwo->record.intended;
    });
  this->open = calls.size();
  std::size_t turn = 0;
  for (const OpenCallPtr& call : calls) {
    std::this_thread::sleep_until(call->record.intended);
    this->send(call, this->entries[turn++ % this->entries.size()]);
  }
  std::unique_lock lock{ this->mutex };
  this->changed.wait(lock, [this] { return this->open == 0; });
  std::vector<CallRecord> records;
  records.reserve(calls.size());
  for (const OpenCallPtr& call : calls) {
    records.push_back(std::move(call->record));
  }
  return records;
}

void
LoadRunner::send(const OpenCallPtr& aCall, const std::string& aEntry)
{
  const LoadSpec& spec = aCall->spec;
  const bool plain = spec.model.empty();
  HttpCall call;
  call.method = "POST";
  call.headers["authorization"] = "Bearer bench:secret";
  call.headers["content-type"] = "application/json";
  call.headers["x-deadline-ms"] = std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(spec.deadline)
      .count());
  call.timeout = spec.deadline + kBeyondDeadline;
  call.url = "http://" + aEntry + "/v1/";
  if (plain) {
    call.url += "services/" + spec.service + "/" + spec.operation;
    call.body = "{}";
  } else {
    call.url += "models/" + spec.model + "/answers";
    call.body = json{
      { "prompt", aCall->record.prompt },
      { "max_tokens", spec.shape.tokens },
      { "stream", true }
    }.dump();
    call.onBytes = [aCall](std::string_view aBytes) {
      for (const char letter : aBytes) {
        if (letter != '\n') {
          aCall->rest += letter;
          continue;
        }
        readLine(aCall->record, aCall->rest);
        aCall->rest.clear();
      }
      return true;
    };
  }
  HttpClient& client = plain ? *this->plains : *this->streams;
  client.send(std::move(call), [this, aCall, plain](const HttpResult& aResult) {
    CallRecord& record = aCall->record;
    record.ended = now();
    readLine(record, plain ? aResult.body : aCall->rest);
    constexpr int kFirstError = 400;
    const bool replied = aResult.outcome == CallOutcome::Replied;
    if (plain) {
      record.whole = replied && aResult.status < kFirstError;
    }
    if (!record.whole && record.kind.empty()) {
      record.kind = replied ? "cut" : "unreached";
    }
    this->noteEnd();
  });
}

void
LoadRunner::noteEnd()
{
  const std::scoped_lock lock{ this->mutex };
  --this->open;
  this->changed.notify_all();
}

} // namespace poplartrack::bench
