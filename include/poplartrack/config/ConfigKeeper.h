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

/** Options of a ConfigKeeper. */
struct KeeperOptions
{
  /** False on sides, which fetch from entries only: 2,700 more processes that
   * poll the store would be too many reads. */
  bool mayReadStore = true;
  /** Mean time between two polls of the store; jittered by up to a quarter. */
  Duration pollInterval = std::chrono::seconds{ 2 };
  /** Delay after the first failure; doubles up to maxBackoff. */
  Duration initialBackoff = std::chrono::milliseconds{ 100 };
  /** Longest delay after a failure. Less than the 6 s within which a change
   * must be in force after an outage. */
  Duration maxBackoff = std::chrono::seconds{ 3 };
  /** Entries to ask at the start and while the store cannot be read. */
  std::vector<Address> peers;
  /** Seed of the random delays and choices; different in each process. */
  std::uint64_t seed = 1;
};

/** Where a newer revision is read from. */
enum class KeeperSource : std::uint8_t
{
  /** A ConfigFetch request to an entry. */
  Peer,
  /** The history rows after the revision in force, in the store. */
  StoreRows,
  /** The object with the whole text of the newest revision, in the store. */
  StoreText,
};

/** A read that the caller does for the keeper. The caller reports the result
 * with onFetchFinished(). */
struct KeeperFetch
{
  KeeperSource source = KeeperSource::Peer;
  /** The entry to ask; set for KeeperSource::Peer only. */
  Address peer;
  /** Fetch the revisions above this one; 0: fetch the whole text. */
  std::uint64_t have = 0;
};

/** Counters of a ConfigKeeper; they only increase. */
struct KeeperCounters
{
  std::uint64_t applied = 0;
  std::uint64_t peerFetches = 0;
  std::uint64_t storeReads = 0;
  std::uint64_t failedFetches = 0;
  /** Updates whose text could not be read, or whose settings are invalid. */
  std::uint64_t refusedUpdates = 0;
  /** Updates to a revision not above the one in force. */
  std::uint64_t staleUpdates = 0;
};

/**
 * Holds the revision of the configuration that a process has in force, and
 * decides when and where to fetch a later one. It does no I/O and reads no
 * clock: the caller does the reads and passes in events and the time.
 *
 * The revision in force never decreases, in whatever order updates arrive.
 * While starting, the keeper asks the store first. If the store gives nothing
 * usable, it asks its peers and puts their highest revision in force, because a
 * single peer may itself be behind.
 */
class ConfigKeeper
{
public:
  ConfigKeeper(KeeperOptions aOptions, TimePoint aNow);

  /**
   * Records that some process has a revision in force, as a message reported.
   *
   * @param aPeer the entry that has the revision and can be asked for it;
   *   nothing when the message came from a side
   */
  void onRevisionAnnounced(const std::optional<Address>& aPeer,
                           std::uint64_t aRevision,
                           TimePoint aNow);

  /** Returns the next read to do, or nothing while a read is in flight or none
   * is due. */
  std::optional<KeeperFetch> nextFetch(TimePoint aNow);

  /**
   * Handles the result of the read in flight: consecutive updates, or none when
   * nothing is newer. Returns true when it put another revision in force.
   */
  bool onFetchFinished(const Result<std::vector<RevisionUpdate>>& aUpdates,
                       TimePoint aNow);

  /** Returns when to call nextFetch() again, unless an event comes before. */
  [[nodiscard]] TimePoint wakeAt() const;

  /** The revision in force; 0 while there is none. */
  [[nodiscard]] std::uint64_t revision() const { return this->revisionInForce; }
  /** The highest revision that any process reported. */
  [[nodiscard]] std::uint64_t newestKnown() const
  {
    return this->newestRevision;
  }
  /** The configuration in force; null while there is none. */
  [[nodiscard]] std::shared_ptr<const Configuration> configuration() const
  {
    return this->document ? this->document->configuration() : nullptr;
  }
  /** The canonical text of the revision in force; empty while there is none. */
  [[nodiscard]] std::string text() const
  {
    return this->document ? this->document->text() : std::string{};
  }

  /** Returns the text of the update for a peer that has aPeerRevision; empty
   * when the revision in force is not newer. */
  [[nodiscard]] std::string updateFor(std::uint64_t aPeerRevision) const;

