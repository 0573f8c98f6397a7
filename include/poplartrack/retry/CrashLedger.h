#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/retry/CrashReport.h"
#include "poplartrack/retry/Fingerprint.h"
#include "poplartrack/retry/QuarantineRecord.h"

namespace poplartrack {

/** Which process saw the event that the ledger records. */
enum class CrashSource : std::uint8_t
{
  Own,
  Peer,
};

/**
 * Records which requests replicas crashed under, as seen by this relay and its
 * peers, and derives which requests are in quarantine, that is, sent to no
 * replica. Two crashes just after the request began put it into quarantine, and
 * so do three crashes at any time. A run of the request that completes clears
 * it.
 *
 * Requests are identified by their fingerprint. A request that crashes replicas
 * is sent again under new request ids and to any relay; tracked by its id, it
 * would crash one replica after the other.
 *
 * Ledgers that have received the same reports agree, whatever the order and
 * however often each report arrived. Does no I/O; not thread-safe.
 */
class CrashLedger
{
public:
  /** Records that a replica crashed while it ran a request. Returns true if
   * that puts the request into quarantine. */
  bool onCrash(const CrashReport& aReport, CrashSource aSource, TimePoint aNow);
  /** Records that another relay or the store reports a request as in
   * quarantine since aAge ago. Returns true if it was not in quarantine here.
   */
  bool onQuarantined(const Fingerprint& aRequest,
                     Duration aAge,
                     TimePoint aNow);
  /** Records that a replica completed the request, so that none of the crashes
   * so far counts against it any more. Returns true if that ends a quarantine.
   */
  bool onServed(const Fingerprint& aRequest, TimePoint aNow);
  /** Allows one trial run of a request in quarantine from aFrom on, because it
   * had been served shortly before. A request that too many replicas crashed
   * under gets no trial. */
  void allowTrial(const Fingerprint& aRequest, TimePoint aFrom);
  /** Returns whether a trial run is allowed now, and uses it up if so. */
  bool takeTrial(const Fingerprint& aRequest, TimePoint aNow);
  /** Drops quarantines and histories whose time is over. */
  void expire(TimePoint aNow);

  [[nodiscard]] bool empty() const { return this->histories.empty(); }
  /** Returns how long the request stays in quarantine, or nullopt if it is not
   * in quarantine. */
  [[nodiscard]] std::optional<Duration> quarantineLeft(
    const Fingerprint& aRequest,
    TimePoint aNow) const;
  /** Returns all requests in quarantine. */
  [[nodiscard]] std::vector<QuarantineRecord> quarantine(TimePoint aNow) const;
  /** Returns at most aMaxCount crashes that were recorded recently, to be sent
   * to the other relays. Crashes just after the request began come first. */
  [[nodiscard]] std::vector<CrashReport> latestCrashes(
    TimePoint aNow,
    std::size_t aMaxCount) const;
  /** Returns the requests that were cleared recently, to be sent to the other
   * relays. */
  [[nodiscard]] std::vector<Fingerprint> latestServed(TimePoint aNow) const;

private:
  /** How much the crash of one replica counts against a request. */
  enum class CrashKind : std::uint8_t
  {
    /** Does not count: the request has been served since. */
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
  };

  /** What is known of one request. */
  struct RequestHistory
  {
    /** By the id of the replica that crashed. */
    std::map<std::string, Crash> crashes;
    TimePoint lastUpdate;
    std::optional<TimePoint> quarantinedSince;
    /** This process saw the crash that led to the quarantine. */
    bool own = false;
    /** When it was last cleared. */
    std::optional<TimePoint> servedAt;
    /** When its trial run may start; nullopt if none is allowed. */
    std::optional<TimePoint> trialFrom;
  };

  /** Returns whether there are enough crashes for a quarantine. */
  [[nodiscard]] static bool needsQuarantine(const RequestHistory& aHistory);
  /** Returns the history of a request and marks it as updated. Creates it if
   * there is none, in place of the oldest one if there are too many. */
  RequestHistory& historyOf(const Fingerprint& aRequest, TimePoint aNow);

  std::map<Fingerprint, RequestHistory> histories;
};

} // namespace poplartrack
