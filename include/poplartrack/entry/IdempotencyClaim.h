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

/** A call that claims its idempotency key. */
struct ClaimRequest
{
  std::string account;
  std::string key;
  /** bodyDigest() of service, operation and body. */
  std::string digest;
  /** Random id of this attempt. If the reply to the write is lost, it shows
   * whether the row was written by this attempt. */
  std::string token;
};

/** The claim succeeded: dispatch the call, then write its end. */
struct ClaimHeld
{
  std::string rowKey;
  ClaimRecord record;
  std::uint64_t version = 0;
};

/** The end of a claimed call, as its holder writes it. */
struct ClaimEnd
{
  ClaimHeld held;
  /** The row's new value; nullopt releases the key. */
  std::optional<ClaimRecord> record;
};

/** The call was answered; the answer is stored for retries. A body that cannot
 * be kept (canKeepBody) is not stored: retries are then answered that the key
 * was used, with outcome "ran". */
ClaimEnd
answeredClaim(const ClaimHeld& aHeld,
              std::uint32_t aStatus,
              const std::string& aBody);

/** The call ended with an unknown outcome: retries with the key do not wait for
 * an answer. The key stays in use. */
ClaimEnd
unknownClaim(const ClaimHeld& aHeld);

/** The key is released. Requires proof that the call has not run and never
 * will. */
ClaimEnd
releasedClaim(const ClaimHeld& aHeld);

/** The call was answered before: return the same answer. */
struct ClaimReplay
{
  std::uint32_t status = 0;
  std::string body;
};

/** Whether a later attempt to claim a key may have another result. */
enum class ClaimProspect : std::uint8_t
{
  None,
  /** The holder of the claim may record its answer or release the key. */
  HolderMayEnd,
  /** The platform could not be reached and may be available again. */
  PlatformMayReturn,
};

/** The claim failed: unless a later attempt may succeed, the final answer is
 * this error. */
struct ClaimRefused
{
  Error error;
  RunState ran = RunState::Unknown;
  ClaimProspect prospect = ClaimProspect::None;
};

using ClaimVerdict = std::variant<ClaimHeld, ClaimReplay, ClaimRefused>;

/**
 * Claims of idempotency keys in the platform's table, for calls that are not
 * idempotent. The row is written before the call is dispatched, so of any
 * number of entries with the same key one dispatches.
 *
 * A claim is never taken over: its holder may be suspended for any time between
 * claim and dispatch, and a suspended holder cannot be distinguished from a
 * dead one. A key whose holder has died stays in use, with outcome unknown.
 *
 * Rows are kept: only the holder deletes its claim, if it has proof that the
 * call has not run and never will. An operator may delete rows that are older
 * than the time in which callers may retry with a key (24 h): the deadline of
 * a call is minutes, so its holder has ended by then.
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

  /** Claims the key, or returns why it cannot be claimed. Blocks on the
   * platform. */
  ClaimVerdict claim(const ClaimRequest& aRequest);

  /** Writes the end of a claimed call. On an error the claim stays without a
   * result, which is safe: retries are then answered with outcome "unknown". */
  Result<Done> end(const ClaimEnd& aEnd);

private:
  Platform& platform;
};

} // namespace poplartrack

#include "poplartrack/entry/IdempotencyClaim.inl.h"
