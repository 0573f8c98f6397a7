#pragma once

#include <cstdint>

namespace poplartrack {

/** The first field of a frame's payload. Only append new values. */
enum class MessageKind : std::uint8_t
{
  OpenAttempt,
  OpenReply,
  RunStep,
  StepReply,
  TokenReady,
  TokenReply,
  StageTrouble,
  TroubleReply,
  FenceRequest,
  FenceReply,
  PlainCall,
  PlainReply,
  Probe,
  ProbeReply,
  EndpointOrder,
  OrderReply,
  ConfigFetch,
  ConfigReply,
  ShareWishes,
  ShareGrants,
};

/** Frames with a higher kind are malformed. */
constexpr MessageKind kLastMessageKind = MessageKind::ShareGrants;

} // namespace poplartrack
