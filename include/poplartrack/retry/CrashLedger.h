#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/retry/CrashReport.h"
#include "poplartrack/retry/Fingerprint.h"
#include "poplartrack/retry/QuarantineRecord.h"
#include "poplartrack/retry/Suspect.h"

namespace poplartrack {

/** Which process saw the event that the ledger records. */
enum class CrashSource : std::uint8_t
{
  Own,
  Peer,
};

/** This relay's place in the order in which the relays make trial runs. */
struct TrialTurn
{
  std::size_t rank = 0;
  /** Number of relays, this one included. */
  std::size_t relays = 1;
};

/** What changed in the quarantine since the last question. */
struct QuarantineChanges
{
  /** Suspects whose quarantine has begun; with CrashSource::Own if this process
   * saw the decisive crash. */
  std::vector<std::pair<Suspect, CrashSource>> begun;
  std::vector<Suspect> ended;
};

/**
 * Records under what replicas crashed, as seen by this relay and its peers, and
 * derives what is in quarantine. Requests that contain something in quarantine
 * are sent to no replica.
 *
 * Two kinds of suspects are blamed for a crash: the content of each request at
 * the replica, and each part of its prompt that other requests may share. A
 * request that crashes replicas is sent again under new ids; one with a part
 * that crashes replicas has a new content each time. See
 * docs/design/crashing-requests.md.
 *
 * - Content is quarantined after two crashes just after it began, or three at
 *   any time. A replica that completes it clears it.
 * - A part is quarantined after three crashes; for everyone only if no single
 *   account was there each time, else for that account. A replica that begins
 *   to answer a request with the part clears it.
 * - The part with the most crashes is held responsible for all of them. They no
 *   longer count against what was at the same replicas by chance. Among parts
 *   with equally many, those that no replica had begun to answer shortly before
 *   are. If there are several, all are quarantined, until trial runs tell them
 *   apart.
 *
 * Ledgers that have received the same reports agree, whatever the order and
 * however often each report arrived. Does no I/O; not thread-safe.
 */
class CrashLedger
{
public:
  /** Records that a replica crashed under a suspect. Returns true if that puts
   * it into quarantine. */
  bool onCrash(const CrashReport& aReport, CrashSource aSource, TimePoint aNow);
  /** Records that another relay or the store reports a suspect as in
   * quarantine. Returns true if it was not in quarantine here. */
  bool onQuarantined(const QuarantineRecord& aRecord, TimePoint aNow);
  /** Records that a replica completed a request with this content, or has begun
   * to answer one with this part: none of the crashes so far counts against it
   * any more, whatever the account. Returns true if that ends a quarantine. */
  bool onServed(const Fingerprint& aSuspect, TimePoint aNow);
  /** Allows one trial run of content in quarantine from aFrom on, because it
   * had been served shortly before. Content that too many replicas crashed
   * under gets no trial. */
  void allowTrial(const Fingerprint& aContent, TimePoint aFrom);
  /** Returns whether a trial run of this content is allowed now, and uses it up
   * if so. */
  bool takeTrial(const Fingerprint& aContent, TimePoint aNow);
  /** Returns whether a trial run of a prompt part is allowed now. The relays
   * take turns, and few trials are allowed for all of them together. */
  [[nodiscard]] bool isPartTrialDue(const Fingerprint& aSuspect,
                                    const TrialTurn& aTurn,
                                    TimePoint aNow) const;
  /** Records that this relay makes a trial run of a prompt part. */
  void onPartTrial(const Fingerprint& aSuspect, TimePoint aNow);
  /** Drops quarantines and histories whose time is over. */
  void expire(TimePoint aNow);

