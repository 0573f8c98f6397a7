#pragma once

#include <optional>
#include <string>

#include "poplartrack/base/Timers.h"
#include "poplartrack/ledger/StepFollowUp.h"
#include "poplartrack/observe/Metrics.h"
#include "poplartrack/side/EndpointWatch.h"
#include "poplartrack/side/EngineClient.h"
#include "poplartrack/side/SideLedger.h"
#include "poplartrack/wire/StageTrouble.h"
#include "poplartrack/wire/StreamClient.h"

namespace poplartrack {

/** What the parts of a side share. All of it outlives them. */
struct SideParts
{
  SideLedger& ledger;
  EndpointWatch& watch;
  EngineClient& engine;
  StreamClient& peers;
  Timers& timers;
  Metrics& metrics;
  std::string endpoint;
};

/**
 * Runs this side's stage of model requests: checks each step with the ledger,
 * which makes all decisions, sends it to the endpoint, and passes the result to
 * the next stage and tokens to the entry.
 */
class StageRunner
{
public:
  explicit StageRunner(SideParts aParts);

  /** Accepts or rejects an attempt. */
  OpenReply open(const OpenAttempt& aOpen);
  /** Accepts or rejects a step. An accepted one runs after the reply. */
  StepReply step(const RunStep& aStep);
  /** Fences attempts of a request. */
  FenceReply fence(const FenceRequest& aFence);
  /** Handles a restart of the endpoint: all attempts in progress are lost. */
  void onEndpointRestarted(std::uint64_t aNewIncarnation);
  /** Cancels attempts past their deadlines; call at least once a second. */
  void expire();
  /** Returns the load hint for replies. */
  LoadHint load();

private:
  void dispatch(const RunNow& aRun, const RunStep& aStep);
  void onEngineDone(const RunNow& aRun,
                    const RunStep& aStep,
                    const Result<EngineOutput>& aResult);
  void passOn(const RunNow& aRun,
              const RunStep& aStep,
              const EngineOutput& aOutput);
  void sendStep(const RunNow& aRun, const RunStep& aStep);
  /** A step on its way to the next stage. */
  struct StepOffer
  {
    RunNow run;
    RunStep step;
    Address next;
    /** When the next stage was reported as silent, if it was. */
    std::optional<TimePoint> silentSince;
  };
  void offerStep(const StepOffer& aOffer);
  void onStepOffered(const StepOffer& aOffer,
                     const TypedResult<StepReply>& aResult);
  /** Reports the next stage once, and offers the step again while the attempt
   * is open. */
  void onNextStageSilent(StepOffer aOffer, const std::string& aDetail);
  void sendToken(const RunNow& aRun, const TokenReady& aToken);
  /** Ends an attempt whose tokens the entry no longer accepts.
   * @param aEntryLives whether the entry rejected the token; otherwise it did
   * not reply */
  void dropOrphan(const RunNow& aRun, bool aEntryLives);
  void abandon(const RunNow& aRun,
               const std::string& aBlamed,
               const Error& aError);
  void tellTrouble(const std::string& aEntry, const StageTrouble& aTrouble);
  void cancelDropped();

  SideParts parts;
};

} // namespace poplartrack
