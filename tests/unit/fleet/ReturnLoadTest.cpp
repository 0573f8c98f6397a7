#include <algorithm>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "poplartrack/fleet/ExpectedReturns.h"
#include "poplartrack/fleet/ReturnSchedule.h"
#include "poplartrack/fleet/WaitQueue.h"

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Relays that share one model service, whose capacity is a number of requests
 * a second. Callers that are rejected return once, when they are told to, at a
 * random relay. One status message in five is lost; the others take 400 ms.
 * Simulated time and a fixed seed. */
class ReturnWorld
{
public:
  static constexpr std::size_t kAccounts = 12;

  /** Runs for aTime with this capacity and this number of new requests a
   * second. One account sends as many as all others together. */
  void run(Duration aTime, int aCapacity, int aPerSecond)
  {
    for (const TimePoint end = this->now + aTime; this->now < end;
         this->now += kStep) {
      this->exchange();
      this->owed += aPerSecond / kStepsPerSecond;
      for (; this->owed >= 1; this->owed -= 1) {
        const std::uint64_t account =
          this->below(2) * (1 + this->below(kAccounts - 1));
        this->arrive(
          this->nextId++,
          { account, static_cast<int>(this->below(3)), this->now, {} });
      }
      for (auto next = this->returning.begin();
           next != this->returning.end() && next->first <= this->now;
           next = this->returning.erase(next)) {
        ++this->returned;
        this->arrive(next->second.first, next->second.second);
      }
      // At most one second of capacity is left over from the steps before.
      this->capacity = std::min<double>(
        this->capacity + aCapacity / kStepsPerSecond, aCapacity);
      const std::size_t first = this->below(kRelays);
      for (std::size_t i = 0; i < kRelays; ++i) {
        this->startWaiting(this->relays[(first + i) % kRelays]);
      }
    }
  }

