#pragma once

#include "poplartrack/entry/IdempotencyClaim.h"

namespace poplartrack {

/** Returns the result for a call whose key is claimed by another row. */
ClaimVerdict
verdictOnOthersClaim(const ClaimRequest& aRequest, const ClaimRecord& aRecord);

/** Returns why a claim cannot be made now. Nothing was dispatched. */
inline ClaimRefused
claimUnavailable(const Error& aCause)
{
  return { fail(ErrorKind::ClaimUnavailable, describe(aCause)),
           RunState::NotRun,
           ClaimProspect::PlatformMayReturn };
}

template<PlatformLike Platform>
ClaimVerdict
IdempotencyClaim<Platform>::claim(const ClaimRequest& aRequest)
{
  // If the reply to the write is lost, the row is read, or the write is
  // retried: the first write creates the row, and its token shows which attempt
  // did.
  constexpr int kTries = 3;
  ClaimHeld held;
  held.rowKey = claimRowKey(aRequest.account, aRequest.key);
  held.record.token = aRequest.token;
  held.record.digest = aRequest.digest;
  Error cause;
  for (int i = 0; i < kTries; ++i) {
    const auto written = this->platform.transact({ TableWrite{
      std::string{ kClaimTable }, held.rowKey, 0, toText(held.record) } });
    if (written) {
      held.version = written.value().at(0);
      return held;
    }
    cause = written.error();
    const bool rowMayStand = cause.kind == ErrorKind::Conflict ||
                             cause.kind == ErrorKind::PlatformUnknown;
    if (!rowMayStand) {
      return claimUnavailable(cause);
    }
    const auto row =
      this->platform.readRow(std::string{ kClaimTable }, held.rowKey);
    if (!row) {
      // The key is claimed. Whether that call ran cannot be read now.
      return cause.kind == ErrorKind::Conflict
               ? ClaimVerdict{ ClaimRefused{
                   fail(ErrorKind::KeyInUse, describe(row.error())),
                   RunState::Unknown,
                   ClaimProspect::PlatformMayReturn } }
               : claimUnavailable(row.error());
    }
    if (!row.value()) {
      continue;
    }
    const auto record = claimRecordFromText(row.value()->value);
    if (!record) {
      return ClaimRefused{ record.error(), RunState::Unknown };
    }
    if (record.value().token != aRequest.token) {
      return verdictOnOthersClaim(aRequest, record.value());
    }
    held.version = row.value()->version;
    return held;
  }
  return claimUnavailable(cause);
}

template<PlatformLike Platform>
Result<Done>
IdempotencyClaim<Platform>::end(const ClaimEnd& aEnd)
{
  const ClaimHeld& held = aEnd.held;
  std::optional<std::string> value;
  if (aEnd.record) {
    value = toText(*aEnd.record);
  }
  const auto written = this->platform.transact({ TableWrite{
    std::string{ kClaimTable }, held.rowKey, held.version, value } });
  if (!written) {
    return written.error();
  }
  return Done{};
}

} // namespace poplartrack
