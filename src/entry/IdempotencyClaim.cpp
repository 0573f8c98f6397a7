#include "poplartrack/entry/IdempotencyClaim.h"

namespace poplartrack {

ClaimEnd
answeredClaim(const ClaimHeld& aHeld,
              std::uint32_t aStatus,
              const std::string& aBody)
{
  ClaimRecord record = aHeld.record;
  record.status = aStatus;
  record.state =
    canKeepBody(aBody) ? ClaimState::Answered : ClaimState::AnsweredUnkept;
  if (record.state == ClaimState::Answered) {
    record.body = aBody;
  }
  return { aHeld, std::move(record) };
}

ClaimEnd
unknownClaim(const ClaimHeld& aHeld)
{
  ClaimRecord record = aHeld.record;
  record.endedUnknown = true;
  return { aHeld, std::move(record) };
}

ClaimEnd
releasedClaim(const ClaimHeld& aHeld)
{
  return { aHeld, std::nullopt };
}

ClaimVerdict
verdictOnOthersClaim(const ClaimRequest& aRequest, const ClaimRecord& aRecord)
{
  // A caller that reuses a key for another call would get the answer to the
  // first one.
  if (aRecord.digest != aRequest.digest) {
    return ClaimRefused{ fail(ErrorKind::BadRequest,
                              "the idempotency key \"" + aRequest.key +
                                "\" was used for another call"),
                         RunState::NotRun };
  }
  switch (aRecord.state) {
    case ClaimState::Answered:
      return ClaimReplay{ aRecord.status, aRecord.body };
    case ClaimState::AnsweredUnkept:
      return ClaimRefused{ fail(ErrorKind::KeyInUse,
                                "answered before, and the answer is not kept"),
                           RunState::Ran };
    case ClaimState::Claimed:
      break;
  }
  if (aRecord.endedUnknown) {
    return ClaimRefused{ fail(ErrorKind::KeyInUse,
                              "another try ended with an unknown outcome"),
                         RunState::Unknown };
  }
  // Its holder may be running, suspended or dead. No timeout distinguishes
  // these.
  return ClaimRefused{ fail(ErrorKind::KeyInUse, "claimed by another try"),
                       RunState::Unknown,
                       ClaimProspect::HolderMayEnd };
}

} // namespace poplartrack
