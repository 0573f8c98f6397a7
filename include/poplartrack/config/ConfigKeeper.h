#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/config/Configuration.h"
#include "poplartrack/config/RevisionDocument.h"
#include "poplartrack/config/RevisionLog.h"
#include "poplartrack/config/RevisionUpdate.h"

namespace poplartrack {

/** How a process keeps its configuration fresh. */
struct KeeperOptions
{
  /** Sides learn from entries only; 2,700 more pollers are too many reads. */
  bool mayReadStore = true;
  /** Mean time between two polls of the store, jittered by a quarter. */
  Duration pollInterval = std::chrono::seconds{ 2 };
  /** First wait after a failure; doubles up to the longest. */
  Duration firstBackoff = std::chrono::milliseconds{ 100 };
  /** Under the 6 s in which a change must be in force after an outage. */
  Duration longestBackoff = std::chrono::seconds{ 3 };
  /** Entries to ask at the start. */
  std::vector<Address> peers;
  /** Seed of the jitter; different in each process. */
  std::uint64_t seed = 1;
};

/** Where a newer revision comes from. */
enum class KeeperSource : std::uint8_t
{
  /** ConfigFetch to an entry. */
  Peer,
  /** The history rows after the revision in force. */
  StoreRows,
  /** The newest history row's object, whole. */
  StoreText,
};

/** One read that the keeper wants done; answer it with onFetchFinished(). */
struct KeeperFetch
{
  KeeperSource source = KeeperSource::Peer;
  /** Peer only. */
  Address peer;
  /** Answer with revisions above this one; 0: with a whole text. */
  std::uint64_t have = 0;
};

/** Counters of what a keeper met; each only grows. */
struct KeeperCounters
{
  std::uint64_t applied = 0;
  std::uint64_t peerFetches = 0;
  std::uint64_t storeReads = 0;
  std::uint64_t failedFetches = 0;
  /** Updates that did not parse, check or lead to their hash. */
  std::uint64_t refusedUpdates = 0;
  /** Updates that were not above the revision in force. */
  std::uint64_t staleUpdates = 0;
};

/**
 * Which revision a process has in force, and what it does to learn of later
 * ones. A function of events and time: the caller does the reads.
 *
 * The revision in force never goes back, whatever arrives in whatever order.
 * While starting, the keeper asks the store and all its peers and puts the
 * highest answer in force: a single peer may itself be behind.
 */
class ConfigKeeper
{
public:
  ConfigKeeper(KeeperOptions aOptions, TimePoint aNow);

  /**
   * A message said that a revision is in force somewhere.
   *
   * @param aPeer the entry that has it and can be asked; nothing when only a
   *   side said so
   */
  void onRevisionAnnounced(const std::optional<Address>& aPeer,
                           std::uint64_t aRevision,
                           TimePoint aNow);

  /** The next read to do, if it is time; one is in flight at most. */
  std::optional<KeeperFetch> nextFetch(TimePoint aNow);

  /**
   * The read's answer: updates that follow each other, none when there is
   * nothing newer. Returns true when another revision is in force now.
   */
  bool onFetchFinished(const Result<std::vector<RevisionUpdate>>& aUpdates,
                       TimePoint aNow);

  /** When nextFetch() may want something, if nothing is heard before. */
  [[nodiscard]] TimePoint wakeAt() const;

  /** The revision in force; 0 while there is none. */
  [[nodiscard]] std::uint64_t revision() const { return this->inForce; }
  /** The highest revision heard of. */
  [[nodiscard]] std::uint64_t newestHeard() const { return this->newest; }
  /** The configuration in force; null while there is none. */
  [[nodiscard]] std::shared_ptr<const Configuration> configuration() const
  {
    return this->document ? this->document->configuration() : nullptr;
  }
  /** Its canonical text; empty while there is none. */
  [[nodiscard]] std::string text() const
  {
    return this->document ? this->document->text() : std::string{};
  }

  /** What a peer that has that revision needs; empty when nothing newer. */
  [[nodiscard]] std::string updateFor(std::uint64_t aHave) const;

  [[nodiscard]] const KeeperCounters& counters() const { return this->counts; }
  /** Why the last update was refused; empty when none was since. */
  [[nodiscard]] const std::string& lastRefusal() const { return this->refusal; }

private:
  /** A peer that is known to be ahead. */
  struct AheadPeer
  {
    Address address;
    std::uint64_t revision = 0;
  };

  [[nodiscard]] bool starting() const { return this->inForce == 0; }
  /** The store does not answer, or may not be read at all. */
  [[nodiscard]] bool withoutStore() const
  {
    return !this->options.mayReadStore || this->storeFailures > 0;
  }
  [[nodiscard]] bool wantsAnyPeer() const;
  void beginRound();
  void endRound(TimePoint aNow);
  std::optional<KeeperFetch> nextOfRound();
  std::optional<KeeperFetch> nextWhileRunning(TimePoint aNow);
  KeeperFetch fetchFromPeer(const Address& aPeer);
  KeeperFetch fetchFromStore();
  bool finishedOfRound(const KeeperFetch& aFetch,
                       const Result<std::vector<RevisionUpdate>>& aUpdates,
                       TimePoint aNow);
  bool offer(const RevisionUpdate& aUpdate);
  bool finishedWhileRunning(const KeeperFetch& aFetch,
                            const Result<std::vector<RevisionUpdate>>& aUpdates,
                            TimePoint aNow);
  void schedule(const KeeperFetch& aFetch, bool aOk, TimePoint aNow);
  bool apply(const std::vector<RevisionUpdate>& aUpdates);
  bool takeWhole(const RevisionUpdate& aUpdate);
  bool takeSteps(const std::vector<RevisionUpdate>& aUpdates);
  void nowInForce(const RevisionUpdate& aUpdate);
  void refuse(std::uint64_t aRevision, std::string aWhy);
  void forgetPeer(const Address& aPeer);
  Duration jittered(Duration aMean);
  Duration backoffAfter(std::uint32_t aFailures);

  KeeperOptions options;
  std::mt19937_64 random;
  std::uint64_t inForce = 0;
  std::uint64_t newest = 0;
  std::optional<RevisionDocument> document;
  RevisionLog log;
  std::vector<AheadPeer> ahead;
  std::optional<KeeperFetch> inFlight;
  /** Start: who is still to be asked in this round, and the best answer
   * that could be used. */
  std::vector<Address> peersToAsk;
  bool storeToAsk = false;
  RevisionUpdate best;
  /** The next fetch must be whole: steps did not lead to their hash. */
  bool wantWhole = false;
  /** A revision whose whole text was refused; it is not asked for again. */
  std::uint64_t badRevision = 0;
  TimePoint pollAt;
  TimePoint askAt;
  std::uint32_t storeFailures = 0;
  std::uint32_t peerFailures = 0;
  KeeperCounters counts;
  std::string refusal;
};

} // namespace poplartrack
