#include "poplartrack/store/CallFailure.h"

#include <string>

#include "poplartrack/base/Result.h"

namespace poplartrack {
namespace {

constexpr int kBadRequest = 400;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;

} // namespace

std::string
failureDetail(const HttpResult& aResult)
{
  if (aResult.outcome != CallOutcome::Replied) {
    return aResult.detail;
  }
  return "status " + std::to_string(aResult.status) + " " + aResult.body;
}

Error
readFailure(const HttpResult& aResult, int aNotFoundStatus)
{
  const bool missing = aResult.outcome == CallOutcome::Replied &&
                       aResult.status == aNotFoundStatus;
  return fail(missing ? ErrorKind::NotFound : ErrorKind::PlatformUnavailable,
              failureDetail(aResult));
}

Error
writeFailure(const HttpResult& aResult, int aConflictStatus)
{
  if (aResult.outcome == CallOutcome::NotSent) {
    return fail(ErrorKind::PlatformUnavailable, failureDetail(aResult));
  }
  if (aResult.outcome == CallOutcome::Unknown) {
    return fail(ErrorKind::PlatformUnknown, failureDetail(aResult));
  }
  if (aResult.status == aConflictStatus) {
    return fail(ErrorKind::Conflict, aResult.body);
  }
  const bool refused =
    aResult.status == kUnavailable ||
    (aResult.status >= kBadRequest && aResult.status < kInternalError);
  return fail(refused ? ErrorKind::PlatformUnavailable
                      : ErrorKind::PlatformUnknown,
              failureDetail(aResult));
}

} // namespace poplartrack
