#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <variant>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Error.h"
#include "poplartrack/base/LossEvidence.h"
#include "poplartrack/observe/RetryReason.h"
#include "poplartrack/wire/FenceRequest.h"
#include "poplartrack/wire/OpenAttempt.h"
#include "poplartrack/wire/RunStep.h"

namespace poplartrack {

/** Choose a route and answer with onRoute() or onNoRoute(). */
struct NeedRoute
{
  std::uint32_t attempt = 0;
  /** Endpoints that failed this request, to be used only as a last resort. */
  std::set<std::string> avoid;
  bool isRetry = false;
  /** The current attempt continues if there is no other route. Answer at once;
   * it is asked for again. */
  bool keepsAttempt = false;
  /** Those of them that failed last. A route through them replaces no attempt
   * that continues. */
  std::set<std::string> failedLast;
  LossEvidence evidence = LossEvidence::Refusal;
  /** Why it is retried, if isRetry. */
  RetryReason reason = RetryReason::StageLost;
  /** A retry that starts later is not expected to end by the deadline. */
  TimePoint latest{};
};

/** Send, and answer with onOpenReply(). */
struct SendOpen
{
  std::string endpoint;
  std::string address;
  OpenAttempt message;
};

/** Send, and answer with onFirstStepReply(). May be returned twice for an
 * attempt. */
struct SendFirstStep
{
  std::string endpoint;
  std::string address;
  RunStep message;
};

/** Send, and pass it to onFenceReply() with its reply. Send it even after the
 * run has ended: it releases resources at the sides. */
struct SendFence
{
  std::string endpoint;
  std::string address;
  FenceRequest message;
};

/** Pass a committed token to the caller. Index counts from 0. */
struct DeliverToken
{
  std::uint32_t index = 0;
  std::uint32_t token = 0;
};

/** The answer is complete: all of its tokens have been delivered. */
struct Complete
{};

/** The final answer is this error, at once. */
struct GiveUp
{
  Error error;
  RunState ran = RunState::Unknown;
};

using RunAction = std::variant<NeedRoute,
                               SendOpen,
                               SendFirstStep,
                               SendFence,
                               DeliverToken,
                               Complete,
                               GiveUp>;

} // namespace poplartrack
