#include "poplartrack/fleet/ReplicaSignals.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>

namespace poplartrack {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/** A longer backoff counts as this one, so that its end can be represented. */
constexpr double kMaxBackoffSeconds = 86'400;

/** Parses a non-negative finite decimal number; nullopt if the text is not one.
 */
std::optional<double>
parseDecimal(std::string_view aText)
{
  double number = 0;
  const char* const end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  const bool valid = error == std::errc{} && stop == end;
  if (!valid || !std::isfinite(number) || number < 0) {
    return std::nullopt;
  }
  return number;
}

std::optional<Duration>
parseSeconds(std::string_view aText)
{
  const std::optional<double> seconds = parseDecimal(aText);
  if (!seconds) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(*seconds, kMaxBackoffSeconds)));
}

} // namespace

ReplicaSignals
parseSignals(const SignalFields& aFields)
{
  ReplicaSignals signals;
  const bool rejected =
    aFields.status == kTooManyRequests || aFields.status == kUnavailable;
  if (rejected && aFields.retryAfter) {
    signals.backoff = parseSeconds(*aFields.retryAfter);
    signals.hasUnreadableBackoff = !signals.backoff;
  }
  if (aFields.rateLimit) {
    signals.rateLimit = parseDecimal(*aFields.rateLimit);
    signals.hasUnreadableLimit = !signals.rateLimit;
  }
  signals.draining = aFields.draining == "1";
  return signals;
}

} // namespace poplartrack