  int returned = 0;
  int recognized = 0;
  int refusedAgain = 0;
  /** Number and waits, from the first arrival on, of the returned requests that
   * were served, by account. */
  std::map<std::uint64_t, std::pair<int, Duration>> waits;

private:
  static constexpr std::size_t kRelays = 6;
  static constexpr std::uint16_t kService = 7;
  static constexpr double kStepsPerSecond = 40;
  static constexpr Duration kStep = milliseconds{ 25 };
  static constexpr Duration kNewWait = milliseconds{ 1'200 };
  static constexpr DelayRange kRange{ milliseconds{ 2'500 }, seconds{ 6 } };

  struct Caller
  {
    std::uint64_t account = 0;
    int urgency = 0;
    TimePoint firstArrival;
    TimePoint givesUpAt;
    bool wasRefused = false;
  };
  struct Relay
  {
    ReturnSchedule schedule;
    ExpectedReturns expected;
    WaitQueue queue;
    std::map<std::uint64_t, Caller> waiting;
    /** Status messages on their way, by arrival. */
    std::multimap<TimePoint, std::pair<ReturnSource, std::vector<ReturnReport>>>
      inbox;
  };

  std::size_t below(std::size_t aBound)
  {
    return std::uniform_int_distribution<std::size_t>{ 0, aBound - 1 }(
      this->random);
  }

  /** Sends the status messages that are due and handles those that arrive. */
  void exchange()
  {
    const bool isDue =
      this->now.time_since_epoch() % milliseconds{ 200 } == Duration{ 0 };
    for (std::size_t i = 0; i < kRelays * kRelays && isDue; ++i) {
      const std::size_t from = i / kRelays;
      if (from != i % kRelays && this->below(5) > 0) {
        this->relays[i % kRelays].inbox.emplace(
          this->now + milliseconds{ 400 },
          std::pair{ ReturnSource{ from + 1, this->now },
                     this->relays[from].expected.recentOwn(this->now, 64) });
      }
    }
    for (Relay& relay : this->relays) {
      relay.schedule.setRelays(kRelays);
      relay.schedule.expire(this->now);
      relay.expected.expire(this->now);
      for (; !relay.inbox.empty() && relay.inbox.begin()->first <= this->now;
           relay.inbox.erase(relay.inbox.begin())) {
        const auto& [source, rows] = relay.inbox.begin()->second;
        for (const auto& row : relay.expected.onPeer(source, rows, this->now)) {
          relay.schedule.onPeerBooking(
            kService, this->now + row.dueIn, this->now);
        }
      }
    }
  }

  void arrive(std::uint32_t aId, Caller aCaller)
  {
    Relay& relay = this->relays[this->below(kRelays)];
    Waiter waiter;
    waiter.request = aId;
    waiter.urgency = aCaller.urgency;
    waiter.returned = relay.expected.take(aId, this->now).has_value();
    if (waiter.returned) {
      ++this->recognized;
      waiter.lastChanceFrom = this->now + kNewWait * 3 / 4;
    } else {
      relay.schedule.onNewRequest(kService, this->now);
    }
    aCaller.givesUpAt =
      this->now + (waiter.returned ? milliseconds{ 1'900 } : kNewWait);
    relay.queue.add(waiter);
    relay.waiting.emplace(aId, aCaller);
  }

  /** Starts what waits at a relay while there is capacity, and refuses what has
   * waited for too long. */
  void startWaiting(Relay& aRelay)
  {
    for (const std::uint64_t id : aRelay.queue.order(this->now)) {
      Caller caller = aRelay.waiting.at(id);
      if (this->capacity >= 1) {
        this->capacity -= 1;
        aRelay.schedule.onEnded(kService, this->now);
        if (caller.wasRefused) {
          auto& [count, wait] = this->waits[caller.account];
          ++count;
          wait += this->now - caller.firstArrival;
        }
      } else if (this->now >= caller.givesUpAt) {
        this->refusedAgain += caller.wasRefused ? 1 : 0;
        if (!std::exchange(caller.wasRefused, true)) {
          const ReturnRequest request{
            kService, caller.account, caller.urgency, this->below(1'000)
          };
          const auto content = static_cast<std::uint32_t>(id);
          const TimePoint due =
            aRelay.schedule.book(request, kRange, this->now).due;
          aRelay.expected.add(content, kService, due, this->now);
          this->returning.emplace(due, std::pair{ content, caller });
        }
      } else {
        continue;
      }
      aRelay.queue.remove(id);
      aRelay.waiting.erase(id);
    }
  }

  std::vector<Relay> relays{ kRelays };
  TimePoint now{ seconds{ 1'000 } };
  std::mt19937 random{ 1 };
  double owed = 0;
  double capacity = 0;
  std::uint32_t nextId = 1;
  std::multimap<TimePoint, std::pair<std::uint32_t, Caller>> returning;
};

/** Capacity and new requests a second; the capacity is gone for 4 s. */
using ReturnLoadTest = ::testing::TestWithParam<std::pair<int, int>>;

/** Guards against callers that return when told and are rejected again, after
 * which they give up, and against an account with many rejected callers that
 * takes the early returns from the others. */
TEST_P(ReturnLoadTest, ReturnsAreServedWhateverTheirAccount)
{
  const auto [capacity, perSecond] = GetParam();
  ReturnWorld world;
  world.run(seconds{ 5 }, capacity, perSecond);
  world.run(seconds{ 4 }, 0, perSecond);
  world.run(seconds{ 30 }, capacity, perSecond);
  EXPECT_GT(world.returned, 100);
  EXPECT_LT(world.refusedAgain * 100, world.returned);
  EXPECT_GE(world.recognized * 100, world.returned * 99);
  int served = 0;
  Duration all{ 0 };
  for (const auto& [account, waits] : world.waits) {
    served += waits.first;
    all += waits.second;
  }
  EXPECT_EQ(world.waits.size(), ReturnWorld::kAccounts);
  for (const auto& [account, waits] : world.waits) {
    EXPECT_LT(waits.second / waits.first, 2 * all / served) << account;
  }
}

INSTANTIATE_TEST_SUITE_P(CapacityAndLoad,
                         ReturnLoadTest,
                         ::testing::Values(std::pair{ 90, 60 },
                                           std::pair{ 90, 80 },
                                           std::pair{ 300, 240 }));

} // namespace
} // namespace poplartrack
