// Prompt parts in the crash ledger.

#include <algorithm>

#include <gtest/gtest.h>

#include "poplartrack/retry/CrashLedger.h"

namespace poplartrack {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ hours{ 1 } };

Fingerprint
part(const std::string& aName)
{
  return fingerprintOfPart(aName);
}

Fingerprint
partOf(const std::string& aName, const std::string& aAccount)
{
  return fingerprintOfPart(aName, aAccount);
}

/** A request at a replica that crashes. */
struct Victim
{
  std::string account;
  std::vector<std::string> parts;
  /** Names the content. */
  std::uint64_t content = 0;
};

CrashReport
partReport(const std::string& aPart,
           const std::string& aAccount,
           const std::string& aReplica)
{
  return CrashReport{ part(aPart), aReplica, true, partOf(aPart, aAccount) };
}

/** Records the crash of a replica that had these requests. */
void
crash(CrashLedger& aLedger,
      const std::string& aReplica,
      const std::vector<Victim>& aVictims,
      CrashSource aSource = CrashSource::Own)
{
  for (const Victim& victim : aVictims) {
    aLedger.onCrash(
      CrashReport{ Fingerprint{ 1, victim.content }, aReplica, true },
      aSource,
      kStart);
    for (const std::string& name : victim.parts) {
      aLedger.onCrash(
        partReport(name, victim.account, aReplica), aSource, kStart);
    }
  }
}

bool
isHeld(const CrashLedger& aLedger, const Fingerprint& aSuspect)
{
  return aLedger.quarantineLeft(aSuspect, kStart).has_value();
}

TEST(PartQuarantine, ThreeCrashesUnderDifferentContentsQuarantineThePart)
{
  CrashLedger ledger;
  crash(ledger, "r1", { { "a", { "deadly" }, 1 } });
  crash(ledger, "r2", { { "b", { "deadly" }, 2 } });
  EXPECT_FALSE(isHeld(ledger, part("deadly")));
  crash(ledger, "r3", { { "a", { "deadly" }, 3 } });
  EXPECT_TRUE(isHeld(ledger, part("deadly")));
  EXPECT_TRUE(ledger.isLikelyCulprit(part("deadly")));
}

TEST(PartQuarantine, APartThatAReplicaBeganToAnswerIsNotBlamed)
{
  CrashLedger ledger;
  for (int i = 0; i < 20; ++i) {
    const auto number = static_cast<std::uint64_t>(i);
    crash(ledger,
          "r" + std::to_string(i),
          { { i % 2 == 0 ? "a" : "b", { "first" }, number } });
    ledger.onServed(part("first"), kStart);
    EXPECT_FALSE(isHeld(ledger, part("first")));
  }
}

TEST(PartQuarantine, OneAccountBlocksNoPartsOfOthers)
{
  CrashLedger ledger;
  for (int i = 0; i < 9; ++i) {
    crash(ledger,
          "r" + std::to_string(i),
          { { "attacker", { "shared" }, 1 }, { "victim", { "shared" }, 2 } });
    if (i % 2 == 0) {
      ledger.onServed(partOf("shared", "victim"), kStart);
    }
  }
  EXPECT_TRUE(isHeld(ledger, partOf("shared", "attacker")));
  EXPECT_FALSE(isHeld(ledger, part("shared")));
}

TEST(PartQuarantine, ASecondAccountMakesItAQuarantineForAll)
{
  CrashLedger ledger;
  for (const char* replica : { "r1", "r2", "r3" }) {
    crash(ledger, replica, { { "a", { "deadly" }, 1 } });
  }
  EXPECT_TRUE(isHeld(ledger, partOf("deadly", "a")));
  EXPECT_FALSE(isHeld(ledger, part("deadly")));
  crash(ledger, "r4", { { "b", { "deadly" }, 2 } });
  EXPECT_TRUE(isHeld(ledger, part("deadly")));
}

TEST(PartQuarantine, WhatWasAtTheSameReplicasIsReleased)
{
  CrashLedger ledger;
  const Victim innocent{ "a", { "first", "rare" }, 7 };
  crash(ledger, "r1", { { "a", { "first", "deadly" }, 1 }, innocent });
  crash(ledger, "r2", { { "b", { "first", "deadly" }, 2 }, innocent });
  EXPECT_TRUE(isHeld(ledger, Fingerprint{ 1, 7 }));
  ledger.onServed(part("first"), kStart);
  crash(ledger, "r3", { { "b", { "first", "deadly" }, 3 } });
  EXPECT_TRUE(isHeld(ledger, part("deadly")));
  EXPECT_FALSE(isHeld(ledger, Fingerprint{ 1, 7 }));
  EXPECT_FALSE(isHeld(ledger, part("rare")));
  EXPECT_FALSE(isHeld(ledger, part("first")));
}

