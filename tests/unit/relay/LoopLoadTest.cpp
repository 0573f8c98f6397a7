#include "poplartrack/relay/LoopLoad.h"

#include <algorithm>
#include <deque>
#include <map>

#include "RelayWorld.h"

namespace poplartrack {
namespace {

using namespace relaytest;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(LoopLoad, ABusyLoopTurnsNewConnectionsAwayUntilItIsIdleAgain)
{
  LoopLoad load;
  EXPECT_FALSE(load.turnsAway());
  for (int i = 0; i < 100; ++i) {
    load.record(milliseconds{ 1 }, milliseconds{ 9 });
  }
  EXPECT_TRUE(load.turnsAway());
  load.record(seconds{ 1 }, Duration{ 0 });
  EXPECT_FALSE(load.turnsAway());
}

TEST(LoopLoad, OneLongIterationIsNoOverload)
{
  LoopLoad load;
  load.record(seconds{ 1 }, Duration{ 0 });
  load.record(milliseconds{ 1 }, seconds{ 30 });
  EXPECT_FALSE(load.turnsAway());
}

/** A relay on a small machine, as far as its processor time goes. */
struct SmallMachine
{
  const char* name;
  /** Share of a core. */
  double cores;
  /** Requests a second that the whole region sends. */
  double requestsPerSecond;
};

/** Work of a relay on a whole core. */
constexpr Duration kAcceptWork{ 60 };
constexpr Duration kRequestWork{ 400 };
constexpr Duration kEventWork{ 35 };

constexpr int kEventsPerRequest = 70;
constexpr Duration kEventPause{ 40'000 };
constexpr Duration kPrefill{ 250'000 };
/** A stream whose events are later than this has been given up. */
constexpr Duration kPatience{ 2'000'000 };

/** What a flood of new connections comes to. */
struct FloodOutcome
{
  int read = 0;
  int served = 0;
};

/** Plays all new connections of a region at one relay, each with one stream. */
FloodOutcome
playFlood(const SmallMachine& aMachine, bool aTurnsAway)
{
  const auto cost = [&](Duration aWork) {
    return Duration{ static_cast<std::int64_t>(
      static_cast<double>(aWork.count()) / aMachine.cores) };
  };
  constexpr Duration kFlood = seconds{ 8 };
  const Duration interval{ static_cast<std::int64_t>(
    1e6 / aMachine.requestsPerSecond) };
  LoopLoad load;
  FloodOutcome outcome;
  std::multimap<Duration, int> events; // When due, and how many are left.
  Duration now{ 0 };
  Duration nextArrival{ 0 };
  while (nextArrival < kFlood || !events.empty()) {
    Duration next = nextArrival < kFlood ? nextArrival : Duration::max();
    next = events.empty() ? next : std::min(next, events.begin()->first);
    const Duration waited = std::max(next - now, Duration{ 0 });
    now += waited;
    Duration worked{ 0 };
    while (nextArrival <= now && nextArrival < kFlood) {
      worked += cost(kAcceptWork);
      nextArrival += interval;
      if (aTurnsAway && load.turnsAway()) {
        continue;
      }
      worked += cost(kRequestWork);
      ++outcome.read;
      events.emplace(now + kPrefill, kEventsPerRequest);
    }
    while (!events.empty() && events.begin()->first <= now) {
      const auto [due, left] = *events.begin();
      events.erase(events.begin());
      worked += cost(kEventWork);
      if (now - due > kPatience) {
        continue;
      }
      if (left > 1) {
        events.emplace(due + kEventPause, left - 1);
      } else {
        ++outcome.served;
      }
    }
    now += worked;
    load.record(waited, worked);
  }
  return outcome;
}

class NewConnectionsOfARegion : public ::testing::TestWithParam<SmallMachine>
{};

TEST_P(NewConnectionsOfARegion, AreServedIfTheyAreRead)
{
  const FloodOutcome outcome = playFlood(GetParam(), true);
  EXPECT_GT(outcome.read, 0);
  EXPECT_GE(outcome.served * 4, outcome.read * 3)
    << outcome.served << " of " << outcome.read;
}

INSTANTIATE_TEST_SUITE_P(LoopLoad,
                         NewConnectionsOfARegion,
                         ::testing::Values(SmallMachine{ "small", 0.063, 120 },
                                           SmallMachine{ "medium", 0.09, 136 },
                                           SmallMachine{ "usual", 0.19, 70 }),
                         [](const auto& aInfo) { return aInfo.param.name; });

TEST(LoopLoad, ARelayWithoutTimeClosesNewConnectionsUnread)
{
  RelayWorld world;
  RawListener listener;
  // On a busy machine, the relay would lose real time while it waits, and take
  // that for idle time.
  world.useManualClock();
  world.acceptLoad = LoopLoad::kDefaultLimit;
  world.addReplica("one", "plain", listener.address());
  world.start();
  std::atomic<bool> busy{ true };
  std::function<void()> work = [&] {
    world.manualClock.advance(milliseconds{ 20 });
    if (busy) {
      world.loop->post(work);
    }
  };
  world.loop->post(work);
  EXPECT_TRUE(waitFor([&] {
    world.caller().close();
    return world.counter("callers_turned_away_total") > 0;
  }));
  RawSocket turnedAway = world.sendRequest("/again/x", "id-1", "", "content");
  EXPECT_EQ(turnedAway.readToEnd(), "");
  // The log says so once a second.
  EXPECT_TRUE(world.awaitLog("request: event=turned_away"));
  busy = false;
  std::string answer;
  waitFor([&] {
    if (answer.empty()) {
      world.advance(milliseconds{ 100 });
      answer = world.sendRequest("/unknown/", "id-2").readUntil("}\n");
    }
    return !answer.empty();
  });
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 404 ")) << answer;
}

} // namespace
} // namespace poplartrack
