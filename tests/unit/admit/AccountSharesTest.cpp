#include "poplartrack/admit/AccountShares.h"

#include <algorithm>
#include <map>
#include <random>

#include <gtest/gtest.h>
// RapidCheck's macros need GoogleTest's first.
#include <rapidcheck/gtest.h>

namespace poplartrack {
namespace {

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr Duration kTick = std::chrono::milliseconds{ 250 };
constexpr std::uint64_t kAccount = 77;
/** Allowance for the rounding of shares in messages. */
constexpr double kRounding = 1e-3;

std::vector<std::string>
names(std::size_t aCount)
{
  std::vector<std::string> all;
  for (std::size_t i = 0; i < aCount; ++i) {
    all.push_back("entry-" + std::to_string(i));
  }
  return all;
}

/** Entries that exchange demands and grants over a network that delays and
 * drops messages. */
struct Group
{
  /** An answer in transit. */
  struct InTransit
  {
    std::size_t to = 0;
    std::vector<ShareGrant> grants;
    TimePoint requestedAt{};
    TimePoint arrives{};
  };

  explicit Group(std::size_t aCount)
    : entryNames(names(aCount))
    , entries(aCount, AccountShares(SharePolicy{}))
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      entries[i].setEntries(entryNames[i], entryNames, kStart);
    }
  }

  AccountShares& byName(const std::string& aName)
  {
    const auto at = std::find(entryNames.begin(), entryNames.end(), aName);
    return entries[static_cast<std::size_t>(at - entryNames.begin())];
  }

  void exchange(std::size_t aEntry, TimePoint aNow, Duration aDelay, bool aLost)
  {
    for (const DemandList& list : entries[aEntry].demands(aNow)) {
      const auto grants =
        byName(list.owner).grant(entryNames[aEntry], list.demands, aNow);
      if (!aLost) {
        inTransit.push_back(InTransit{ aEntry, grants, aNow, aNow + aDelay });
      }
    }
  }

  void deliver(TimePoint aNow)
  {
    for (const InTransit& one : inTransit) {
      if (one.arrives <= aNow) {
        entries[one.to].onGrants(one.grants, one.requestedAt);
      }
    }
    std::erase_if(inTransit, [aNow](const InTransit& aOne) {
      return aOne.arrives <= aNow;
    });
  }

  double sum(TimePoint aNow)
  {
    double total = 0;
    for (AccountShares& entry : entries) {
      total += entry.shareOf(kAccount, aNow);
    }
    return total;
  }

  std::vector<std::string> entryNames;
  std::vector<AccountShares> entries;
  std::vector<InTransit> inTransit;
};

RC_GTEST_PROP(AccountShares,
              sharesNeverSumAboveTheLimitWhateverTheDemandAndTheNetwork,
              (std::uint64_t aSeed))
{
  std::mt19937_64 random(aSeed);
  Group group(2 + random() % 20);
  const std::size_t count = group.entries.size();
  TimePoint now = kStart;
  for (int tick = 0; tick < 100; ++tick) {
    now += kTick;
    for (std::size_t i = 0; i < count; ++i) {
      const bool busy = (random() >> 7) % 4 == (tick / 25U) % 4;
      if (busy) {
        const double seconds = static_cast<double>(random() % 100) / 100;
        group.entries[i].onDemand(kAccount, seconds, now);
      }
      if ((tick + i) % 4 == 0) {
        const Duration delay{ static_cast<std::int64_t>(random() % 2'000'000) };
        group.exchange(i, now, delay, random() % 5 == 0);
      }
    }
    group.deliver(now);
    RC_ASSERT(group.sum(now) <= 1 + kRounding);
  }
}

