#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "poplartrack/base/Error.h"
#include "poplartrack/base/LayerRange.h"
#include "poplartrack/wire/OpenAttempt.h"
#include "poplartrack/wire/PlainCall.h"
#include "poplartrack/wire/ReceiptEntry.h"

namespace poplartrack {

/** Give this step to the endpoint. The ledger counts it as run from now on. */
struct RunNow
{
  /** The attempt as it was opened: model, version, route, priority, replyTo. */
  std::shared_ptr<const OpenAttempt> attempt;
  /** The endpoint's name of the attempt's KV: "<request id>-<attempt>". */
  std::string sequence;
  /** The layers to run: the side's own stage. */
  LayerRange layers;
  /** The last stage makes a token; others pass activations to nextStage. */
  bool isLastStage = false;
  /** Where the outputs go: the next stage, or the first stage (as the next
   * step's input) when this is the last one. */
  RouteStage nextStage;
  /** The token this step makes is the last one wanted: no further step. */
  bool isLastToken = false;
  /** The step's receipt with this stage's own entry added. */
  Receipt receipt;
  /** Until when the step may be given to the endpoint. */
  TimePoint deadline{};
};

/** A repeat of a step that was taken before: answer it as accepted. */
struct AlreadyTaken
{};

/** Refuse; the detail is for the reply. */
struct Refuse
{
  Error error;
  /** Whether an earlier step or call of the request reached the endpoint:
   * PlainReply::mayHaveRun. */
  bool everRan = false;
};

using StepVerdict = std::variant<RunNow, AlreadyTaken, Refuse>;

/** What to do with a step's result. */
enum class StepOutcome : std::uint8_t
{
  /** Pass the result on. */
  PassOn,
  /** Drop it: the attempt was fenced, replaced or expired meanwhile. */
  Drop,
};

/** Give this plain call to the endpoint. */
struct RunPlain
{
  TimePoint deadline{};
};

/** The same call is in progress: answer with its reply when it ends. */
struct Join
{};

/** The same call has been answered: answer the same again. */
struct Replay
{
  PlainReply reply;
};

using PlainVerdict = std::variant<RunPlain, Join, Replay, Refuse>;

/** An attempt that is no longer open here: cancel it in the endpoint. */
struct DroppedAttempt
{
  RequestId request;
  std::uint32_t attempt = 0;
  /** Name of its KV in the endpoint. */
  std::string sequence;
  /** The entry to tell, after a restart of the endpoint. */
  std::string replyTo;
};

} // namespace poplartrack
