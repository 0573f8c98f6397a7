#pragma once

#include <cstdint>

#include <msgpack.hpp>

#include "poplartrack/base/RequestId.h"
#include "poplartrack/wire/MessageKind.h"
#include "poplartrack/wire/Refusal.h"

namespace poplartrack {

/**
 * From entry to side: attempts below this number must never run another step
 * there. kFenceAll is a tombstone for the request. Idempotent.
 */
struct FenceRequest
{
  static constexpr MessageKind kKind = MessageKind::FenceRequest;
  static constexpr std::uint32_t kFenceAll = 0xFFFFFFFFU;

  RequestId request;
  std::uint32_t below = 0;
  /** The request succeeded; the side may forget it after a while. */
  bool finished = false;

  MSGPACK_DEFINE(request, below, finished);
};

/** The side's acknowledgement, the only proof that a request has not run. */
struct FenceReply
{
  static constexpr MessageKind kKind = MessageKind::FenceReply;

  Refusal refusal;
  /** Whether any step or call of the request ever reached the endpoint. */
  bool everRan = false;
  /** Incarnation of the replying side. An earlier one may have run it. */
  std::uint64_t incarnation = 0;
  /** The fence that this replies to: the reply to another one must not count as
   * proof. */
  RequestId request;
  std::uint32_t below = 0;

  MSGPACK_DEFINE(refusal, everRan, incarnation, request, below);
};

} // namespace poplartrack
