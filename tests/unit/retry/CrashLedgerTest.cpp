#include "poplartrack/retry/CrashLedger.h"

#include <algorithm>
#include <random>

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ hours{ 1 } };
constexpr Fingerprint kRequest{ 1, 2 };
constexpr Fingerprint kOther{ 3, 4 };

CrashReport
report(const Fingerprint& aRequest, const std::string& aReplica, bool aEarly)
{
  return CrashReport{ aRequest, aReplica, aEarly };
}

/** The report that a request has been in quarantine since aAge ago. */
QuarantineRecord
quarantined(const Fingerprint& aRequest, Duration aAge)
{
  return QuarantineRecord{ contentSuspect(aRequest), aAge };
}

TEST(CrashLedger, TwoCrashesAtTheStartOfARequestQuarantineIt)
{
  CrashLedger ledger;
  EXPECT_FALSE(
    ledger.onCrash(report(kRequest, "a", true), CrashSource::Own, kStart));
  EXPECT_FALSE(ledger.quarantineLeft(kRequest, kStart));
  EXPECT_TRUE(
    ledger.onCrash(report(kRequest, "b", true), CrashSource::Own, kStart));
  EXPECT_TRUE(ledger.quarantineLeft(kRequest, kStart));
  EXPECT_FALSE(ledger.quarantineLeft(kOther, kStart));
}

TEST(CrashLedger, ACrashThatIsReportedRepeatedlyCountsOnce)
{
  CrashLedger ledger;
  for (int i = 0; i < 5; ++i) {
    ledger.onCrash(report(kRequest, "a", true), CrashSource::Peer, kStart);
  }
  EXPECT_FALSE(ledger.quarantineLeft(kRequest, kStart));
}

TEST(CrashLedger, ARequestThatHadBeenRunningNeedsAThirdCrash)
{
  CrashLedger ledger;
  ledger.onCrash(report(kRequest, "a", false), CrashSource::Own, kStart);
  ledger.onCrash(report(kRequest, "b", false), CrashSource::Own, kStart);
  EXPECT_FALSE(ledger.quarantineLeft(kRequest, kStart));
  ledger.onCrash(report(kRequest, "c", false), CrashSource::Own, kStart);
  EXPECT_TRUE(ledger.quarantineLeft(kRequest, kStart));
}

TEST(CrashLedger, AServedRequestLosesItsCrashes)
{
  // Guards against a popular lookup that is put into quarantine by crashes from
  // before it was last served.
  CrashLedger ledger;
  ledger.onCrash(report(kRequest, "a", true), CrashSource::Own, kStart);
  ledger.onCrash(report(kRequest, "b", true), CrashSource::Own, kStart);
  EXPECT_TRUE(ledger.onServed(kRequest, kStart));
  EXPECT_FALSE(ledger.quarantineLeft(kRequest, kStart));
  ledger.onCrash(report(kRequest, "c", true), CrashSource::Own, kStart);
  EXPECT_FALSE(ledger.quarantineLeft(kRequest, kStart));
  ledger.onCrash(report(kRequest, "d", true), CrashSource::Own, kStart);
  EXPECT_TRUE(ledger.quarantineLeft(kRequest, kStart));
}

TEST(CrashLedger, APeerThatHasNotLearnedOfTheServedRequestDoesNotUndoIt)
{
  CrashLedger ledger;
  ledger.onCrash(report(kRequest, "a", true), CrashSource::Own, kStart);
  ledger.onServed(kRequest, kStart);
  EXPECT_FALSE(ledger.onQuarantined(quarantined(kRequest, milliseconds{ 100 }),
                                    kStart + milliseconds{ 200 }));
  EXPECT_FALSE(ledger.quarantineLeft(kRequest, kStart + milliseconds{ 200 }));
  EXPECT_EQ(ledger.latestServed(kStart + milliseconds{ 200 }),
            std::vector<Fingerprint>{ kRequest });
}

