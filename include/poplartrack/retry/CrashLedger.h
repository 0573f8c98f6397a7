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

/** Who saw what is entered into the ledger. */
enum class CrashSource : std::uint8_t
{
  Own,
  Peer,
};

/**
 * Which requests replicas ended under, as all relays know it together, and
 * which of them are therefore in quarantine: sent to no replica. Two ends just
 * after the request began are enough, or three at any time; a run that ends
 * well clears it.
 *
 * A request that crashes replicas comes again under new ids, to any relay:
 * known by its id alone, it takes one replica after the other.
 *
 * Ledgers agree once they have heard the same, in any order and however often.
 * Pure; not thread-safe.
 */
class CrashLedger
{
public:
  /** Enters that a replica ended under a request; true when that puts it into
   * quarantine. */
  bool onCrash(const CrashReport& aReport, CrashSource aSource, TimePoint aNow);
  /** Another relay, or the store, says that a request is in quarantine, for
   * this long already; true when this one did not know. */
  bool onQuarantined(const Fingerprint& aRequest,
                     Duration aAge,
                     TimePoint aNow);
  /** A replica ran the request to its end: no end so far was its doing. True
   * when that ends a quarantine. */
  bool onServed(const Fingerprint& aRequest, TimePoint aNow);
  /** The request was served before it came into quarantine: from that moment
   * on it may run once more, unless too many replicas have ended under it. */
  void allowTrial(const Fingerprint& aRequest, TimePoint aFrom);
  /** Whether it may run once now; takes the trial if so. */
  bool takeTrial(const Fingerprint& aRequest, TimePoint aNow);
  /** Forgets what is over. */
  void expire(TimePoint aNow);

  /** Nothing is known of any request. */
  [[nodiscard]] bool empty() const { return this->suspects.empty(); }
  /** How long the request stays in quarantine; nothing when it is not. */
  [[nodiscard]] std::optional<Duration> quarantineLeft(
    const Fingerprint& aRequest,
    TimePoint aNow) const;
  /** All requests in quarantine. */
  [[nodiscard]] std::vector<QuarantineRecord> quarantine(TimePoint aNow) const;
  /** Ends that were entered lately, for the others; first those just after the
   * request began. */
  [[nodiscard]] std::vector<CrashReport> latestCrashes(TimePoint aNow,
                                                       std::size_t aMost) const;
  /** Requests that were cleared lately. */
  [[nodiscard]] std::vector<Fingerprint> latestServed(TimePoint aNow) const;

private:
  /** What the end of one replica says of a request. */
  enum class Weight : std::uint8_t
  {
    /** The request has ended well since. */
    Excused,
    Late,
    Early,
  };

  struct End
  {
    Weight weight = Weight::Late;
    TimePoint entered;
  };

  struct Suspect
  {
    std::map<std::string, End> ends;
    /** The latest that was entered. */
    TimePoint latest;
    std::optional<TimePoint> quarantinedSince;
    bool own = false;
    std::optional<TimePoint> servedAt;
    std::optional<TimePoint> trialFrom;
  };

  [[nodiscard]] static bool convicts(const Suspect& aSuspect);
  Suspect& suspectOf(const Fingerprint& aRequest, TimePoint aNow);

  std::map<Fingerprint, Suspect> suspects;
};

} // namespace poplartrack