TEST(PartQuarantine, AnExplainedSuspectStaysReleasedWhateverPeersReport)
{
  CrashLedger ledger;
  const Victim innocent{ "a", { "rare" }, 7 };
  crash(ledger, "r1", { { "a", { "deadly" }, 1 }, innocent });
  crash(ledger, "r2", { { "b", { "deadly" }, 2 }, innocent });
  crash(ledger, "r3", { { "b", { "deadly" }, 3 } });
  const QuarantineRecord late{ contentSuspect(Fingerprint{ 1, 7 }),
                               milliseconds{ 100 } };
  EXPECT_FALSE(ledger.onQuarantined(late, kStart));
  EXPECT_FALSE(isHeld(ledger, Fingerprint{ 1, 7 }));
}

TEST(PartQuarantine, AFamiliarPartIsLessSuspectThanOneThatNeverBegan)
{
  // Guards against a quarantine of a whole kind of requests, whose first part
  // was at the same three replicas when these crashed within milliseconds.
  CrashLedger ledger;
  for (const char* replica : { "r1", "r2", "r3" }) {
    const std::string account = replica == std::string{ "r2" } ? "b" : "a";
    CrashReport first = partReport("first", account, replica);
    first.familiar = true;
    ledger.onCrash(first, CrashSource::Own, kStart);
    ledger.onCrash(
      partReport("deadly", account, replica), CrashSource::Own, kStart);
  }
  EXPECT_TRUE(ledger.isLikelyCulprit(part("deadly")));
  EXPECT_FALSE(isHeld(ledger, part("first")));
}

/** A ledger in which two parts have the same three crashes. */
CrashLedger
undecided()
{
  CrashLedger ledger;
  crash(ledger, "r1", { { "a", { "first", "deadly" }, 1 } });
  crash(ledger, "r2", { { "b", { "first", "deadly" }, 2 } });
  crash(ledger, "r3", { { "a", { "first", "deadly" }, 3 } });
  return ledger;
}

TEST(PartQuarantine, ATrialTellsEquallySuspectPartsApart)
{
  CrashLedger ledger = undecided();
  EXPECT_TRUE(isHeld(ledger, part("first")));
  EXPECT_TRUE(isHeld(ledger, part("deadly")));
  EXPECT_FALSE(ledger.isLikelyCulprit(part("deadly")));
  EXPECT_TRUE(ledger.isPartTrialDue(part("first"), TrialTurn{}, kStart));
  ledger.onPartTrial(part("first"), kStart);
  EXPECT_FALSE(ledger.isPartTrialDue(part("first"), TrialTurn{}, kStart));
  EXPECT_TRUE(ledger.onServed(part("first"), kStart));
  EXPECT_FALSE(isHeld(ledger, part("first")));
  EXPECT_TRUE(ledger.isLikelyCulprit(part("deadly")));
}

TEST(PartQuarantine, AllRelaysTogetherMakeFewTrials)
{
  constexpr std::size_t kRelays = 5;
  std::vector<CrashLedger> ledgers(kRelays, undecided());
  int trials = 0;
  for (int ms = 0; ms < 3'600'000; ms += 100) {
    const TimePoint now = kStart + milliseconds{ ms };
    for (std::size_t i = 0; i < kRelays; ++i) {
      const TrialTurn turn{ i, kRelays };
      if (!ledgers[i].isPartTrialDue(part("deadly"), turn, now)) {
        continue;
      }
      ++trials;
      ledgers[i].onPartTrial(part("deadly"), now);
      for (CrashLedger& ledger : ledgers) {
        for (const QuarantineRecord& record : ledgers[i].quarantine(now)) {
          ledger.onQuarantined(record, now);
        }
        ledger.onCrash(
          partReport("deadly", "b", "trial" + std::to_string(trials)),
          CrashSource::Peer,
          now);
      }
    }
  }
  EXPECT_GT(trials, 0);
  EXPECT_LE(trials, 3);
}

TEST(PartQuarantine, WhatTheStoreReportsGetsNoTrialAfterARestartOfAllRelays)
{
  CrashLedger ledger;
  constexpr std::uint32_t kManyTrials = 1'000;
  ledger.onQuarantined(
    QuarantineRecord{ partSuspect(part("deadly")), {}, false, kManyTrials },
    kStart);
  EXPECT_TRUE(ledger.isLikelyCulprit(part("deadly")));
  for (int s = 0; s < 3'600; ++s) {
    EXPECT_FALSE(ledger.isPartTrialDue(
      part("deadly"), TrialTurn{}, kStart + seconds{ s }));
  }
}

