#pragma once

#include <cstdint>
#include <optional>

#include "poplartrack/base/Clock.h"
#include "poplartrack/entry/RunPolicy.h"

namespace poplartrack {

/** The times that the route choice expects of a route; 0 if unknown. */
struct ExpectedPace
{
  Duration firstToken{ 0 };
  Duration perToken{ 0 };
};

/**
 * The time between the tokens of one request, from which stall timeouts and the
 * remaining time are estimated. A fixed timeout is either shorter than a long
 * prefill and ends healthy work, or longer than a short answer and does not
 * detect a suspended stage. The smoothed gap of the request itself fits both.
 */
class Pace
{
public:
  explicit Pace(RunPolicy aPolicy)
    : policy(aPolicy)
  {
  }

  /** The coming attempt's route is expected to have this pace. Without it a
   * slow but healthy engine's first tokens count as stalls: each request is
   * then retried until the retry budget is spent, on every route there is. */
  void expect(const ExpectedPace& aExpected);
  /** An attempt's first step is sent, with so many inputs. */
  void onAttempt(std::uint32_t aPrefillTokens, TimePoint aNow);
  /** A token was committed. */
  void onToken(TimePoint aNow);
  /** Whether the current attempt has made a token. */
  [[nodiscard]] bool hasToken() const { return this->attemptHasToken; }
  /** When the attempt counts as stalled if no token comes before. */
  [[nodiscard]] TimePoint stallsAt() const;
  /** What a new attempt is expected to take until its last token. */
  [[nodiscard]] Duration expectedFor(std::uint32_t aPrefillTokens,
                                     std::uint32_t aTokensLeft) const;

private:
  [[nodiscard]] Duration gap() const;
  [[nodiscard]] Duration firstToken(std::uint32_t aPrefillTokens) const;

  RunPolicy policy;
  std::optional<Duration> smoothedGap;
  Duration expectedFirst{ 0 };
  bool attemptHasToken = false;
  std::uint32_t prefill = 0;
  TimePoint last{};
};

} // namespace poplartrack
