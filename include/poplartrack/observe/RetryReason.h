#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplartrack {

/** Why work was tried again. Each has a counter. */
enum class RetryReason : std::uint8_t
{
  OpenRefused,
  StageLost,
  StageStalled,
  StageTrouble,
  StepUnacknowledged,
  PlainNotRun,
  PlainIdempotent,
  PlatformUnavailable,
  ClaimUnknown,
  ReplicaRefused,
  ReplicaFailed,
  StreamBroken,
  PathRepaired,
};

constexpr std::size_t kRetryReasonCount =
  static_cast<std::size_t>(RetryReason::PathRepaired) + 1;

constexpr std::array<std::string_view, kRetryReasonCount> kRetryReasonNames{
  "open_refused",     "stage_lost",           "stage_stalled",
  "stage_trouble",    "step_unacknowledged",  "plain_not_run",
  "plain_idempotent", "platform_unavailable", "claim_unknown",
  "replica_refused",  "replica_failed",       "stream_broken",
  "path_repaired",
};

/** The reason's stable name. */
constexpr std::string_view
nameOf(RetryReason aReason)
{
  return kRetryReasonNames[static_cast<std::size_t>(aReason)];
}

} // namespace poplartrack
