#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "poplartrack/base/RequestId.h"
#include "poplartrack/wire/LoadHint.h"
#include "poplartrack/wire/MessageKind.h"
#include "poplartrack/wire/Refusal.h"

namespace poplartrack {

/** From entry to side: one call of a plain service. */
struct PlainCall
{
  static constexpr MessageKind kKind = MessageKind::PlainCall;

  RequestId request;
  std::uint32_t attempt = 0;
  /** Incarnation of the side that the entry chose. */
  std::uint64_t incarnation = 0;
  std::string service;
  std::string operation;
  /** JSON text, passed on unchanged. */
  std::string body;
  bool idempotent = true;
  std::uint64_t remainingMicros = 0;
  std::uint64_t revision = 0;

  MSGPACK_DEFINE(request,
                 attempt,
                 incarnation,
                 service,
                 operation,
                 body,
                 idempotent,
                 remainingMicros,
                 revision);
};

/** The service's answer, or why there is none. */
struct PlainReply
{
  static constexpr MessageKind kKind = MessageKind::PlainReply;

  Refusal refusal;
  /** False only if the call certainly did not reach the service. */
  bool mayHaveRun = true;
  /** HTTP status of the service; 0 if the call was rejected. */
  std::uint32_t status = 0;
  std::string body;
  LoadHint load;
  /** The request that this replies to: a caller must never receive the answer
   * to another request. */
  RequestId request;

  MSGPACK_DEFINE(refusal, mayHaveRun, status, body, load, request);
};

} // namespace poplartrack
