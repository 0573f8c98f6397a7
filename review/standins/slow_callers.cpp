// Callers read their answers slowly. The relay has received the whole answers
// and still holds most of their bytes when its connections to the callers are
// closed: by its exit after SIGTERM, or while nothing else happens.

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "Caller.h"
#include "Deployment.h"

namespace {

using namespace poplartrack::review;

/** Callers that ask for answers of the same size and read at the same pace. */
struct CallerGroup
{
  std::string name;
  int callers = 0;
  std::size_t answerBytes = 0;
  ReadPace pace;
  int receiveBuffer = kReceiveBufferBytes;
};

/** A variant of the case. */
struct Variant
{
  std::vector<CallerGroup> groups;
  /** Answers cut off that the rule allows. */
  int allowedLosses = 0;
};

constexpr std::chrono::milliseconds kStopAfter{ 1'000 };

/** Returns the largest send buffer that the kernel gives a connection. */
std::size_t
largestSendBuffer()
{
  std::ifstream stream{ "/proc/sys/net/ipv4/tcp_wmem" };
  std::size_t least = 0;
  std::size_t usual = 0;
  std::size_t largest = 0;
  stream >> least >> usual >> largest;
  return largest;
}

/** The callers read slowly until 4 s after SIGTERM, which is half of the grace
 * time, and then as fast as they can. */
Variant
stopVariant()
{
  constexpr ReadPace kPace{ 50'000, std::chrono::milliseconds{ 5'000 } };
  // More than the kernel holds for a connection: those bytes outlive the relay.
  constexpr std::size_t kMinAnswer = 4'000'000;
  constexpr std::size_t kMargin = 1'000'000;
  const std::size_t answer =
    std::max(kMinAnswer, largestSendBuffer() + kMargin);
  return { { { "caller", 4, answer, kPace } }, 0 };
}

/** The callers read slowly for 16.5 s, and then as fast as they can: they have
 * the whole answer before their deadline of 20 s. */
Variant
longVariant()
{
  constexpr std::chrono::milliseconds kSlowFor{ 16'500 };
  constexpr int kLargeBuffer = 512 * 1'024;
  return {
    { { "phone", 4, 5'000'000, { 60'000, kSlowFor } },
      { "desktop", 4, 16'000'000, { 400'000, kSlowFor }, kLargeBuffer } },
    3
  };
}

/** How many callers have a kept connection or do not get one, and how many get
 * no answer for another reason than a cut. */
struct Progress
{
  std::atomic<int> ready{ 0 };
  std::atomic<int> notServed{ 0 };
};

/** Reads one answer at the pace of its group on a kept connection. Returns
 * whether it was cut off. */
bool
runCaller(int aNumber,
          const CallerGroup& aGroup,
          Deployment& aDeployment,
          Record& aRecord,
          Progress& aProgress)
{
  Caller caller{ aGroup.name + std::to_string(aNumber),
                 aDeployment.relay().callers(),
                 aRecord,
                 aGroup.receiveBuffer };
  const bool kept = caller.openKept("/papers/800");
  ++aProgress.ready;
  if (!kept) {
    ++aProgress.notServed;
    return false;
  }
  CallerRequest request;
  request.target = "/papers/" + std::to_string(aGroup.answerBytes);
  request.readPace = aGroup.pace;
  const CallerOutcome outcome = caller.call(request);
  const bool passedOn = aRecord.runsOf(outcome.requestId) > 0;
  const bool closed =
    outcome.end == ReadEnd::Closed || outcome.end == ReadEnd::Reset;
  const bool lost = passedOn && !outcome.complete && closed;
  if (!lost && !outcome.complete) {
    ++aProgress.notServed;
  }
  if (lost) {
    aRecord.write("LOST " + outcome.requestId);
  }
  return lost;
}

Verdict
run(const CaseArguments& aArguments, bool aStops)
{
  Record record{ aArguments.record };
  ServiceSpec papers;
  papers.name = "papers";
  papers.attempts = 2;
  Deployment deployment{ aArguments, { papers }, record };
  if (!deployment.waitForTraffic()) {
    record.write("the relay does not become ready");
    return Verdict::NotRun;
  }
  Variant variant = aStops ? stopVariant() : longVariant();
  Progress progress;
  std::atomic<int> lost{ 0 };
  int all = 0;
  std::vector<std::thread> callers;
  for (CallerGroup& group : variant.groups) {
    if (!aStops && !aArguments.trouble) {
      group.pace = ReadPace{};
    }
    for (int i = 0; i < group.callers; ++i) {
      ++all;
      callers.emplace_back([&, i] {
        if (runCaller(i, group, deployment, record, progress)) {
          ++lost;
        }
      });
    }
  }
  constexpr std::chrono::milliseconds kPause{ 10 };
  while (progress.ready < all) {
    std::this_thread::sleep_for(kPause);
  }
  if (aStops && aArguments.trouble) {
    std::this_thread::sleep_for(kStopAfter);
    deployment.relay().stop();
  }
  for (std::thread& thread : callers) {
    thread.join();
  }
  const std::string result =
    "answers that were cut off: " + std::to_string(lost) + " of " +
    std::to_string(all) + "; relay: highest memory " +
    std::to_string(deployment.relay().peakMb()) + " MB, killed for it " +
    std::to_string(deployment.relay().memoryKills()) + " times";
  record.write(result);
  std::cout << result << '\n';
  if (progress.notServed > 0) {
    return Verdict::NotRun;
  }
  return lost > variant.allowedLosses ? Verdict::Broken : Verdict::Held;
}

} // namespace

int
main(int argc, char** argv)
{
  // The first word names the variant, the others are those of every case.
  const std::string_view variant = argc > 1 ? argv[1] : "";
  const auto arguments = parseArguments(argc - 1, argv + 1);
  if (!arguments || (variant != "stop" && variant != "long")) {
    std::cerr << "usage: slow_callers stop|long PROGRAM TEMPLATE RECORD\n";
    return static_cast<int>(Verdict::NotRun);
  }
  return static_cast<int>(run(*arguments, variant == "stop"));
}
