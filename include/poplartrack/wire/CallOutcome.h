#pragma once

#include <cstdint>
#include <string>

namespace poplartrack {

/** Outcome of a call between processes. */
enum class CallOutcome : std::uint8_t
{
  /** The peer answered. */
  Replied,
  /** The call certainly did not reach the peer's handler. */
  NotSent,
  /** Cut or timed out after sending: it may have been or still be handled. */
  Unknown,
};

/** Outcome of a call, and the frame of the reply if it was answered. */
struct CallResult
{
  CallOutcome outcome = CallOutcome::Unknown;
  std::string frame;
  std::string detail;
  /** Ended by a timeout: the peer sent neither a reply nor a refusal, and may
   * go on. */
  bool silent = false;
};

} // namespace poplartrack
