#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "poplartrack/base/Result.h"

namespace poplartrack {

constexpr std::string_view kClaimTable = "claims";
/** Largest answer kept in a claim's row. */
constexpr std::size_t kMaxClaimBody = 16'384;

/** State of a claimed call. The values are stored: only append new ones. */
enum class ClaimState : std::uint8_t
{
  /** Claimed; may have been dispatched. */
  Claimed,
  /** Answered; status and body are kept. */
  Answered,
  /** Answered, but the body was too large to keep. */
  AnsweredUnkept,
};

/** The value of a claim's row. */
struct ClaimRecord
{
  std::string token;
  std::string digest;
  ClaimState state = ClaimState::Claimed;
  std::uint32_t status = 0;
  std::string body;
  /** A claimed call has ended with an unknown outcome. Not a state of its own:
   * entries that do not know this field read a claim without a result. */
  bool endedUnknown = false;

  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/** The row's value as JSON text. */
std::string
toText(const ClaimRecord& aRecord);

/** Parses a row's value; Malformed if it is not a claim. */
Result<ClaimRecord>
claimRecordFromText(std::string_view aText);

/** Returns whether an answer can be stored in a claim's row: it is small enough
 * and valid UTF-8, which the table's JSON requires. */
bool
canKeepBody(std::string_view aBody);

/** Returns the key of the row. It is unique to the account and its key. */
std::string
claimRowKey(std::string_view aAccount, std::string_view aKey);

/** Returns a digest of the content of a call. It distinguishes a retry from
 * another call with the same idempotency key. */
std::string
bodyDigest(std::string_view aService,
           std::string_view aOperation,
           std::string_view aBody);

} // namespace poplartrack
