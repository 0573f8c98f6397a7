#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Attempt.h"
#include "MessageParser.h"
#include "NextAttempt.h"
#include "ReplacedAttempt.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/EventTimes.h"
#include "poplartrack/fleet/LayerPath.h"
#include "poplartrack/fleet/PaceForecast.h"
#include "poplartrack/fleet/RelayConfig.h"
#include "poplartrack/fleet/ReturnSchedule.h"
#include "poplartrack/retry/Fingerprint.h"
#include "poplartrack/retry/RetryPriority.h"

namespace poplartrack {

/** Number of tokens that an event is assumed to hold: the engine may write
 * several at once. */
constexpr int kTokensPerEvent = 2;

/** Number of prompt tokens and expected number of answer tokens. */
struct TokenNeed
{
  double prompt = 0;
  double answer = 0;
};

/** A part of a prompt that other requests may share. */
struct PromptPart
{
  /** Fingerprint of the part, whoever sends it. */
  Fingerprint part;
  /** The part in the requests of this client account. */
  Fingerprint accountPart;
};

/** A request of a caller, from its last received byte to the end of its
 * answer. It may take several attempts at replicas; the current one is its
 * base. */
struct Exchange : Attempt
{
  std::uint64_t id = 0;
  /** Id of the CallerConnection. */
  std::uint64_t caller = 0;
  MessageHead head;
  std::string body;
  std::string requestId;
  /** Fingerprint of the content, computed when first needed; see
   * contentFingerprint(). */
  std::optional<Fingerprint> content;
  /** The parts of the prompt that other requests may share, computed when first
   * needed; see promptParts(). */
  std::optional<std::vector<PromptPart>> parts;
  /** The configuration that admitted the request. It owns route, account and
   * service. */
  std::shared_ptr<const RelayConfig> config;
  const RelayRoute* route = nullptr;
  const RelayAccount* account = nullptr;
  /** The request needs an API key: it is sent only while the configuration is
   * known to be fresh. */
  bool keyed = false;
  /** Its first byte arrived when there were no limits yet. */
  bool unlimited = false;
  const RelayService* service = nullptr;
  TimePoint arrived{};
  /** How long the caller waits after arrived, if the request says so. */
  std::optional<Duration> deadline;
  /** The caller's deadline or the route's timeout, whichever is earlier. */
  TimePoint giveUpAt{};
  TokenNeed need;

  /** Tokens for which the load tracker reserves memory along the path. */
  double reservedTokens = 0;
  /** The current attempt is counted in the load of its replicas. */
  bool loadRecorded = false;
  /** The load tracker counts its prompt as being in prefill. */
  bool prefillRecorded = false;
  /** When the prefill of a whole answer is expected to be over; nothing for a
   * stream, whose first event shows it. */
  std::optional<TimePoint> prefillEndsAt;
  /** The parts of the path that prefill; nullopt: all of them. */
  std::optional<LayerPath> prefillParts;
  /** Tokens that each of them prefills, as counted by the load tracker. */
  double prefillTokens = 0;
  /** Number of earlier attempts that may have run. While it is 0, the current
   * attempt is the only one that can have run. */
  int runs = 0;
  /** Number of attempts sent, including those that replicas refused. */
  int sends = 0;
  /** Replicas that refused this request or failed under it. */
  std::set<std::string> avoid;
  /** The attempt that is to take the place of the current one, while its
   * connection is being established. */
  std::optional<NextAttempt> next;
  /** The attempt whose place the current one has taken, until the answer of
   * that one begins. */
  std::optional<ReplacedAttempt> replaced;
  /** The next attempt is a retry that is not charged to the retry budget yet.
   */
  bool needsRetryBudget = false;
  /** Since when it has been waiting for a path or for the retry budget. */
  std::optional<TimePoint> waitingSince;
  /** Its start was counted for the queue limit; reset when it waits again. */
  bool startRecorded = false;
  /** The pace gate has held it back. */
  bool paceHeld = false;
  /** The pace gate refuses it. */
  bool paceRefused = false;
  /** The latest forecast by which it was held back. */
  std::optional<PaceForecast> pace;

  /** Tokens that AccountCapacity counts for it as in use, and as waiting. */
  std::optional<double> countedUse;
  std::optional<double> countedWaiting;
  /** It has started or waited, so that it is decided whether it counts as usual
   * use of its account: only a first start without a wait does. */
  bool usualDecided = false;
  /** The last search found no path because capacity is short. */
  bool lacksCapacity = false;
  /** Its account was beyond its share when a path was last looked for. */
  bool beyondShare = false;

  /** How long after its booked time the caller returned, negative if before it;
   * set only if it had been told to return. */
  std::optional<Duration> returnedAfterDue;
  /** The delay after which a rejected caller is told to return. */
  std::optional<Duration> retryAfter;
  /** The booking of that return, if there is one. */
  std::optional<ReturnBooking> booking;

  /** The head of the answer has been sent to the caller. */
  bool answering = false;
  /** The answer is an event stream. */
  bool streaming = false;
  /** Id of the last event that the caller has, from this stream or, for a
   * resumed one, as the request says. */
  std::optional<std::uint64_t> lastEvent;
  /** Number of events sent to the caller. */
  std::uint32_t events = 0;
  /** Number of earlier attempts that went on after an event and then ended in
   * the regular way without a further one. */
  std::uint32_t emptyEnds = 0;
  /** An attempt ended inside an event, and none has come since: there is at
   * least that one to come. */
  bool hasLostPartialEvent = false;
  /** An event without an id was sent to the caller. A further attempt could not
   * be told to go on after it. */
  bool hasUnnumberedEvent = false;
  /** When the events sent to the caller arrived. */
  EventTimes eventTimes;
  /** StreamProgress::lastEvent when it was last late and led to a check for
   * losses. It leads to one check for each event. */
  TimePoint checkedFor{};
  /** A replica of its path was lost since the last event. */
  bool disturbedByLoss = false;
  /** Number of orders to move the request to another path. */
  std::uint32_t repairs = 0;
  /** When the last move off a draining replica was tried. */
  TimePoint moveTriedAt{};
  /** Time from arrival to the first event. */
  Duration firstEvent{ 0 };
};

/** Delay until another path is looked for again if there was none. */
constexpr Duration kMoveRetryDelay = std::chrono::milliseconds{ 150 };

/** Maximum number of attempts for one request, including refused ones. */
constexpr int kMaxSends = 4;

/** Returns whether a further attempt keeps to the maximum number of them. */
bool
maySendAgain(const Exchange& aExchange);

/** Returns the urgency of a request at a replica, from 0, the most urgent,
 * to 9. The account's priority takes precedence over the route's. */
int
urgencyOf(const Exchange& aExchange);

/** Returns the kind of retry that the request would need, depending on whether
 * its answer has started. */
RetryPriority
retryNeedOf(const Exchange& aExchange);

/** Chooses a service among the route's targets by weight. The choice depends on
 * the request id only, so a retry goes to the same service. */
const RelayService*
pickService(const Exchange& aExchange);

} // namespace poplartrack
