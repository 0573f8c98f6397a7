// Replicas of one service read requests slowly. The relay holds the requests
// in memory without a limit, exceeds the memory of its machine and is killed,
// with the requests of the other service that it has in flight.

#include <atomic>
#include <iostream>
#include <thread>
#include <vector>

#include "Caller.h"
#include "Deployment.h"

namespace {

using namespace poplartrack::review;

/** Requests of the slow service: within MaxBodyBytes, five a second from
 * callers that each wait for their answer. */
constexpr std::size_t kBodyBytes = 4'000'000;
constexpr int kUploads = 90;
constexpr std::chrono::milliseconds kUploadInterval{ 200 };
/** Speed at which the slow replicas read each request: 16 s for one. */
constexpr std::size_t kSlowBytesPerSecond = 250'000;

constexpr int kBystanders = 12;
constexpr std::chrono::milliseconds kBystanderWork{ 300 };
constexpr std::size_t kBystanderBody = 600;

/** ContactMs: a relay that was started later does not count. */
constexpr std::chrono::milliseconds kContactTime{ 3'000 };

/** The rule allows this many requests without an answer. */
constexpr int kAllowedLosses = 3;

/** Counts what the callers of the undisturbed service saw. */
struct Bystanders
{
  std::atomic<int> requests{ 0 };
  std::atomic<int> served{ 0 };
  std::atomic<int> lost{ 0 };
};

/** Sends requests of the undisturbed service, one after the other, on a kept
 * connection. */
void
runBystander(int aNumber,
             Deployment& aDeployment,
             Record& aRecord,
             const std::atomic<bool>& aStop,
             Bystanders& aSeen)
{
  Caller caller{ "bystander" + std::to_string(aNumber),
                 aDeployment.relay().callers(),
                 aRecord };
  while (!aStop) {
    CallerRequest request;
    request.target = "/calm/800";
    request.bodyBytes = kBystanderBody;
    request.deadline = std::chrono::milliseconds{ 3'000 };
    const auto sentAt = std::chrono::steady_clock::now();
    const CallerOutcome outcome = caller.call(request);
    ++aSeen.requests;
    aSeen.served += outcome.complete ? 1 : 0;
    const bool inTouch = sentAt - aDeployment.relay().started() >= kContactTime;
    const bool passedOn = aRecord.runsOf(outcome.requestId) > 0;
    const bool closed =
      outcome.end == ReadEnd::Closed || outcome.end == ReadEnd::Reset;
    if (inTouch && outcome.keptConnection && passedOn && !outcome.complete &&
        closed) {
      ++aSeen.lost;
      aRecord.write("LOST " + outcome.requestId);
    }
    if (!outcome.complete) {
      constexpr std::chrono::milliseconds kRetryPause{ 250 };
      std::this_thread::sleep_for(kRetryPause);
    }
  }
}

void
runUpload(int aNumber, Deployment& aDeployment, Record& aRecord)
{
  Caller caller{ "upload" + std::to_string(aNumber),
                 aDeployment.relay().callers(),
                 aRecord };
  CallerRequest request;
  request.target = "/slow/800";
  request.bodyBytes = kBodyBytes;
  caller.call(request);
}

Verdict
run(const CaseArguments& aArguments)
{
  Record record{ aArguments.record };
  ServiceSpec slow;
  slow.name = "slow";
  slow.kind = "non_idempotent";
  slow.replicaReadPace.bytesPerSecond =
    aArguments.trouble ? kSlowBytesPerSecond : 0;
  ServiceSpec calm;
  calm.name = "calm";
  calm.kind = "non_idempotent";
  calm.work = kBystanderWork;
  Deployment deployment{ aArguments, { slow, calm }, record };
  if (!deployment.waitForTraffic()) {
    record.write("the relay does not become ready");
    return Verdict::NotRun;
  }
  std::atomic<bool> stop{ false };
  Bystanders seen;
  std::vector<std::thread> bystanders;
  bystanders.reserve(kBystanders);
  for (int i = 0; i < kBystanders; ++i) {
    bystanders.emplace_back(
      [&, i] { runBystander(i, deployment, record, stop, seen); });
  }
  std::vector<std::thread> uploads;
  uploads.reserve(kUploads);
  for (int i = 0; i < kUploads; ++i) {
    uploads.emplace_back([&, i] { runUpload(i, deployment, record); });
    std::this_thread::sleep_for(kUploadInterval);
  }
  for (std::thread& thread : uploads) {
    thread.join();
  }
  stop = true;
  for (std::thread& thread : bystanders) {
    thread.join();
  }
  const std::string result =
    "requests of the calm service: " + std::to_string(seen.requests) +
    ", lost: " + std::to_string(seen.lost) + "; relay: highest memory " +
    std::to_string(deployment.relay().peakMb()) + " MB, killed for it " +
    std::to_string(deployment.relay().memoryKills()) + " times";
  record.write(result);
  std::cout << result << '\n';
  if (seen.served == 0) {
    return Verdict::NotRun;
  }
  return seen.lost > kAllowedLosses ? Verdict::Broken : Verdict::Held;
}

} // namespace

int
main(int argc, char** argv)
{
  const auto arguments = parseArguments(argc, argv);
  if (!arguments) {
    std::cerr << "usage: slow_replicas PROGRAM TEMPLATE RECORD\n";
    return static_cast<int>(Verdict::NotRun);
  }
  return static_cast<int>(run(*arguments));
}
