// Replicas that limit how many requests a second they take.

#include <charconv>
#include <cmath>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

std::optional<double>
decimalIn(std::string_view aText)
{
  double number = 0;
  const char* const end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  const bool whole = error == std::errc{} && stop == end;
  if (!whole || !std::isfinite(number) || number < 0) {
    return std::nullopt;
  }
  return number;
}

} // namespace

/** Takes over whether the replica's answer names a limit. */
void
RelayLoop::Impl::noteLimit(Exchange& aExchange, const HeaderList& aHeaders)
{
  const auto field = aHeaders.find(this->names.rateLimit);
  if (!field) {
    return;
  }
  aExchange.namedLimit = decimalIn(*field);
  this->shared.metrics.count(aExchange.namedLimit
                               ? "answers_with_limit_total"
                               : "answers_with_unreadable_limit_total");
}

} // namespace poplartrack
