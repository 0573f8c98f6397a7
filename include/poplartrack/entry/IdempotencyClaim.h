#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "poplartrack/base/ErrorKind.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/entry/ClaimRecord.h"
#include "poplartrack/store/PlatformLike.h"

namespace poplartrack {

/** The call that wants to claim its key. */
struct ClaimRequest
{
  std::string account;
  std::string key;
  /** bodyDigest() of service, operation and body. */
  std::string digest;
  /** Random id of this attempt. After a lost answer, it shows whether the row
   * is this attempt's. */
  std::string token;
};

/** The claim is ours: dispatch, then record() or release(). */
struct ClaimHeld
{
  std::string rowKey;
  ClaimRecord record;
  std::uint64_t version = 0;
};

/** The call was answered before: give the same answer. */
struct ClaimReplay
{
  std::uint32_t status = 0;
  std::string body;
};

/** Not ours: the final answer is this error. */
struct ClaimRefused
{
  Error error;
  RunState ran = RunState::Unknown;
};

using ClaimVerdict = std::variant<ClaimHeld, ClaimReplay, ClaimRefused>;

/**
 * Claims of idempotency keys in the platform's table, for calls that are not
 * idempotent. The row is written before the call is dispatched, so of any
 * number of entries with the same key one dispatches.
 *
 * A claim is never taken over: its holder may be frozen for any time between
 * claim and dispatch, and nobody can tell a frozen holder from a dead one. A
 * key whose holder died stays in use, with outcome unknown.
 *
 * Rows are kept: nothing here deletes a claim but its own holder, with proof
 * that the call did not run and never will. An operator may delete rows older
 * than the time for which callers may repeat a key (24 h): the call's
 * deadline is minutes, so a holder that still lives has ended long ago.
 */
template<PlatformLike Platform>
class IdempotencyClaim
{
public:
  /** aPlatform must outlive this. */
  explicit IdempotencyClaim(Platform& aPlatform)
    : platform(aPlatform)
  {
  }

  /** Claims the key, or says whose it is. Blocks on the platform. */
  ClaimVerdict claim(const ClaimRequest& aRequest);

  /** Keeps the answer for repeats. A larger body than kMaxClaimBody is not
   * kept: repeats are then answered that the key was used, outcome "ran".
   * Errors leave the claim without a result. That is safe: repeats are then
   * answered "unknown". */
  Result<Done> record(const ClaimHeld& aHeld,
                      std::uint32_t aStatus,
                      const std::string& aBody);

  /** Gives the key back. Only with proof that the call did not run and never
   * will. */
  Result<Done> release(const ClaimHeld& aHeld);

private:
  Platform& platform;
};

} // namespace poplartrack

#include "poplartrack/entry/IdempotencyClaim.inl.h"
