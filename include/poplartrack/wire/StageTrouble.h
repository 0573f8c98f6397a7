#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "poplartrack/base/RequestId.h"
#include "poplartrack/wire/MessageKind.h"
#include "poplartrack/wire/Refusal.h"

namespace poplartrack {

/** From a side to the entry: this attempt cannot continue, or may not. */
struct StageTrouble
{
  static constexpr MessageKind kKind = MessageKind::StageTrouble;

  RequestId request;
  std::uint32_t attempt = 0;
  /** The endpoint that failed: the sender's own or that of the next stage. */
  std::string endpoint;
  ErrorKind kind = ErrorKind::Internal;
  std::string detail;
  /** The endpoint is only silent, and the sender repeats its step: the attempt
   * continues if the endpoint does. */
  bool mayContinue = false;

  MSGPACK_DEFINE(request, attempt, endpoint, kind, detail, mayContinue);
};

/** Acknowledgement of the entry. */
struct TroubleReply
{
  static constexpr MessageKind kKind = MessageKind::TroubleReply;

  Refusal refusal;

  MSGPACK_DEFINE(refusal);
};

} // namespace poplartrack