TEST(CrashLedger, AQuarantineLastsFromItsEarliestReportedStart)
{
  CrashLedger ledger;
  ledger.onQuarantined(quarantined(kRequest, Duration{ 0 }), kStart);
  ledger.onQuarantined(quarantined(kRequest, seconds{ 1'800 }), kStart);
  ledger.onQuarantined(quarantined(kRequest, Duration{ 0 }), kStart);
  EXPECT_EQ(ledger.quarantineLeft(kRequest, kStart), seconds{ 1'800 });
  ledger.expire(kStart + seconds{ 1'800 });
  EXPECT_TRUE(ledger.empty());
  EXPECT_FALSE(ledger.onQuarantined(quarantined(kRequest, hours{ 1 }), kStart));
}

TEST(CrashLedger, CrashesAreReportedForAWhileAndAQuarantineWhileItLasts)
{
  CrashLedger ledger;
  ledger.onCrash(report(kOther, "z", false), CrashSource::Own, kStart);
  ledger.onCrash(report(kRequest, "a", true), CrashSource::Peer, kStart);
  ledger.onCrash(report(kRequest, "b", true), CrashSource::Peer, kStart);
  const auto latest = ledger.latestCrashes(kStart + seconds{ 1 }, 2);
  ASSERT_EQ(latest.size(), 2U);
  EXPECT_TRUE(latest[0].early);
  EXPECT_TRUE(latest[1].early);
  const TimePoint later = kStart + seconds{ 30 };
  EXPECT_TRUE(ledger.latestCrashes(later, 64).empty());
  ASSERT_EQ(ledger.quarantine(later).size(), 1U);
  EXPECT_EQ(ledger.quarantine(later)[0].suspect.id, kRequest);
  EXPECT_EQ(ledger.quarantine(later)[0].age, seconds{ 30 });
  EXPECT_FALSE(ledger.quarantine(later)[0].own);
}

TEST(CrashLedger, LedgersWithTheSameReportsAgree)
{
  std::vector<CrashReport> reports;
  for (std::uint64_t request = 0; request < 20; ++request) {
    for (std::uint64_t replica = 0; replica < 4; ++replica) {
      if ((request >> replica) % 2 == 0) {
        reports.push_back(report(Fingerprint{ request, 0 },
                                 std::to_string(replica),
                                 (request + replica) % 3 == 0));
      }
    }
  }
  const auto quarantined = [&](unsigned aSeed) {
    std::mt19937 random{ aSeed };
    std::vector<CrashReport> received = reports;
    received.insert(received.end(), reports.begin(), reports.end());
    std::shuffle(received.begin(), received.end(), random);
    CrashLedger ledger;
    for (const CrashReport& one : received) {
      ledger.onCrash(one, CrashSource::Peer, kStart);
    }
    std::vector<Fingerprint> held;
    for (const QuarantineRecord& record : ledger.quarantine(kStart)) {
      held.push_back(record.suspect.id);
    }
    return held;
  };
  const std::vector<Fingerprint> first = quarantined(1);
  EXPECT_FALSE(first.empty());
  EXPECT_LT(first.size(), 20U);
  for (unsigned seed = 2; seed < 50; ++seed) {
    EXPECT_EQ(quarantined(seed), first);
  }
}

TEST(CrashLedger, StaysBoundedAndKeepsTheQuarantine)
{
  CrashLedger ledger;
  ledger.onQuarantined(quarantined(kRequest, Duration{ 0 }), kStart);
  constexpr std::uint64_t kMany = 10'000;
  for (std::uint64_t i = 0; i < kMany; ++i) {
    ledger.onCrash(report(Fingerprint{ 10 + i, 0 }, "a", false),
                   CrashSource::Peer,
                   kStart + milliseconds{ i });
  }
  const TimePoint end = kStart + milliseconds{ kMany };
  EXPECT_TRUE(ledger.quarantineLeft(kRequest, end));
  EXPECT_LE(ledger.latestCrashes(end, kMany).size(), 4'096U);
}

TEST(CrashLedger, ARequestServedBeforeGetsOneTrialRun)
{
  // Guards against a popular lookup that is refused for an hour because it was
  // in flight at many replicas that crashed at once.
  CrashLedger ledger;
  ledger.onCrash(report(kRequest, "a", true), CrashSource::Own, kStart);
  ledger.onCrash(report(kRequest, "b", true), CrashSource::Own, kStart);
  EXPECT_FALSE(ledger.takeTrial(kRequest, kStart + seconds{ 60 }));
  ledger.allowTrial(kRequest, kStart + seconds{ 5 });
  EXPECT_FALSE(ledger.takeTrial(kRequest, kStart + seconds{ 4 }));
  EXPECT_TRUE(ledger.takeTrial(kRequest, kStart + seconds{ 5 }));
  EXPECT_FALSE(ledger.takeTrial(kRequest, kStart + seconds{ 6 }));
  for (const char* replica : { "c", "d", "e" }) {
    ledger.onCrash(report(kRequest, replica, true), CrashSource::Peer, kStart);
  }
  ledger.allowTrial(kRequest, kStart + seconds{ 7 });
  EXPECT_FALSE(ledger.takeTrial(kRequest, kStart + seconds{ 8 }));
}

} // namespace
} // namespace poplartrack
