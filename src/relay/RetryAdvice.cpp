#include "RetryAdvice.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** From when on a caller may come back, and over which time they spread. */
struct Window
{
  Duration least;
  Duration spread;
};

/** Only this relay cannot serve: it stops, starts or is cut off. Another one
 * can at once, and the answer may still be on time. */
constexpr Window kElsewhere{ std::chrono::milliseconds{ 20 },
                             std::chrono::milliseconds{ 150 } };

/** A replica that crashed is back after three to five seconds, and what nobody
 * else can hold is loaded again two to four seconds later. A caller has one
 * return: before that time it is refused again. The answer is late in either
 * case. */
constexpr Window kCrowded{ std::chrono::milliseconds{ 2'500 },
                           std::chrono::milliseconds{ 3'500 } };

/** Nobody can tell which keys hold: the store has been away for all for four
 * seconds, and is away for five to nine as a rule. */
constexpr Window kBlind{ std::chrono::milliseconds{ 3'000 },
                         std::chrono::milliseconds{ 3'000 } };

/** Callers wait for this part of their time at most. */
constexpr int kPartOfTime = 3;

Window
windowOf(const RefusalState& aState)
{
  switch (aState.kind) {
    case ErrorKind::Draining:
      return kElsewhere;
    case ErrorKind::NoConfiguration:
      return aState.othersServe ? kElsewhere : kBlind;
    default:
      return kCrowded;
  }
}

} // namespace

Duration
retryAdvice(const RefusalState& aState)
{
  if (aState.kind == ErrorKind::Quarantined) {
    return aState.quarantineLeft;
  }
  const Window window = windowOf(aState);
  const Duration most = aState.timeLeft / kPartOfTime;
  // A caller with little time gets the same spread in less of it.
  const Duration whole = window.least + window.spread;
  const auto part = static_cast<double>(aState.jitterSeed % 1'000) / 1'000;
  const auto asked = window.least + Duration{
    static_cast<std::int64_t>(part * static_cast<double>(window.spread.count()))
  };
  if (whole <= most) {
    return asked;
  }
  const double scale =
    static_cast<double>(std::max(most, Duration{ 0 }).count()) /
    static_cast<double>(whole.count());
  return Duration{ static_cast<std::int64_t>(
    scale * static_cast<double>(asked.count())) };
}

} // namespace poplartrack
