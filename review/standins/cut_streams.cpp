// Two replicas of three stop one stream in twenty in the middle of an event and
// end the response there. The relay drops the partial event and ends the stream
// to the caller as complete, although it may resume it at another replica.

#include <atomic>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "Caller.h"
#include "Deployment.h"

namespace {

using namespace poplartrack::review;

constexpr int kCallers = 6;
constexpr int kStreamsEach = 50;
/** One stream in twenty: 0.05 of the answers. */
constexpr int kStopEvery = 20;
constexpr std::size_t kEvents = 40;

/** What the callers saw. */
struct Seen
{
  std::atomic<int> streams{ 0 };
  std::atomic<int> whole{ 0 };
  /** Ended as complete, but an event is missing or comes twice. */
  std::atomic<int> wrong{ 0 };
};

/** Whether the events of a stream are all there, once and in order. */
bool
isWhole(const std::string& aBody)
{
  std::istringstream lines{ aBody };
  std::string line;
  std::size_t last = 0;
  while (std::getline(lines, line)) {
    if (line.starts_with("id: ") && line != "id: " + std::to_string(++last)) {
      return false;
    }
  }
  return last == kEvents;
}

void
runCaller(int aNumber, Deployment& aDeployment, Record& aRecord, Seen& aSeen)
{
  Caller caller{ "caller" + std::to_string(aNumber),
                 aDeployment.relay().callers(),
                 aRecord };
  for (int i = 0; i < kStreamsEach; ++i) {
    CallerRequest request;
    request.target = "/words/" + std::to_string(kEvents);
    const CallerOutcome outcome = caller.call(request);
    constexpr int kOk = 200;
    if (outcome.status != kOk) {
      continue;
    }
    ++aSeen.streams;
    if (!outcome.complete) {
      continue;
    }
    if (isWhole(outcome.chunkedBody)) {
      ++aSeen.whole;
      continue;
    }
    ++aSeen.wrong;
    aRecord.write("NOT WHOLE " + outcome.requestId + ", its end:\n" +
                  outcome.chunkedBody.substr(outcome.chunkedBody.rfind("id:")));
  }
}

Verdict
run(const CaseArguments& aArguments)
{
  Record record{ aArguments.record };
  ServiceSpec words;
  words.name = "words";
  words.kind = "streaming";
  words.attempts = 2;
  words.stopEvery = aArguments.trouble ? kStopEvery : 0;
  Deployment deployment{ aArguments, { words }, record };
  if (!deployment.waitForTraffic()) {
    record.write("the relay does not become ready");
    return Verdict::NotRun;
  }
  Seen seen;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] { runCaller(i, deployment, record, seen); });
  }
  for (std::thread& thread : callers) {
    thread.join();
  }
  const std::string result =
    "streams: " + std::to_string(seen.streams) +
    ", whole: " + std::to_string(seen.whole) +
    ", ended as complete but not whole: " + std::to_string(seen.wrong);
  record.write(result);
  std::cout << result << '\n';
  if (seen.whole == 0) {
    return Verdict::NotRun;
  }
  return seen.wrong > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int
main(int argc, char** argv)
{
  const auto arguments = parseArguments(argc, argv);
  if (!arguments) {
    std::cerr << "usage: cut_streams PROGRAM TEMPLATE RECORD\n";
    return static_cast<int>(Verdict::NotRun);
  }
  return static_cast<int>(run(*arguments));
}
