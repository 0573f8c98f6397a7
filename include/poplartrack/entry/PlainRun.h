#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/RequestId.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/entry/RunAction.h"
#include "poplartrack/wire/CallOutcome.h"
#include "poplartrack/wire/PlainCall.h"

namespace poplartrack {

/** One accepted call of a plain service. */
struct PlainSpec
{
  /** Unique to this run, or requestIdForKey() if the call has a claim. */
  RequestId request;
  std::string service;
  std::string operation;
  std::string body;
  bool idempotent = true;
  TimePoint deadline{};
  std::uint64_t revision = 0;
};

/** How a plain call retries. */
struct PlainPolicy
{
  std::uint32_t maxAttempts = 4;
  /** An idempotent call is retried elsewhere after this long without a reply,
   * if there is another endpoint. */
  Duration callWait = std::chrono::seconds{ 1 };
  /** How long to wait for the fence reply that could prove that the call did
   * not run. */
  Duration proofWait = std::chrono::milliseconds{ 200 };
};

/** The side to call. */
struct PlainTarget
{
  std::string endpoint;
  std::uint64_t incarnation = 0;
  std::string address;
};

/** Choose an endpoint and answer with onEndpoint() or onNoEndpoint(). */
struct NeedEndpoint
{
  std::uint32_t attempt = 0;
  /** Endpoints that failed this call: never choose them for a call that is
   * not idempotent. */
  std::set<std::string> avoid;
  /** Those of them that were only silent at a connect, so that nothing was
   * sent: choose one of them rather than none. */
  std::set<std::string> lastResort;
  bool isRetry = false;
  RetryReason reason = RetryReason::PlainNotRun;
  /** The call in progress continues if there is no other endpoint. */
  bool keepsAttempt = false;
};

/** Send, and answer with onPlainReply(). */
struct SendPlain
{
  std::string endpoint;
  std::string address;
  PlainCall message;
};

/** The final answer: that of the service. */
struct Answer
{
  std::uint32_t status = 0;
  std::string body;
};

using PlainAction =
  std::variant<NeedEndpoint, SendPlain, SendFence, Answer, GiveUp>;

/**
 * One call of a plain service at the entry. Exactly one Answer or GiveUp is
 * returned. A call that is not idempotent is sent to a second endpoint only
 * with proof that it did not run at the first.
 */
class PlainRun
{
public:
  /** BadRequest if service or operation is empty. */
  static Result<PlainRun> create(PlainSpec aSpec, PlainPolicy aPolicy);

  std::vector<PlainAction> start(TimePoint aNow);
  std::vector<PlainAction> onEndpoint(std::uint32_t aAttempt,
                                      const PlainTarget& aTarget,
                                      TimePoint aNow);
  std::vector<PlainAction> onNoEndpoint(std::uint32_t aAttempt,
                                        const Error& aError,
                                        TimePoint aNow);
  std::vector<PlainAction> onPlainReply(std::uint32_t aAttempt,
                                        CallOutcome aOutcome,
                                        const PlainReply& aReply,
                                        TimePoint aNow);
  /** The side was silent at the connect, so the call was not sent. */
  std::vector<PlainAction> onUnreached(std::uint32_t aAttempt, TimePoint aNow);
  /** @param aSent the action that is answered */
  std::vector<PlainAction> onFenceReply(const SendFence& aSent,
                                        CallOutcome aOutcome,
                                        const FenceReply& aReply,
                                        TimePoint aNow);
  std::vector<PlainAction> onEndpointGone(const std::string& aEndpoint,
                                          TimePoint aNow);
  std::vector<PlainAction> onCallerGone(TimePoint aNow);
  /** The entry ends: its caller gets an answer now. */
  std::vector<PlainAction> onEntryEnds();
  std::vector<PlainAction> onTick(TimePoint aNow);

  /** Returns when to call onTick(); nullopt once the call has ended. */
  [[nodiscard]] std::optional<TimePoint> nextWake() const;
  [[nodiscard]] bool ended() const { return this->phase == Phase::Ended; }
  [[nodiscard]] std::uint32_t attempt() const { return this->attemptNumber; }

private:
  enum class Phase : std::uint8_t
  {
    Created,
    Choosing,
    Calling,
    /** Calling, without a reply for long: choosing another endpoint. */
    Replacing,
    /** Outcome unknown: waiting for the fence's reply. */
    Proving,
    Ended,
  };
  using Actions = std::vector<PlainAction>;

  PlainRun(PlainSpec aSpec, PlainPolicy aPolicy);

  [[nodiscard]] bool isCurrent(std::uint32_t aAttempt, Phase aPhase) const;
  /** The call is sent and its reply is accepted. */
  [[nodiscard]] bool isCalling() const;
  [[nodiscard]] SendFence fenceTarget(std::uint32_t aBelow) const;
  Actions callTarget(const PlainTarget& aTarget, TimePoint aNow);
  Actions askForReplacement();
  Actions elsewhere(RetryReason aReason, const Error& aError, TimePoint aNow);
  Actions onUnknownOutcome(const Error& aError, TimePoint aNow);
  /** Ends the call at once, as unknown if it may have run. */
  Actions abandon(ErrorKind aKind);
  Actions giveUp(Error aError);

  PlainSpec spec;
  PlainPolicy policy;
  Phase phase = Phase::Created;
  std::uint32_t attemptNumber = 0;
  PlainTarget target;
  std::set<std::string> avoid;
  std::set<std::string> unreached;
  /** Some attempt reached a side and its outcome is unknown. */
  bool mayHaveRun = false;
  TimePoint phaseEnd{};
};

} // namespace poplartrack
