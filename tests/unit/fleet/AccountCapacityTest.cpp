#include "poplartrack/fleet/AccountCapacity.h"

#include <cmath>
#include <limits>
#include <map>
#include <utility>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "AccountWorld.h"

namespace poplartrack {
namespace {

using fleettest::AccountWorld;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ seconds{ 100 } };

TEST(AccountCapacity, WhileThereIsCapacityNothingIsBoundedOrSent)
{
  // Guards against shares that hold requests back while there is capacity.
  AccountCapacity capacity;
  capacity.addUse("m", 1, 9'000);
  capacity.addUse("m", 2, 10);
  EXPECT_TRUE(capacity.accountShareOf("m", 1, kStart).within);
  EXPECT_TRUE(capacity.rows(32, kStart).empty());
  EXPECT_EQ(capacity.contending(kStart), 0U);
}

TEST(AccountCapacity, AnAccountBeyondItsShareWaitsWhileAnotherIsBelow)
{
  AccountCapacity capacity;
  capacity.addUse("m", 1, 9'000);
  capacity.addUse("m", 2, 1'000);
  capacity.addWaiting("m", 2, 8'000);
  const AccountShare heavy = capacity.accountShareOf("m", 1, kStart);
  EXPECT_FALSE(heavy.within);
  EXPECT_DOUBLE_EQ(heavy.inUse, 9'000);
  EXPECT_DOUBLE_EQ(heavy.share, 5'000);
  EXPECT_TRUE(capacity.accountShareOf("m", 2, kStart).within);
  EXPECT_TRUE(capacity.accountShareOf("m", 3, kStart).within);
}

TEST(AccountCapacity, AccountsThatUseTheirExactSharesMayStart)
{
  // Guards against a deadlock in which no account may start a request and the
  // capacity falls with each one that ends.
  AccountCapacity capacity;
  for (const std::uint64_t account : { 1U, 2U, 3U }) {
    capacity.addUse("m", account, 1'000.1 / 3);
    capacity.addWaiting("m", account, 500);
  }
  EXPECT_TRUE(capacity.accountShareOf("m", 1, kStart).within);
}

TEST(AccountCapacity, ARefusalShowsAShortageForOneSecondHereAndAtPeers)
{
  AccountCapacity capacity;
  AccountCapacity peer;
  capacity.addUse("m", 1, 5'000);
  capacity.onRefused("m", 2, kStart);
  EXPECT_TRUE(capacity.isShort("m", kStart + milliseconds{ 999 }));
  EXPECT_FALSE(capacity.isShort("m", kStart + milliseconds{ 1'001 }));
  peer.onPeer("a", capacity.rows(32, kStart), kStart);
  EXPECT_TRUE(peer.isShort("m", kStart));
  // A relay that is short only by the report of another one must not keep that
  // one short in turn.
  peer.addUse("m", 1, 100);
  capacity.onPeer("b", peer.rows(32, kStart), kStart);
  EXPECT_FALSE(capacity.isShort("m", kStart + milliseconds{ 1'001 }));
}

TEST(AccountCapacity, UseOfAPeerCountsUntilItEndsOrRestarts)
{
  // Guards against use that stays counted after its relay has ended.
  AccountCapacity capacity;
  capacity.addUse("m", 1, 100);
  capacity.addWaiting("m", 2, 100);
  capacity.onPeer("a", { { "m", 1, 900, 50 } }, kStart);
  EXPECT_DOUBLE_EQ(capacity.accountShareOf("m", 1, kStart).inUse, 1'000);
  capacity.onPeer("a", { { "m", 1, 10, 50 } }, kStart);
  EXPECT_DOUBLE_EQ(capacity.accountShareOf("m", 1, kStart).inUse, 110);
  capacity.expire(kStart + seconds{ 3 });
  EXPECT_DOUBLE_EQ(capacity.accountShareOf("m", 1, kStart).inUse, 100);
  capacity.removeUse("m", 1, 100);
  capacity.removeWaiting("m", 2, 100);
  capacity.expire(kStart + seconds{ 3 });
  EXPECT_EQ(capacity.entries(), 0U);
}

TEST(AccountCapacity, RelaysTakePartsOfAShareByTheirDemand)
{
  // Guards against relays that each take all that is left of a share, before
  // they know what the others have started.
  const auto within = [](double aInUse) {
    AccountCapacity capacity;
    capacity.addUse("m", 1, aInUse);
    capacity.addWaiting("m", 1, 1'000 - aInUse);
    capacity.onPeer(
      "a", { { "m", 1, 0, 9'000 }, { "m", 2, 3'500, 5'000 } }, kStart);
    return capacity.accountShareOf("m", 1, kStart).within;
  };
  EXPECT_TRUE(within(100));
  EXPECT_FALSE(within(500));
}

TEST(AccountCapacity, TenThousandAccountsAreReportedInThirtyTwoRows)
{
  // Guards against messages and memory that grow with the accounts.
  constexpr std::uint64_t kAccounts = 10'000;
  AccountCapacity capacity;
  double total = 0;
  for (std::uint64_t account = 1; account <= kAccounts; ++account) {
    capacity.addUse("m", account, static_cast<double>(account));
    total += static_cast<double>(account);
  }
  capacity.addWaiting("m", 1, 1);
  const std::vector<AccountUse> rows = capacity.rows(32, kStart);
  ASSERT_EQ(rows.size(), 32U);
  EXPECT_EQ(rows.front().account, kAccounts);
  EXPECT_EQ(rows.back().account, 0U);
  double reported = 0;
  for (const AccountUse& row : rows) {
    reported += row.inUse;
  }
  EXPECT_DOUBLE_EQ(reported, total);

  AccountCapacity peer;
  peer.addWaiting("m", 7, 500);
  peer.onPeer("a", rows, kStart);
  EXPECT_EQ(peer.entries(), 33U);
  // The accounts without a row are about 10,000 / 2 full-sized ones. Counted as
  // one account, they would leave the largest one a share of their sum.
  EXPECT_LT(peer.accountShareOf("m", kAccounts, kStart).share, 2.0 * kAccounts);
  for (std::uint64_t account = 1; account <= kAccounts; ++account) {
    capacity.removeUse("m", account, static_cast<double>(account));
  }
  EXPECT_EQ(capacity.entries(), 1U);
}

TEST(AccountCapacity, CapacityThatNobodyWithinItsShareTakesIsUsed)
{
  // Guards against a service that drains because the only account within its
  // share has requests that fit nowhere.
  AccountCapacity capacity;
  TimePoint now = kStart;
  EXPECT_FALSE(capacity.onProbe("m", true, now));
  EXPECT_FALSE(capacity.mayProbe("m", now + milliseconds{ 10 }));
  for (int i = 0; i < 9; ++i) {
    now += milliseconds{ 25 };
    ASSERT_TRUE(capacity.mayProbe("m", now));
    EXPECT_FALSE(capacity.onProbe("m", true, now));
  }
  EXPECT_TRUE(capacity.onProbe("m", true, now += milliseconds{ 25 }));
  EXPECT_FALSE(capacity.onProbe("m", false, now += milliseconds{ 25 }));
  EXPECT_FALSE(capacity.onProbe("m", true, now += milliseconds{ 25 }));
}

/** Under lasting contention, the use of an account exceeds an even part of what
 * is in use at most by the request that starts, by what other relays have
 * started for it since they sent the messages that the relay decides by, and by
 * its part of what has ended since then.
 * @param aLearned Parts are in proportion to aWeights, which relays learned
 * from usual use. The floor of shares then adds up to 0.02 of the capacity. */
void
checkParts(const std::vector<double>& aWeights, bool aLearned)
{
  const std::size_t relays = *rc::gen::inRange<std::size_t>(2, 6);
  const std::uint64_t accounts = *rc::gen::inRange<std::uint64_t>(2, 7);
  const unsigned lossPercent = *rc::gen::inRange(0U, 100U);
  const unsigned maxDelayMs = *rc::gen::inRange(1U, 600U);
  AccountWorld world{ relays };
  world.random.seed(*rc::gen::arbitrary<std::uint32_t>());
  world.capacity = 100'000;
  world.runTime = seconds{ 1 };
  world.delay = [&] {
    const bool lost = world.random() % 100 < lossPercent;
    return Duration{ milliseconds{
      lost ? -1 : 1 + static_cast<int>(world.random() % maxDelayMs) } };
  };
  // When the received messages were sent, by receiver and sender.
  std::map<std::pair<std::size_t, std::size_t>, std::vector<TimePoint>> heard;
  world.onDelivered = [&](const AccountWorld::Message& aMessage) {
    heard[{ aMessage.to, aMessage.from }].push_back(aMessage.sentAt);
  };
  /** Returns since when a relay may not know what another one did. Up to four
   * messages arrive while one division is in use. */
  const auto unknownSince = [&](std::size_t aTo, std::size_t aFrom) {
    const std::vector<TimePoint>& sent = heard[{ aTo, aFrom }];
    const bool known =
      sent.size() >= 5 && world.now - sent.back() < milliseconds{ 1'300 };
    return aTo == aFrom ? world.now - milliseconds{ 50 }
           : known      ? *std::min_element(sent.end() - 5, sent.end())
                        : TimePoint{};
  };
  double sum = 0;
  for (std::uint64_t account = 1; account <= accounts; ++account) {
    sum += aWeights[account];
    for (std::size_t relay = 0; aLearned && relay < relays; ++relay) {
      const double tokens = std::pow(10, 2 + relay % 3) * aWeights[account];
      world.accounts[relay].onAccepted("m", account, tokens, world.now);
    }
  }
  std::vector<AccountWorld::Request> starts;
  std::vector<AccountWorld::Request> ends;
  world.onEnd = [&](AccountWorld::Request aRequest) {
    aRequest.since = world.now;
    ends.push_back(aRequest);
  };
  bool held = true;
  world.onStart = [&](const AccountWorld::Request& aRequest,
                      const AccountShare& aShare) {
    std::vector<TimePoint> since;
    for (std::size_t relay = 0; relay < relays; ++relay) {
      since.push_back(unknownSince(aRequest.relay, relay));
    }
    const auto unknown = [&](const AccountWorld::Request& aOther) {
      return aOther.since >= since[aOther.relay];
    };
    double total = world.inUse;
    for (const AccountWorld::Request& end : ends) {
      total += unknown(end) ? end.tokens : 0;
    }
    const double part = aWeights[aRequest.account] / sum;
    double most = total * (part + (aLearned ? 0.02 : 0)) + aRequest.tokens + 1;
    for (const AccountWorld::Request& start : starts) {
      const bool counts = start.relay != aRequest.relay &&
                          start.account == aRequest.account && unknown(start);
      most += counts ? start.tokens : 0;
    }
    double use = 0;
    for (const AccountWorld::Request& other : world.running) {
      use += other.account == aRequest.account ? other.tokens : 0;
    }
    starts.push_back(aRequest);
    held = held && (!aShare.within || use <= most);
  };
  for (std::uint64_t round = 0; round < 160; ++round) {
    for (std::size_t i = 0; i < relays * accounts; ++i) {
      // By weight, so that none asks for less than its share.
      const std::uint64_t account = 1 + i / relays % accounts;
      for (int asked = 0; asked < aWeights[account]; ++asked) {
        world.arrive(i % relays,
                     account,
                     static_cast<double>(500 + world.random() % 1'500));
      }
    }
    world.round();
    RC_ASSERT(held);
  }
}

RC_GTEST_PROP(AccountCapacity, AShareIsPassedByAtMostWhatIsNotKnownYet, ())
{
  checkParts(std::vector<double>(7, 1), false);
}

RC_GTEST_PROP(AccountCapacity, AWeightedShareIsPassedByAtMostWhatIsNotKnown, ())
{
  checkParts(*rc::gen::container<std::vector<double>>(
               7, rc::gen::element(1.0, 2.0, 4.0, 8.0)),
             true);
}

/** Returns a relay with accounts that usually ask for 100, 200 and 400. */
AccountCapacity
contended()
{
  AccountCapacity capacity;
  for (const std::uint64_t account : { 1U, 2U, 3U }) {
    capacity.onAccepted("m", account, 500 << account, kStart);
    capacity.addUse("m", account, 7'000);
  }
  capacity.addWaiting("m", 3, 50'000);
  return capacity;
}

TEST(AccountCapacity, SharesAreMeasuredByTheUsualUseOfLiveRelays)
{
  // Guards against weights by what one relay happens to receive, and against
  // those of a relay that is gone or cut off.
  AccountCapacity capacity = contended();
  EXPECT_DOUBLE_EQ(capacity.accountShareOf("m", 3, kStart).share, 12'000);
  EXPECT_DOUBLE_EQ(capacity.accountShareOf("m", 4, kStart).weight, 1);
  capacity.onPeer(
    "a", { { "m", 1, 0, 0, 900 }, { "m", 2, 0, 0, 300 } }, kStart);
  // A division is used for 50 ms, with its weights.
  EXPECT_DOUBLE_EQ(capacity.accountShareOf("m", 1, kStart).weight, 0.5);
  const TimePoint next = kStart + milliseconds{ 50 };
  EXPECT_DOUBLE_EQ(capacity.accountShareOf("m", 1, next).weight, 2);
  const TimePoint later = kStart + seconds{ 3 };
  capacity.expire(later);
  EXPECT_DOUBLE_EQ(capacity.accountShareOf("m", 1, later).weight, 0.5);
}

TEST(AccountCapacity, ARelayThatStartsInAShortageUsesWhatPeersReport)
{
  AccountCapacity started;
  started.addWaiting("m", 1, 500);
  started.onAccepted("m", 1, 90'000, kStart);
  EXPECT_DOUBLE_EQ(started.rows(32, kStart).at(0).usual, 0);
  started.onPeer("a", contended().rows(32, kStart), kStart);
  EXPECT_DOUBLE_EQ(started.accountShareOf("m", 1, kStart).weight, 0.5);
}

TEST(AccountCapacity, AccountsWithoutRequestsAreReportedLast)
{
  // Guards against weights that change with the relays at which an account has
  // a request, and against rows that are displaced by accounts without any.
  AccountCapacity capacity;
  for (std::uint32_t account = 1; account <= 40; ++account) {
    capacity.onAccepted("m", account, 1'236.0 * account, kStart);
  }
  capacity.addWaiting("m", 1, 100);
  const std::vector<AccountUse> rows = capacity.rows(32, kStart);
  ASSERT_EQ(rows.size(), 31U);
  EXPECT_EQ(rows[0].account, 1U);
  EXPECT_DOUBLE_EQ(rows[1].usual, 4'900);
  EXPECT_EQ(capacity.contending(kStart), 1U);
}

TEST(AccountCapacity, BadReportsOfUsualUseHaveBoundedEffect)
{
  // Guards against a faulty peer that gives one account all capacity for good.
  const double infinite = std::numeric_limits<double>::infinity();
  AccountCapacity capacity = contended();
  TimePoint now = kStart;
  for (const double usual : { 4.2e9, infinite, -infinite, 0.0, -900.0 }) {
    capacity.onPeer(
      "a", { { "m", 1, 0, 0, usual }, { "m", 0, 9, 0, usual } }, now);
    EXPECT_LE(capacity.accountShareOf("m", 1, now).weight, 8);
    EXPECT_LE(capacity.accountShareOf("m", 3, now).weight, 2);
    capacity.expire(now += seconds{ 3 });
    EXPECT_DOUBLE_EQ(capacity.accountShareOf("m", 1, now).weight, 0.5);
    now += seconds{ 1 };
  }
}

constexpr std::size_t kAccounts = 24;

/** What became of the requests of a minute. */
struct Served
{
  /** By account. */
  std::vector<double> arrived = std::vector<double>(kAccounts);
  std::vector<double> started = std::vector<double>(kAccounts);
  double peak = 0;
};

/** Runs six relays for 70 s; aRates are requests a second by account. aUsual:
 * those of the two minutes before, with capacity for all. */
Served
runLoad(const std::vector<double>& aRates,
        double aCapacity,
        bool aShares,
        const std::vector<double>& aUsual = {})
{
  AccountWorld world{ 6 };
  world.learns = !aUsual.empty();
  world.capacity = aCapacity;
  world.shares = aShares;
  Served served;
  const TimePoint learnedAt = world.now + seconds{ world.learns ? 120 : 0 };
  const TimePoint countedFrom = learnedAt + seconds{ 10 };
  world.onStart = [&](const AccountWorld::Request& aRequest,
                      const AccountShare&) {
    served.started[aRequest.account - 1] += world.now >= countedFrom ? 1 : 0;
  };
  // Each account has its own arrivals, the same in each run.
  std::vector<std::mt19937> arrivals;
  std::vector<TimePoint> next(kAccounts, world.now);
  for (std::uint32_t i = 0; i < kAccounts; ++i) {
    arrivals.emplace_back(i);
  }
  while (world.now < countedFrom + seconds{ 60 }) {
    const bool learning = world.now < learnedAt;
    world.capacity = learning ? 1e12 : aCapacity;
    for (std::size_t i = 0; i < kAccounts; ++i) {
      const double rate = learning ? aUsual[i] : aRates[i];
      next[i] = rate > 0 ? next[i] : world.now;
      while (rate > 0 && next[i] <= world.now) {
        std::uniform_real_distribution<double> spread{ 0.5e6, 1.5e6 };
        next[i] +=
          Duration{ static_cast<std::int64_t>(spread(arrivals[i]) / rate) };
        const std::size_t relay = arrivals[i]() % 6;
        world.arrive(
          relay, i + 1, 600 + static_cast<double>(arrivals[i]() % 400));
        served.arrived[i] += world.now >= countedFrom ? 1 : 0;
      }
    }
    world.round();
    served.peak = learning ? 0 : std::max(served.peak, world.inUse);
  }
  return served;
}

TEST(AccountCapacityLoad, TenTimesTheLoadOfOneAccountCostsTheOthersLittle)
{
  // Guards against one account that takes the capacity which the others use.
  std::vector<double> rates(kAccounts, 4);
  const Served usual = runLoad(rates, 1e12, true);
  rates[0] *= 10;
  const Served with = runLoad(rates, usual.peak, true);
  const Served without = runLoad(rates, usual.peak, false);
  double least = 1;
  double leastWithout = 1;
  for (std::size_t i = 1; i < kAccounts; ++i) {
    least = std::min(least, with.started[i] / usual.started[i]);
    leastWithout =
      std::min(leastWithout, without.started[i] / usual.started[i]);
  }
  EXPECT_GE(least, 0.97);
  // Without shares, the load shows the failure that they prevent.
  EXPECT_LT(leastWithout, 0.9);
}

TEST(AccountCapacityLoad, OverloadOfAllLeavesNoneBelowAQuarterOfTheMean)
{
  // Guards against accounts that are starved while all ask for too much, and
  // against shares that leave capacity unused.
  std::vector<double> rates;
  for (std::size_t i = 0; i < kAccounts; ++i) {
    rates.push_back(1.0 + 0.3 * static_cast<double>(i));
  }
  const Served usual = runLoad(rates, 1e12, true);
  for (double& rate : rates) {
    rate *= 1.5;
  }
  const Served with = runLoad(rates, usual.peak, true);
  double sum = 0;
  double least = 1;
  double allWith = 0;
  double allUsual = 0;
  for (std::size_t i = 0; i < kAccounts; ++i) {
    const double fraction = with.started[i] / with.arrived[i];
    sum += fraction;
    least = std::min(least, fraction);
    allWith += with.started[i];
    allUsual += usual.started[i];
  }
  EXPECT_GE(least, sum / kAccounts / 4);
  EXPECT_GE(allWith, 0.97 * allUsual);
}

/** Returns the least part of their usual service that the others keep. */
double
leastKept(const std::vector<double>& aUsual, std::size_t aBurst, double aRate)
{
  const Served usual = runLoad(aUsual, 1e12, true, aUsual);
  std::vector<double> rates = aUsual;
  rates[aBurst] = aRate;
  const Served with = runLoad(rates, usual.peak, true, aUsual);
  double least = 1;
  for (std::size_t i = 0; i < kAccounts; ++i) {
    if (i != aBurst) {
      least = std::min(least, with.started[i] / usual.started[i]);
    }
  }
  return least;
}

TEST(AccountCapacityLoad, ABurstCostsUnequalAccountsLittle)
{
  // Guards against shares that take from the accounts that usually ask for most
  // what another one asks for in a burst.
  std::vector<std::vector<double>> loads(4);
  for (std::size_t i = 0; i < kAccounts; ++i) {
    const double part = static_cast<double>(i) / (kAccounts - 1);
    loads[0].push_back(4);
    loads[1].push_back(2 + 4 * part);
    loads[2].push_back((1 + 7 * part) * 8 / 9);
    loads[3].push_back(i < 8 ? 1 : i < 16 ? 3 : 8);
  }
  for (std::vector<double>& usual : loads) {
    for (const std::size_t burst : { 0, 12, 23 }) {
      EXPECT_GE(leastKept(usual, burst, 10 * usual[burst]), 0.97) << burst;
    }
    // An account without history.
    usual[12] = 0;
    EXPECT_GE(leastKept(usual, 12, 40), 0.97);
  }
}

} // namespace
} // namespace poplartrack
