#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "poplartrack/base/Priority.h"
#include "poplartrack/base/RequestId.h"
#include "poplartrack/wire/LoadHint.h"
#include "poplartrack/wire/MessageKind.h"
#include "poplartrack/wire/Refusal.h"
#include "poplartrack/wire/RouteStage.h"

MSGPACK_ADD_ENUM(poplartrack::Priority)

namespace poplartrack {

/**
 * From entry to every side of a route, before any step: opens an attempt.
 * Nothing runs until all sides have accepted it, so after a rejection the
 * request has certainly not run.
 */
struct OpenAttempt
{
  static constexpr MessageKind kKind = MessageKind::OpenAttempt;

  RequestId request;
  /** Starts at 1. A higher number fences all lower ones at the side. */
  std::uint32_t attempt = 0;
  std::string model;
  std::string modelVersion;
  /** Layers of the whole model; the route covers [0, layers). */
  std::uint32_t layers = 0;
  Route route;
  /** Index of the receiving side's stage in the route. */
  std::uint32_t stage = 0;
  /** Position of the first input of the attempt's first step; always 0 until
   * KV import fills the positions before it. */
  std::uint32_t firstPosition = 0;
  /** Inputs of the first step: prompt and committed tokens. */
  std::uint32_t prefillTokens = 0;
  /** Number of tokens that the attempt is to generate. */
  std::uint32_t tokensWanted = 0;
  /** Time until the deadline when the message was sent. */
  std::uint64_t remainingMicros = 0;
  Priority priority = Priority::Normal;
  /** The entry's address, for tokens and reports of failed stages. */
  std::string replyTo;
  /** The configuration revision that the entry has in force. */
  std::uint64_t revision = 0;

  MSGPACK_DEFINE(request,
                 attempt,
                 model,
                 modelVersion,
                 layers,
                 route,
                 stage,
                 firstPosition,
                 prefillTokens,
                 tokensWanted,
                 remainingMicros,
                 priority,
                 replyTo,
                 revision);
};

/** The side's reply to OpenAttempt. */
struct OpenReply
{
  static constexpr MessageKind kKind = MessageKind::OpenReply;

  Refusal refusal;
  LoadHint load;

  MSGPACK_DEFINE(refusal, load);
};

} // namespace poplartrack
