#include "poplartrack/base/ErrorKind.h"

namespace poplartrack {
namespace {

using enum ErrorKind;
using enum RunState;

constexpr std::array<ErrorRow, kErrorKindCount> kErrorTable{ {
  { BadRequest, "bad_request", "The request is malformed.", 400, NotRun, 0 },
  { Unauthorized,
    "unauthorized",
    "The credentials are wrong.",
    401,
    NotRun,
    0 },
  { UnknownModel,
    "unknown_model",
    "No such model is declared.",
    404,
    NotRun,
    0 },
  { UnknownService,
    "unknown_service",
    "No such service is declared.",
    404,
    NotRun,
    0 },
  { BadDeadline,
    "bad_deadline",
    "The deadline is out of range.",
    400,
    NotRun,
    0 },
  { TooLarge, "too_large", "The request is too large.", 413, NotRun, 0 },
  { AccountOverLimit,
    "account_over_limit",
    "The client account is over its limit.",
    429,
    NotRun,
    1 },
  { Overloaded, "overloaded", "Too much work is waiting.", 503, NotRun, 1 },
  { DeadlineTooClose,
    "deadline_too_close",
    "The work cannot finish by its deadline.",
    503,
    NotRun,
    1 },
  { Draining, "draining", "This entry is stopping.", 503, NotRun, 1 },
  { NoConfiguration,
    "no_configuration",
    "This entry has no configuration yet.",
    503,
    NotRun,
    2 },
  { NoRoute, "no_route", "No live endpoints cover the model.", 503, NotRun, 2 },
  { ClaimUnavailable,
    "claim_unavailable",
    "The idempotency key could not be claimed.",
    503,
    NotRun,
    2 },
  { KeyInUse,
    "key_in_use",
    "The idempotency key was used by another attempt.",
    409,
    Unknown,
    2 },
  { StageRefused,
    "stage_refused",
    "An endpoint refused the work.",
    503,
    NotRun,
    1 },
  { StageLost,
    "stage_lost",
    "An endpoint was lost during the work.",
    503,
    Unknown,
    1 },
  { RetriesExhausted,
    "retries_exhausted",
    "No further attempt is allowed.",
    503,
    Unknown,
    2 },
  { DeadlineExceeded,
    "deadline_exceeded",
    "The deadline passed.",
    504,
    Unknown,
    1 },
  { Cancelled, "cancelled", "The caller went away.", 499, Unknown, 0 },
  { OutcomeUnknown,
    "outcome_unknown",
    "The work may or may not have run.",
    502,
    Unknown,
    0 },
  { EndpointFailed,
    "endpoint_failed",
    "The endpoint answered with an error.",
    502,
    Ran,
    1 },
  { Malformed, "malformed", "A frame could not be decoded.", 400, NotRun, 0 },
  { WrongVersion,
    "wrong_version",
    "The frame's version is not spoken here.",
    400,
    NotRun,
    0 },
  { UnknownAttempt,
    "unknown_attempt",
    "The attempt was not opened here.",
    409,
    Unknown,
    0 },
  { FencedAttempt,
    "fenced_attempt",
    "A newer attempt has replaced this one.",
    409,
    Unknown,
    0 },
  { OutOfOrder,
    "out_of_order",
    "The step is not the next of its attempt.",
    409,
    Unknown,
    0 },
  { WrongIncarnation,
    "wrong_incarnation",
    "The endpoint has been restarted.",
    409,
    Unknown,
    0 },
  { StaleFence,
    "stale_fence",
    "The order carries an old fencing number.",
    409,
    NotRun,
    0 },
  { Leaving, "leaving", "The endpoint is leaving.", 503, NotRun, 1 },
  { PlatformUnavailable,
    "platform_unavailable",
    "The platform did not take the call.",
    503,
    NotRun,
    2 },
  { PlatformUnknown,
    "platform_unknown",
    "The platform's answer was lost.",
    503,
    Unknown,
    2 },
  { Conflict, "conflict", "Somebody else changed it first.", 409, NotRun, 0 },
  { NotFound, "not_found", "There is no such thing.", 404, NotRun, 0 },
  { BadSettings, "bad_settings", "The settings are wrong.", 400, NotRun, 0 },
  { Network, "network", "The peer could not be reached.", 502, Unknown, 1 },
  { Internal, "internal", "An internal error.", 500, Unknown, 0 },
  { HeadTooLarge,
    "head_too_large",
    "The request's headers are too large.",
    431,
    NotRun,
    0 },
  { HeadTimeout,
    "head_timeout",
    "The request did not arrive in time.",
    408,
    NotRun,
    0 },
  { Quarantined,
    "quarantined",
    "Replicas ended under this request.",
    503,
    NotRun,
    0 },
  { UnknownCoding,
    "unknown_coding",
    "The body has a transfer coding that is not supported.",
    501,
    NotRun,
    0 },
} };

constexpr bool
tableIsOrdered()
{
  for (std::size_t i = 0; i < kErrorTable.size(); ++i) {
    if (static_cast<std::size_t>(kErrorTable[i].kind) != i) {
      return false;
    }
  }
  return true;
}
static_assert(tableIsOrdered(), "kErrorTable must follow ErrorKind's order");

} // namespace

const ErrorRow&
rowOf(ErrorKind aKind)
{
  const auto index = static_cast<std::size_t>(aKind);
  // A newer peer may send a kind that this process does not know.
  return kErrorTable[index < kErrorKindCount
                       ? index
                       : static_cast<std::size_t>(ErrorKind::Internal)];
}

std::string_view
nameOf(ErrorKind aKind)
{
  return rowOf(aKind).name;
}

std::optional<ErrorKind>
errorKindFromName(std::string_view aName)
{
  for (const ErrorRow& row : kErrorTable) {
    if (row.name == aName) {
      return row.kind;
    }
  }
  return std::nullopt;
}

} // namespace poplartrack