  [[nodiscard]] bool empty() const { return this->histories.empty(); }
  /** Returns how long the suspect stays in quarantine, or nullopt if it is not
   * in quarantine. */
  [[nodiscard]] std::optional<Duration> quarantineLeft(
    const Fingerprint& aSuspect,
    TimePoint aNow) const;
  /** Returns whether a part in quarantine is probably responsible: no other one
   * is as suspect here, or where this relay learned of it. */
  [[nodiscard]] bool isLikelyCulprit(const Fingerprint& aSuspect) const;
  /** Returns all suspects in quarantine. */
  [[nodiscard]] std::vector<QuarantineRecord> quarantine(TimePoint aNow) const;
  /** Returns what has begun and ended since the last call. */
  QuarantineChanges takeChanges();
  /** Returns at most aMaxCount crashes that were recorded recently, to be sent
   * to the other relays. Those of the suspects with the most crashes come
   * first, then crashes just after the request began. */
  [[nodiscard]] std::vector<CrashReport> latestCrashes(
    TimePoint aNow,
    std::size_t aMaxCount) const;
  /** Returns the suspects that were cleared recently, to be sent to the other
   * relays. */
  [[nodiscard]] std::vector<Fingerprint> latestServed(TimePoint aNow) const;

private:
  /** How much the crash of one replica counts against a suspect. */
  enum class CrashKind : std::uint8_t
  {
    /** Does not count: the suspect has been served since. */
    Cleared,
    /** The request had been running for a while. */
    Late,
    /** The request had just begun, or had not begun yet. */
    Early,
  };

  struct Crash
  {
    CrashKind kind = CrashKind::Late;
    TimePoint recordedAt;
    TimePoint brokenAt;
    /** Of a prompt part: who had requests with it at the replica. */
    std::set<Fingerprint> accountParts;
  };

  /** What is known of one suspect. */
  struct History
  {
    Suspect suspect;
    /** By the id of the replica that crashed. */
    std::map<std::string, Crash> crashes;
    TimePoint lastUpdate;
    std::optional<TimePoint> quarantinedSince;
    /** A peer or the store reported the quarantine. */
    bool reported = false;
    /** This process saw the crash that led to the quarantine. */
    bool own = false;
    /** A part that is more suspect than any other one. */
    bool soleCulprit = false;
    /** A part that a replica had begun to answer shortly before a crash. */
    bool familiar = false;
    /** When it was last cleared. */
    std::optional<TimePoint> servedAt;
    /** When the trial run of content may start; nullopt if none is allowed. */
    std::optional<TimePoint> trialFrom;
    /** Trial runs of a part, of all relays. */
    std::uint32_t trials = 0;
    /** When this relay made the latest one. */
    std::optional<TimePoint> lastTrialAt;
  };

  using Histories = std::map<Fingerprint, History>;
  using Replicas = std::set<std::string>;

  /** Returns the replicas whose crash counts against a suspect and is not
   * explained by another one. */
  [[nodiscard]] static Replicas openCrashes(const History& aHistory,
                                            const Replicas& aExplained);
  /** Returns how many crashes count against a suspect. */
  [[nodiscard]] static std::size_t countOpen(const History& aHistory);
  /** Returns whether these crashes are enough for a quarantine. */
  [[nodiscard]] static bool needsQuarantine(const History& aHistory,
                                            const Replicas& aCrashes);
  [[nodiscard]] static bool areOfOneAccount(const History& aHistory,
                                            const Replicas& aCrashes);
  /** Returns the history of a suspect and marks it as updated. Creates it if
   * there is none, in place of the oldest one if there are too many. */
  History& historyOf(const Suspect& aSuspect, TimePoint aNow);
  /** Records a crash; returns whether that is news. */
  static bool addCrash(History& aHistory,
                       const CrashReport& aReport,
                       TimePoint aNow);
  /** Derives the quarantine from all crashes. */
  void judge(CrashSource aSource, TimePoint aNow);
  /** Returns the parts that are responsible for crashes, and adds these to
   * aExplained. */
  std::set<Fingerprint> responsibleParts(Replicas& aExplained);
  /** Begins or ends the quarantine of a suspect. */
  void apply(History& aHistory,
             bool aResponsible,
             CrashSource aSource,
             TimePoint aNow);
  [[nodiscard]] bool isExplained(const History& aHistory) const;
  void end(History& aHistory);

  Histories histories;
  /** The crashes that parts in quarantine are responsible for. */
  Replicas explained;
  QuarantineChanges changes;
};

} // namespace poplartrack
