#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplartrack {

/** How the release of layers of a replica ended. */
enum class ReleaseOutcome : std::uint8_t
{
  /** No request passed through the layers any more: the order was issued. */
  Ordered,
  /** Requests still passed through the layers after the longest wait. */
  Expired,
  /** A copy of the service has lost layers, nobody else holds these, or a
   * replica was lost. */
  Gap,
  /** The replica has left, its layers have changed, or this relay no longer
   * holds the lease. */
  Changed,
  /** A relay has fallen silent or exited: whether requests pass through the
   * layers is not known. */
  Silent,
};

/** Name of each outcome in logs and metrics. */
inline constexpr std::array<std::string_view, 5> kReleaseOutcomeNames{
  "ordered", "expired", "gap", "changed", "silent",
};

constexpr std::string_view
nameOf(ReleaseOutcome aOutcome)
{
  return kReleaseOutcomeNames.at(static_cast<std::size_t>(aOutcome));
}

} // namespace poplartrack
