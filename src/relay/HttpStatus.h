#pragma once

namespace poplartrack {

/** The deadline of a request ended at the replica. */
constexpr int kGatewayTimeout = 504;

/** Returns whether the status is that of an interim answer (1xx), which another
 * answer follows. */
constexpr bool
isInterim(int aStatus)
{
  constexpr int kContinue = 100;
  constexpr int kOk = 200;
  return aStatus >= kContinue && aStatus < kOk;
}

/** Returns whether the status of an answer is a success (2xx). */
constexpr bool
isSuccess(int aStatus)
{
  constexpr int kOk = 200;
  constexpr int kMultipleChoices = 300;
  return aStatus >= kOk && aStatus < kMultipleChoices;
}

} // namespace poplartrack
