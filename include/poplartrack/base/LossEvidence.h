#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplartrack {

/** What takes a replica or another endpoint out of use.
 * docs/design/loss-detection.md says for each kind what it may do, for how
 * long, and what ends it. */
enum class LossEvidence : std::uint8_t
{
  /** No answer, no connection or no progress in time. A sound replica may be
   * silent for a second. */
  Silence,
  /** It has refused a request without running it, answered with an error, or
   * closed a connection. */
  Refusal,
  /** A new process runs at its address. */
  Restart,
  /** Nothing listens at its address. */
  Exit,
};

/** Name of each kind of evidence in logs. */
inline constexpr std::array<std::string_view, 4> kLossEvidenceNames{
  "silence",
  "refusal",
  "restart",
  "exit",
};

constexpr std::string_view
nameOf(LossEvidence aEvidence)
{
  return kLossEvidenceNames.at(static_cast<std::size_t>(aEvidence));
}

} // namespace poplartrack