  [[nodiscard]] const KeeperCounters& counters() const { return this->counts; }
  /** Why the last update was refused; empty once a later one is applied. */
  [[nodiscard]] const std::string& lastRefusal() const { return this->refusal; }

private:
  /** A peer with a revision above the one in force. */
  struct AheadPeer
  {
    Address address;
    std::uint64_t revision = 0;
  };

  [[nodiscard]] bool isStarting() const { return this->revisionInForce == 0; }
  /** Returns true when the last read of the store failed, or this process may
   * not read the store. */
  [[nodiscard]] bool storeUnusable() const
  {
    return !this->options.mayReadStore || this->storeFailures > 0;
  }
  /** Returns true when to ask a random peer, if none is known to be ahead. */
  [[nodiscard]] bool shouldAskAnyPeer() const;
  /** Chooses whom to ask in a round of the start: the store and some peers. */
  void beginStartRound();
  /** Ends a round of the start that put nothing in force; sets the backoff. */
  void endStartRound(TimePoint aNow);
  /** Returns the next read of the current round of the start. */
  std::optional<KeeperFetch> nextStartFetch();
  /** Returns the next read once a revision is in force. */
  std::optional<KeeperFetch> nextRunningFetch(TimePoint aNow);
  KeeperFetch fetchFromPeer(const Address& aPeer);
  KeeperFetch fetchFromStore();
  /** Handles a result while starting. Returns true when it put a revision in
   * force, which ends the start. */
  bool onStartFetchFinished(const KeeperFetch& aFetch,
                            const Result<std::vector<RevisionUpdate>>& aUpdates,
                            TimePoint aNow);
  /** Keeps a whole update as the best candidate of the round if it is the
   * highest so far. Returns true when it was kept. */
  bool addCandidate(const RevisionUpdate& aUpdate);
  /** Handles a result once a revision is in force. Returns true when it put a
   * later one in force. */
  bool onRunningFetchFinished(
    const KeeperFetch& aFetch,
    const Result<std::vector<RevisionUpdate>>& aUpdates,
    TimePoint aNow);
  /** Sets the time of the next read of the same kind of source. */
  void scheduleNextFetch(const KeeperFetch& aFetch, bool aOk, TimePoint aNow);
  /** Applies the updates that are newer than the revision in force. Returns
   * true when that put another revision in force. */
  bool apply(const std::vector<RevisionUpdate>& aUpdates);
  /** Puts the revision of a whole text in force. */
  bool applyWhole(const RevisionUpdate& aUpdate);
  /** Applies consecutive steps to the document in force. If they do not give
   * the text with their hash, the next fetch gets the whole text. */
  bool applySteps(const std::vector<RevisionUpdate>& aUpdates);
  /** Updates the state after aUpdate was applied to the document. */
  void onApplied(const RevisionUpdate& aUpdate);
  /** Counts a refused update and keeps the reason. */
  void recordRefusal(std::uint64_t aRevision, std::string aWhy);
  void forgetPeer(const Address& aPeer);
  /** Returns a random duration within a quarter of the mean. */
  Duration jittered(Duration aMean);
  /** Returns the delay after consecutive failures: doubled for each, up to
   * maxBackoff, and jittered. */
  Duration backoffAfter(std::uint32_t aFailures);

  KeeperOptions options;
  std::mt19937_64 random;
  std::uint64_t revisionInForce = 0;
  /** The highest revision that any process reported. */
  std::uint64_t newestRevision = 0;
  std::optional<RevisionDocument> document;
  RevisionLog recentUpdates;
  /** The peer that reported last comes last. */
  std::vector<AheadPeer> aheadPeers;
  std::optional<KeeperFetch> inFlight;
  /** Peers still to ask in the current round of the start. */
  std::vector<Address> peersToAsk;
  /** The store is still to be asked in the current round of the start. */
  bool storeToAsk = false;
  /** Highest valid whole update of the current round of the start. */
  RevisionUpdate bestCandidate;
  /** The next fetch must get the whole text, because the last steps did not
   * give the text with their hash. */
  bool needsWholeText = false;
  /** The last refused revision. When steps to it fail again, the whole text is
   * not fetched again. */
  std::uint64_t refusedRevision = 0;
  TimePoint nextStorePollAt;
  /** While starting: the time of the next round, which also reads the store. */
  TimePoint nextPeerFetchAt;
  std::uint32_t storeFailures = 0;
  std::uint32_t peerFailures = 0;
  KeeperCounters counts;
  std::string refusal;
};

} // namespace poplartrack
