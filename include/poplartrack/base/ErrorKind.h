#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace poplartrack {

/**
 * Every way in which poplartrack can fail. The list is closed: a new kind is
 * added here and to kErrorTable together, and the table's order is checked at
 * compile time. The numbers travel between processes; append only.
 */
enum class ErrorKind : std::uint8_t
{
  // What the caller did.
  BadRequest,
  Unauthorized,
  UnknownModel,
  UnknownService,
  BadDeadline,
  TooLarge,
  // What admission decided; the work never left the entry.
  AccountOverLimit,
  Overloaded,
  DeadlineTooClose,
  Draining,
  NoConfiguration,
  NoRoute,
  ClaimUnavailable,
  KeyInUse,
  // What happened to work that was let in.
  StageRefused,
  StageLost,
  RetriesExhausted,
  DeadlineExceeded,
  Cancelled,
  OutcomeUnknown,
  EndpointFailed,
  // Between the system's own processes.
  Malformed,
  WrongVersion,
  UnknownAttempt,
  FencedAttempt,
  OutOfOrder,
  WrongIncarnation,
  StaleFence,
  Leaving,
  // Towards the platform and the operator.
  PlatformUnavailable,
  PlatformUnknown,
  Conflict,
  NotFound,
  BadSettings,
  Network,
  Internal,
  // What the caller sent, as HTTP.
  HeadTooLarge,
  HeadTimeout,
  // What replicas ended under.
  Quarantined,
  // What the caller sent, as HTTP.
  UnknownCoding,
};

/** What an answer says about whether the work ran. */
enum class RunState : std::uint8_t
{
  NotRun,
  Unknown,
  Ran,
};

/** The word for a run state in answers: "not run", "unknown" or "ran". */
constexpr std::string_view
nameOf(RunState aState)
{
  constexpr std::array<std::string_view, 3> kNames{ "not run",
                                                    "unknown",
                                                    "ran" };
  return kNames[static_cast<std::size_t>(aState)];
}

/** One row of the table from error kind to answer. */
struct ErrorRow
{
  ErrorKind kind;
  /** Stable name: in JSON answers, counters and exit messages. */
  std::string_view name;
  std::string_view message;
  /** HTTP status of the answer to a caller. */
  std::uint16_t httpStatus;
  /**
   * What the kind alone proves about the work. A kind that may be met after
   * dispatch says Unknown; the entry may sharpen it to NotRun only with a
   * side's acknowledgement.
   */
  RunState runState;
  /** Seconds until a repeat may help; 0 when a repeat will not help. */
  std::uint16_t retryAfterSeconds;
};

constexpr std::size_t kErrorKindCount =
  static_cast<std::size_t>(ErrorKind::UnknownCoding) + 1;

/** The row of a kind. */
const ErrorRow&
rowOf(ErrorKind aKind);

/** The stable name of a kind. */
std::string_view
nameOf(ErrorKind aKind);

/** The kind with this stable name, if there is one. */
std::optional<ErrorKind>
errorKindFromName(std::string_view aName);

} // namespace poplartrack
