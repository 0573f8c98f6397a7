#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Priority.h"
#include "poplartrack/base/RequestId.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/entry/Pace.h"
#include "poplartrack/entry/RunAction.h"
#include "poplartrack/entry/RunPolicy.h"
#include "poplartrack/wire/CallOutcome.h"
#include "poplartrack/wire/OpenAttempt.h"
#include "poplartrack/wire/StageTrouble.h"
#include "poplartrack/wire/TokenReady.h"

namespace poplartrack {

/** One accepted model request. */
struct RequestSpec
{
  /** Random id, unique to this run: a retry of the caller has another one. */
  RequestId request;
  std::string model;
  std::string modelVersion;
  /** Layers of the whole model. */
  std::uint32_t layers = 0;
  std::vector<std::uint32_t> prompt;
  std::uint32_t tokensWanted = 0;
  TimePoint deadline{};
  Priority priority = Priority::Normal;
  /** The entry's address, for tokens and reports of failed stages. */
  std::string replyTo;
  std::uint64_t revision = 0;
};

/** The reply to the side that sent a token, and the resulting actions. */
struct TokenVerdict
{
  Refusal reply;
  std::vector<RunAction> actions;
};

/**
 * One model request at the entry, from its first route to its one final
 * answer: a pure function of events and time. Each event returns the actions to
 * execute, in order. Events of past attempts are ignored, so the owner may
 * deliver them late, twice or reordered.
 *
 * Exactly one Complete or GiveUp is returned. After it ended() is true and only
 * SendFence may follow.
 */
class RequestRun
{
public:
  /** BadRequest if prompt, tokens or layers are empty. */
  static Result<RequestRun> create(RequestSpec aSpec,
                                   RunPolicy aPolicy,
                                   TimePoint aNow);

  std::vector<RunAction> start(TimePoint aNow);
  std::vector<RunAction> onRoute(std::uint32_t aAttempt,
                                 const Route& aRoute,
                                 TimePoint aNow,
                                 const ExpectedPace& aExpected = {});
  std::vector<RunAction> onNoRoute(std::uint32_t aAttempt,
                                   const Error& aError,
                                   TimePoint aNow);
  /** @param aStage index in the attempt's route, as in the message sent */
  std::vector<RunAction> onOpenReply(std::uint32_t aAttempt,
                                     std::uint32_t aStage,
                                     CallOutcome aOutcome,
                                     const OpenReply& aReply,
                                     TimePoint aNow);
  std::vector<RunAction> onFirstStepReply(std::uint32_t aAttempt,
                                          CallOutcome aOutcome,
                                          const StepReply& aReply,
                                          TimePoint aNow);
  TokenVerdict onToken(const TokenReady& aToken, TimePoint aNow);
  std::vector<RunAction> onTrouble(const StageTrouble& aTrouble,
                                   TimePoint aNow);
  /** @param aSent the action that is answered */
  std::vector<RunAction> onFenceReply(const SendFence& aSent,
                                      CallOutcome aOutcome,
                                      const FenceReply& aReply,
                                      TimePoint aNow);
  /** Probes show that the endpoint is dead or has another incarnation. */
  std::vector<RunAction> onEndpointGone(const std::string& aEndpoint,
                                        TimePoint aNow);
  std::vector<RunAction> onCallerGone(TimePoint aNow);
  /** The entry ends: its caller gets an answer now. */
  std::vector<RunAction> onEntryEnds();
  /** Call at nextWake() or later; earlier calls have no effect. */
  std::vector<RunAction> onTick(TimePoint aNow);

  /** Returns when to call onTick(); nullopt once the run has ended. */
  [[nodiscard]] std::optional<TimePoint> nextWake() const;
  [[nodiscard]] bool ended() const { return this->phase == Phase::Ended; }
  [[nodiscard]] std::uint32_t attempt() const { return this->attemptNumber; }
  /** The current attempt's route; empty while there is none. */
  [[nodiscard]] const Route& route() const { return this->currentRoute; }
  /** Returns whether the stalled attempt would be given up for this route. */
  [[nodiscard]] bool mayBeReplacedBy(const Route& aRoute) const;
  /** Tokens committed so far. */
  [[nodiscard]] const std::vector<std::uint32_t>& committed() const
  {
    return this->tokens;
  }

private:
  enum class Phase : std::uint8_t
  {
    Created,
    /** Waiting for a route. */
    Routing,
    /** Waiting for all sides to agree. */
    Opening,
    /** The first step is sent; tokens arrive. */
    Running,
    /** Stalled, but still running: waiting briefly for the sides that reply. */
    Blaming,
    /** Stalled, but still running: waiting for a route to replace it. */
    Replacing,
    /** Given up: waiting briefly for proof that nothing ran. */
    Proving,
    Ended,
  };
  enum class Proof : std::uint8_t
  {
    Open,
    /** The first stage's side reports that nothing ran and nothing will. */
    NotRun,
    /** It ran, or its side does not reply. */
    None,
  };
  /** An attempt whose first step was sent, and what is known of it. */
  struct Started
  {
    std::uint32_t attempt = 0;
    /** The first stage: nothing runs anywhere before it does. */
    std::string endpoint;
    std::uint64_t incarnation = 0;
    Proof proof = Proof::Open;
  };
  using Actions = std::vector<RunAction>;

