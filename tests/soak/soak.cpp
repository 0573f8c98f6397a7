// The fault soak: real relays between real callers and stand-in replicas, with
// faults from outside in an order drawn from a seed.
//   build/soak BUILD [--seed N] [--seeds N] [--seconds N] [--relays N] ...
// Ends with 0 when every promise held in every run, with 1 else.

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <iostream>
#include <map>
#include <thread>

#include <cxxopts.hpp>

#include "soak/SoakAccounts.h"
#include "soak/SoakCaller.h"
#include "soak/SoakClock.h"
#include "soak/SoakJudge.h"
#include "soak/SoakPlan.h"
#include "soak/SoakWorld.h"

namespace {

using namespace poplartrack;
using namespace poplartrack::soak;
using std::chrono::milliseconds;

/** How long every relay may take to serve each kind again once all faults have
 * ended. Placement after a restart takes some seconds. */
constexpr std::int64_t kRecoveryMs = 30'000;

/** Callers that were refused do not ask again at once. */
constexpr milliseconds kAfterRefusal{ 20 };

struct SoakOptions
{
  std::string build;
  std::uint64_t seed = 1;
  milliseconds length{ 8'000 };
  SoakSize size;
  std::size_t faultKinds = kFirstFaults;
  int callers = 6;
  /** Also replicas that answer with bytes that do not end. */
  bool endless = false;
  /** Also sound replicas that are silent for a second, and ones that stop
   * within the head of their answers. */
  bool silences = false;
  /** Also requests with a prompt part that crashes replicas. */
  bool deadlyPart = false;
  /** Also changes of members of the desired state, and requests that some of
   * these let in. */
  bool members = false;
};

/** Pause between two requests with the part that crashes replicas. */
constexpr milliseconds kDeadlyInterval{ 150 };

/** How often replicas that have crashed are looked for. */
constexpr milliseconds kCrashCheck{ 200 };

/** Sends requests with a part that crashes replicas, no two alike, to all
 * relays until told to stop. */
void
sendDeadly(const SoakWorld& aWorld,
           SoakRecord& aRecord,
           const std::atomic<bool>& aStop)
{
  SoakCaller caller{ aRecord, "deadly", 0 };
  caller.setParts("first:20,deadly:20,");
  for (std::size_t turn = 0; !aStop; ++turn) {
    const auto& relays = aWorld.callers();
    caller.call(relays[turn % relays.size()], RequestKind::Stream, "key-1");
    std::this_thread::sleep_for(kDeadlyInterval);
  }
}

/** Waits until a moment, and starts replicas again that crash meanwhile. */
void
waitUntil(SoakWorld& aWorld, std::int64_t aMoment)
{
  while (nowMillis() < aMoment) {
    const std::int64_t left = aMoment - nowMillis();
    std::this_thread::sleep_for(
      std::min(kCrashCheck, milliseconds{ std::max<std::int64_t>(left, 0) }));
    aWorld.restartCrashed();
  }
}

/** Begins and ends the faults of a plan at their times. */
void
play(SoakWorld& aWorld, const std::vector<PlannedFault>& aPlan)
{
  const std::int64_t start = nowMillis();
  std::multimap<std::int64_t, std::pair<PlannedFault, bool>> acts;
  for (const PlannedFault& fault : aPlan) {
    acts.emplace(fault.at.count(), std::pair{ fault, true });
    acts.emplace((fault.at + fault.lasts).count(), std::pair{ fault, false });
  }
  for (const auto& [at, act] : acts) {
    waitUntil(aWorld, start + at);
    if (act.second) {
      aWorld.begin(act.first);
    } else {
      aWorld.end(act.first);
    }
  }
}

/** The most that callers wait before they return as told, so that a run ends.
 */
constexpr milliseconds kMaxReturnDelay{ 2'000 };

/** Threads by account that send while it floods. Its usual callers are two. */
constexpr int kFloodThreads = 16;

/** Pause after each request of a flood. Without it, the callers take most of
 * the machine while requests are refused at once (216,000 in a run). */
constexpr milliseconds kFloodPause{ 5 };

/** Sends streams of one account while it floods, and repeats what is refused
 * whatever it is told. */
void
sendFlood(const SoakWorld& aWorld,
          SoakRecord& aRecord,
          int aNumber,
          const std::atomic<bool>& aStop)
{
  const std::size_t account = aNumber % kFloodAccounts;
  const std::string key{ kAccountKeys.at(account) };
  SoakCaller caller{ aRecord, "flood" + std::to_string(aNumber), 0 };
  for (std::size_t turn = 0; !aStop; ++turn) {
    std::this_thread::sleep_for(kFloodPause);
    const auto& relays = aWorld.callers();
    if (aWorld.floods(account)) {
      caller.call(relays[turn % relays.size()], RequestKind::Stream, key);
    }
  }
}

/** Sends streams one after the other to one relay, as the only caller of its
 * account, which returns when told to. */
void
sendModestly(const Address& aRelay,
             SoakRecord& aRecord,
             const std::atomic<bool>& aStop)
{
  SoakCaller caller{ aRecord, "modest", 0 };
  caller.setOnlyOfAccount();
  while (!aStop) {
    const CallRecord call =
      caller.call(aRelay, RequestKind::Stream, std::string{ kModestKey });
    std::this_thread::sleep_for(
      std::clamp(call.retryAfter, kAfterRefusal, kMaxReturnDelay));
  }
}

/** Waits until every relay serves each kind of request with each key. */
std::vector<std::string>
awaitService(const SoakWorld& aWorld,
             SoakRecord& aRecord,
             const std::string& aName,
             const std::vector<std::string_view>& aKeys)
{
  std::vector<std::string> missing;
  SoakCaller caller{ aRecord, aName, 0 };
  const auto await =
    [&](const Address& aRelay, RequestKind aKind, std::string_view aKey) {
      const std::int64_t latest = nowMillis() + kRecoveryMs;
      while (!caller.call(aRelay, aKind, std::string{ aKey }).whole) {
        if (nowMillis() >= latest) {
          missing.push_back(toText(aRelay) + " does not serve kind " +
                            std::to_string(static_cast<int>(aKind)) + " to " +
                            std::string{ aKey });
          return;
        }
        std::this_thread::sleep_for(milliseconds{ 50 });
      }
    };
  for (const Address& relay : aWorld.callers()) {
    for (const std::string_view key : aKeys) {
      await(relay, RequestKind::Once, key);
      await(relay, RequestKind::Again, key);
      await(relay, RequestKind::Stream, key);
    }
  }
  return missing;
}

/** Returns which one a fault affects. */
std::string
detailOf(const PlannedFault& aFault)
{
  if (aFault.fault == Fault::MemberChanges) {
    return std::string{
      kMemberChangeNames[aFault.who % kMemberChangeNames.size()]
    };
  }
  return std::to_string(aFault.who % 100);
}

/** One run; whether every promise held. */
bool
runOnce(const SoakOptions& aOptions)
{
  const std::string folder =
    (std::filesystem::temp_directory_path() /
     ("soak-" + std::to_string(getpid()) + "-" + std::to_string(aOptions.seed)))
      .string();
  std::filesystem::create_directories(folder);
  SoakRecord record;
  SoakWorld world{ aOptions.build, folder, aOptions.size, record };
  std::vector<std::string> broken =
    awaitService(world, record, "before", { kAccountKeys.front() });
  std::vector<PlannedFault> plan =
    planOf(aOptions.seed, aOptions.length, aOptions.faultKinds);
  const bool contention = aOptions.size.contention;
  if (contention) {
    for (const PlannedFault& fault :
         contentionPlanOf(aOptions.seed, aOptions.length)) {
      plan.push_back(fault);
    }
  }
  std::atomic<bool> stop{ false };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(aOptions.callers));
  for (int i = 0; i < aOptions.callers; ++i) {
    threads.emplace_back([&, i] {
      SoakCaller caller{ record, "c" + std::to_string(i), aOptions.seed + i };
      if (aOptions.members) {
        caller.setOdd();
      }
      std::size_t turn = static_cast<std::size_t>(i);
      const std::size_t account = contention ? turn % kFloodAccounts : 0;
      const std::string key{ account > 0 ? kAccountKeys.at(account) : "" };
      while (!stop) {
        // Most calls go where the last one went, on the same connection.
        turn += turn % 4 == 0 ? 1 : 4;
        const auto& relays = world.callers();
        const CallRecord call =
          caller.call(relays[turn / 4 % relays.size()], key);
        if (!call.whole) {
          // With contention, callers return when told to.
          const milliseconds told = std::min(call.retryAfter, kMaxReturnDelay);
          std::this_thread::sleep_for(contention ? std::max(told, kAfterRefusal)
                                                 : kAfterRefusal);
        }
      }
    });
  }
  if (aOptions.endless) {
    for (const PlannedFault& fault :
         endlessPlanOf(aOptions.seed, aOptions.length)) {
      plan.push_back(fault);
    }
  }
  if (aOptions.silences) {
    for (const PlannedFault& fault :
         silencePlanOf(aOptions.seed, aOptions.length)) {
      plan.push_back(fault);
    }
  }
  if (aOptions.members) {
    for (const PlannedFault& fault :
         memberPlanOf(aOptions.seed, aOptions.length)) {
      plan.push_back(fault);
    }
  }
  if (aOptions.deadlyPart) {
    threads.emplace_back([&] { sendDeadly(world, record, stop); });
  }
  if (contention) {
    for (int i = 0; i < kFloodThreads * static_cast<int>(kFloodAccounts); ++i) {
      threads.emplace_back([&, i] { sendFlood(world, record, i, stop); });
    }
    threads.emplace_back([&] {
      const auto& relays = world.callers();
      sendModestly(relays[aOptions.seed % relays.size()], record, stop);
    });
  }
  play(world, plan);
  stop = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  world.restartCrashed();
  std::vector<std::string_view> keys{ kAccountKeys.front() };
  if (contention) {
    keys.assign(kAccountKeys.begin(), kAccountKeys.end());
  }
  for (std::string& line : awaitService(world, record, "after", keys)) {
    broken.push_back(std::move(line));
  }
  for (std::string& line : world.overMemory()) {
    broken.push_back(std::move(line));
  }
  SoakVerdict verdict = judge(record, world.lines());
  broken.insert(broken.end(), verdict.broken.begin(), verdict.broken.end());
  std::cout << "seed " << aOptions.seed << ": " << plan.size() << " faults, "
            << verdict.calls << " calls, " << verdict.whole << " whole, "
            << verdict.refused << " refused, " << verdict.throughSilence
            << " through a silence, " << verdict.beyondShare
            << " times beyond a share, " << broken.size() << " promises broken"
            << std::endl;
  if (broken.empty()) {
    std::filesystem::remove_all(folder);
    return true;
  }
  for (const PlannedFault& fault : plan) {
    std::cout << "  " << fault.at.count() << " ms to "
              << (fault.at + fault.lasts).count()
              << " ms: " << kFaultNames[static_cast<std::size_t>(fault.fault)]
              << " (" << detailOf(fault) << ")\n";
  }
  for (const std::string& line : broken) {
    std::cout << "  BROKEN " << line << '\n';
  }
  std::cout << "  logs in " << folder << std::endl;
  return false;
}

} // namespace

int
main(int argc, char** argv)
{
  cxxopts::Options options{ "soak", "The fault soak of relays." };
  auto add = options.add_options();
  add("build", "folder of the programs", cxxopts::value<std::string>());
  add("seed", "the first seed", cxxopts::value<int>()->default_value("1"));
  add("seeds", "how many", cxxopts::value<int>()->default_value("1"));
  add("seconds",
      "faults begin within this time",
      cxxopts::value<int>()->default_value("8"));
  add("relays", "relays", cxxopts::value<int>()->default_value("2"));
  add("plain", "plain replicas", cxxopts::value<int>()->default_value("2"));
  add("engines",
      "engine replicas in each of two zones",
      cxxopts::value<int>()->default_value("3"));
  add("callers", "callers", cxxopts::value<int>()->default_value("6"));
  add("deadly-part", "also requests with a part that crashes replicas");
  add("signals", "also faults that replicas and the store announce");
  add("endless", "also replicas that answer with bytes that do not end");
  add("silences",
      "also replicas that are silent for a second, or stop within the head of "
      "an answer; only alone or with --signals");
  add("members",
      "also members of the desired state that are taken out, emptied, raised, "
      "lowered and put back; without --contention");
  add("contention",
      "several accounts, floods, uneven replicas, and relays that make all "
      "decisions under load");
  options.parse_positional({ "build" });
  try {
    const cxxopts::ParseResult line = options.parse(argc, argv);
    SoakOptions run;
    run.build = line["build"].as<std::string>();
    run.length = std::chrono::seconds{ line["seconds"].as<int>() };
    run.size.relays = static_cast<std::size_t>(line["relays"].as<int>());
    run.size.plain = static_cast<std::size_t>(line["plain"].as<int>());
    run.size.engines = static_cast<std::size_t>(line["engines"].as<int>());
    run.callers = line["callers"].as<int>();
    run.size.contention = line.count("contention") > 0;
    run.endless = line.count("endless") > 0;
    run.silences = line.count("silences") > 0;
    run.deadlyPart = line.count("deadly-part") > 0;
    run.members = line.count("members") > 0;
    if (run.silences &&
        (run.endless || run.deadlyPart || run.size.contention)) {
      // Their replicas fail requests that they have taken.
      throw std::runtime_error("--silences with faults that it does not judge");
    }
    if (line.count("signals") > 0) {
      run.faultKinds = kSignalFaults;
    }
    bool held = true;
    const int first = line["seed"].as<int>();
    for (int i = 0; i < line["seeds"].as<int>(); ++i) {
      run.seed =
        static_cast<std::uint64_t>(first) + static_cast<std::uint64_t>(i);
      held = runOnce(run) && held;
    }
    return held ? 0 : 1;
  } catch (const std::exception& problem) {
    std::cerr << "soak: " << problem.what() << '\n';
    return 2;
  }
}