TEST(PartQuarantine, AnsweringAPartEndsItsQuarantineForEachAccount)
{
  CrashLedger ledger;
  ledger.onQuarantined(
    QuarantineRecord{ accountPartSuspect(part("p"), partOf("p", "a")) },
    kStart);
  ledger.onQuarantined(QuarantineRecord{ partSuspect(part("p")) }, kStart);
  EXPECT_TRUE(ledger.onServed(part("p"), kStart));
  EXPECT_FALSE(isHeld(ledger, part("p")));
  EXPECT_FALSE(isHeld(ledger, partOf("p", "a")));
  EXPECT_EQ(ledger.latestServed(kStart), std::vector<Fingerprint>{ part("p") });
}

TEST(PartQuarantine, ReportsOfManyPartsCarryTheMostSuspectFirst)
{
  CrashLedger ledger;
  for (int replica = 0; replica < 3; ++replica) {
    const std::string name = "r" + std::to_string(replica);
    std::vector<Victim> victims{ { "a", { "deadly" }, 1 } };
    for (int i = 0; i < 300; ++i) {
      victims.push_back(
        { "b", { "part" + std::to_string(300 * replica + i) }, 2 });
    }
    crash(ledger, name, victims);
  }
  const auto reports = ledger.latestCrashes(kStart, 9);
  ASSERT_EQ(reports.size(), 9U);
  const auto deadly = std::count_if(
    reports.begin(), reports.end(), [](const CrashReport& aReport) {
      return aReport.suspect == part("deadly");
    });
  EXPECT_EQ(deadly, 3);
}

TEST(PartQuarantine, LedgersWithTheSameReportsAgree)
{
  const std::vector<std::vector<Victim>> batches{
    { { "a", { "first", "deadly" }, 1 }, { "a", { "first", "rare" }, 2 } },
    { { "b", { "first", "deadly" }, 3 }, { "a", { "first", "rare" }, 2 } },
    { { "a", { "first", "deadly" }, 4 } },
    { { "b", { "other", "deadly" }, 5 }, { "a", { "other", "late" }, 6 } }
  };
  const auto held = [&](const std::vector<int>& aOrder) {
    CrashLedger ledger;
    for (const int i : aOrder) {
      crash(ledger,
            "r" + std::to_string(i),
            batches[static_cast<std::size_t>(i)],
            CrashSource::Peer);
    }
    std::vector<Fingerprint> ids;
    for (const QuarantineRecord& record : ledger.quarantine(kStart)) {
      ids.push_back(record.suspect.id);
    }
    return ids;
  };
  const std::vector<Fingerprint> first = held({ 0, 1, 2, 3 });
  EXPECT_EQ(first, std::vector<Fingerprint>{ part("deadly") });
  EXPECT_EQ(held({ 3, 2, 1, 0 }), first);
  EXPECT_EQ(held({ 2, 0, 3, 1, 0, 2 }), first);
}

TEST(PartQuarantine, StaysBounded)
{
  CrashLedger ledger;
  for (const char* replica : { "r1", "r2", "r3" }) {
    const std::string account = replica == std::string{ "r2" } ? "b" : "a";
    crash(ledger, replica, { { account, { "deadly" }, 1 } });
  }
  for (int i = 0; i < 10'000; ++i) {
    crash(ledger, "one", { { "a", { "part" + std::to_string(i) }, 1 } });
  }
  EXPECT_TRUE(isHeld(ledger, part("deadly")));
  EXPECT_LE(ledger.latestCrashes(kStart, 100'000).size(), 4'096U);
}

TEST(PartQuarantine, ASuspectIsKeptByTheStoreWithItsKind)
{
  const Suspect suspects[] = { contentSuspect(Fingerprint{ 1, 2 }),
                               partSuspect(part("p")),
                               accountPartSuspect(part("p"),
                                                  partOf("p", "a")) };
  for (const Suspect& suspect : suspects) {
    EXPECT_EQ(suspectFromStore(suspect.id, storedText(suspect)), suspect);
  }
  EXPECT_FALSE(suspectFromStore(part("p"), "account_part xyz"));
  EXPECT_FALSE(suspectFromStore(part("p"), "unknown"));
}

} // namespace
} // namespace poplartrack