  RequestRun(RequestSpec aSpec, RunPolicy aPolicy);

  [[nodiscard]] bool coversModel(const Route& aRoute) const;
  [[nodiscard]] bool isCurrent(std::uint32_t aAttempt, Phase aPhase) const;
  /** The attempt's first step is sent, and its tokens are accepted. */
  [[nodiscard]] bool isRunning(std::uint32_t aAttempt) const;
  /** The attempt may be in progress at the sides. */
  [[nodiscard]] bool isUnderWay() const;
  [[nodiscard]] Refusal checkToken(const TokenReady& aToken) const;
  [[nodiscard]] std::uint32_t nextPosition() const;
  [[nodiscard]] std::uint32_t tokensLeft() const;
  /** Returns when the remaining work must start to end by the deadline. */
  [[nodiscard]] TimePoint latestStart() const;
  [[nodiscard]] bool hasHope(TimePoint aNow) const;
  /** Returns why no further attempt may start; nullopt if one may. */
  [[nodiscard]] std::optional<Error> whyNoRetry(TimePoint aNow) const;
  [[nodiscard]] bool allProved(Proof aProof) const;
  [[nodiscard]] bool anyProved(Proof aProof) const;
  [[nodiscard]] std::uint64_t remainingMicros(TimePoint aNow) const;
  [[nodiscard]] SendOpen openFor(std::uint32_t aStage, TimePoint aNow) const;
  [[nodiscard]] SendFirstStep firstStep(TimePoint aNow) const;
  void noteRejection(CallOutcome aOutcome, TimePoint aNow);
  Actions startAttempt(TimePoint aNow);
  void commitReady(TimePoint aNow, Actions& aActions);
  void fenceRoute(std::uint32_t aBelow,
                  bool aFinished,
                  Actions& aActions) const;
  void noteProof(const SendFence& aSent,
                 CallOutcome aOutcome,
                 const FenceReply& aReply,
                 TimePoint aNow);
  /** Ends the current attempt because of these endpoints. */
  Actions nextAttempt(RetryReason aReason,
                      const std::set<std::string>& aFailed,
                      TimePoint aNow,
                      LossEvidence aEvidence = LossEvidence::Refusal);
  Actions askForRoute(RetryReason aReason, Actions aActions);
  Actions openRoute(const Route& aRoute,
                    TimePoint aNow,
                    const ExpectedPace& aExpected);
  Actions onOpenTimeout(TimePoint aNow);
  Actions onStall(TimePoint aNow);
  Actions onSilentStage(const std::string& aEndpoint, TimePoint aNow);
  Actions endBlame(TimePoint aNow);
  Actions askForReplacement(RetryReason aReason, TimePoint aNow);
  Actions keepAttempt(TimePoint aNow);
  Actions giveUp(Error aError, TimePoint aNow);
  void finishGivingUp(RunState aRan, Actions& aActions);

  RequestSpec spec;
  RunPolicy policy;
  Phase phase = Phase::Created;
  std::uint32_t attemptNumber = 0;
  Route currentRoute;
  std::set<std::uint32_t> agreed;
  /** Since when sides have rejected each attempt to open. */
  std::optional<TimePoint> rejectedSince;
  std::set<std::string> avoid;
  std::vector<std::uint32_t> tokens;
  /** Tokens that arrived before an earlier one, by position. */
  std::map<std::uint32_t, std::uint32_t> early;
  std::uint32_t firstStepSends = 0;
  /** A send of the current attempt's first step has an unknown outcome. */
  bool firstStepMayHaveArrived = false;
  bool firstStepAccepted = false;
  std::vector<Started> started;
  /** Endpoints of the current route whose sides do not reply. */
  std::set<std::string> silent;
  std::uint32_t stallsWithoutBlame = 0;
  Pace pace;
  /** When the current phase stops waiting; while Running, before when a stall
   * is not acted on. */
  TimePoint phaseEnd{};
  Error givenUpFor;
};

} // namespace poplartrack