TEST(AccountShares, sharesFollowDemandWithinFiveSeconds)
{
  // An account whose requests move to another entry gets its full limit there
  // within a few seconds. The grant of the old entry ends first, then the new
  // entry gets it; no part of the limit is granted twice in between.
  Group group(8);
  TimePoint now = kStart + std::chrono::seconds{ 10 };
  const auto run = [&group, &now](std::size_t aBusy, int aSeconds) {
    for (int i = 0; i < aSeconds; ++i) {
      now += std::chrono::seconds{ 1 };
      group.entries[aBusy].onDemand(kAccount, 1, now);
      for (std::size_t entry = 0; entry < group.entries.size(); ++entry) {
        group.exchange(entry, now, Duration{ 0 }, false);
      }
      group.deliver(now);
    }
  };
  run(2, 5);
  EXPECT_NEAR(group.entries[2].shareOf(kAccount, now), 0.8 + 0.2 / 8, 0.01);
  run(5, 5);
  EXPECT_NEAR(group.entries[5].shareOf(kAccount, now), 0.8 + 0.2 / 8, 0.05);
  run(5, 3);
  EXPECT_NEAR(group.entries[5].shareOf(kAccount, now), 0.8 + 0.2 / 8, 0.01);
  EXPECT_NEAR(group.entries[2].shareOf(kAccount, now), 0.2 / 8, 0.01);
}

TEST(AccountShares, aNewOwnerWaitsUntilTheOldGrantsHaveEnded)
{
  // No account exceeds its limit when an entry is replaced. The new owner does
  // not know the grants of the old one and grants only after the last of them
  // must have ended.
  Group group(4);
  TimePoint now = kStart + std::chrono::seconds{ 10 };
  const std::string owner = group.entries[0].ownerOf(kAccount);
  std::size_t user = 0;
  while (group.entryNames[user] == owner) {
    ++user;
  }
  group.entries[user].onDemand(kAccount, 1, now);
  group.exchange(user, now, Duration{ 0 }, false);
  group.deliver(now);
  std::vector<std::string> remaining = group.entryNames;
  std::erase(remaining, owner);
  for (std::size_t i = 0; i < group.entries.size(); ++i) {
    group.entries[i].setEntries(group.entryNames[i], remaining, now);
  }
  for (int i = 0; i < 20; ++i) {
    now += kTick;
    for (std::size_t entry = 0; entry < group.entries.size(); ++entry) {
      if (group.entryNames[entry] != owner) {
        group.entries[entry].onDemand(kAccount, 0.3, now);
        group.exchange(entry, now, Duration{ 0 }, false);
      }
    }
    group.deliver(now);
    double total = 0;
    for (std::size_t entry = 0; entry < group.entries.size(); ++entry) {
      if (group.entryNames[entry] != owner) {
        total += group.entries[entry].shareOf(kAccount, now);
      }
    }
    // The reserved shares of three entries add up to the same as those of four.
    EXPECT_LE(total, 1 + kRounding);
  }
}

TEST(AccountShares, accountsThatKeepTheirOwnerAreGrantedWithoutInterruption)
{
  Group group(8);
  TimePoint now = kStart + std::chrono::seconds{ 10 };
  const std::string owner = group.entries[0].ownerOf(kAccount);
  const std::size_t user = group.entryNames[0] == owner ? 1 : 0;
  const std::size_t removed = group.entryNames[7] == owner ? 6 : 7;
  std::vector<std::string> remaining = group.entryNames;
  remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(removed));
  for (std::size_t i = 0; i < group.entries.size(); ++i) {
    group.entries[i].setEntries(group.entryNames[i], remaining, now);
  }
  group.entries[user].onDemand(kAccount, 1, now);
  group.exchange(user, now, Duration{ 0 }, false);
  group.deliver(now);
  EXPECT_GT(group.entries[user].shareOf(kAccount, now), 0.8);
}

TEST(AccountShares, ownersAreSpreadOverEntries)
{
  Group group(46);
  std::map<std::string, int> owned;
  for (int i = 0; i < 7400; ++i) {
    ++owned[group.entries[0].ownerOf(
      accountHash("account-" + std::to_string(i)))];
  }
  for (const auto& [name, count] : owned) {
    EXPECT_LT(count, 230) << name;
  }
}

} // namespace
} // namespace poplartrack
