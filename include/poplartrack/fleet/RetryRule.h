#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplartrack {

/** What a route allows after an attempt with an unknown outcome. */
enum class RetryRule : std::uint8_t
{
  /** A request may run more than once. */
  Idempotent,
  /** A request runs at most once for each attempt of the client. */
  AtMostOnce,
  /** An event stream: like AtMostOnce, unless the route allows a stream to be
   * resumed after its last event. */
  Stream,
};

constexpr std::array<std::string_view, 3> kRetryRuleNames{ "idempotent",
                                                           "at_most_once",
                                                           "stream" };

/** Returns the rule's name in logs and metrics. */
constexpr std::string_view
nameOf(RetryRule aRule)
{
  return kRetryRuleNames[static_cast<std::size_t>(aRule)];
}

} // namespace poplartrack
