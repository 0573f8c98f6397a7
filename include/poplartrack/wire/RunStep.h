#pragma once

#include <cstdint>
#include <vector>

#include <msgpack.hpp>

#include "poplartrack/base/RequestId.h"
#include "poplartrack/wire/MessageKind.h"
#include "poplartrack/wire/ReceiptEntry.h"
#include "poplartrack/wire/Refusal.h"

namespace poplartrack {

/**
 * Runs the receiving stage's layers on these inputs. The first step of an
 * attempt is sent by the entry (prefill), later ones from side to side.
 * Duplicates are harmless: the side runs a position once and answers duplicates
 * as accepted.
 */
struct RunStep
{
  static constexpr MessageKind kKind = MessageKind::RunStep;

  RequestId request;
  std::uint32_t attempt = 0;
  /** Position of the first input. */
  std::uint32_t position = 0;
  /** The first layer to run on the inputs, where the previous stage ended. */
  std::uint32_t layer = 0;
  /** Token ids at layer 0, activations at later layers; one for each
   * position. */
  std::vector<std::uint64_t> inputs;
  /** Stages that ran before this one in the same step. */
  Receipt receipt;
  /** Time until the deadline when the message was sent. */
  std::uint64_t remainingMicros = 0;

  MSGPACK_DEFINE(request,
                 attempt,
                 position,
                 layer,
                 inputs,
                 receipt,
                 remainingMicros);
};

/** Whether the step was accepted, so that it will run or has run. It does not
 * contain the step's result. */
struct StepReply
{
  static constexpr MessageKind kKind = MessageKind::StepReply;

  Refusal refusal;
  /** Request and attempt of the step: the reply to another one must not count
   * as proof that this step was rejected. */
  RequestId request;
  std::uint32_t attempt = 0;

  MSGPACK_DEFINE(refusal, request, attempt);
};

} // namespace poplartrack
