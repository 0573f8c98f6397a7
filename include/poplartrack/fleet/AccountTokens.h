#pragma once

#include <cstdint>
#include <unordered_map>

namespace poplartrack {

/** Tokens of one account or of several. */
struct AccountTokens
{
  double inUse = 0;
  double waiting = 0;
  /** Number of requests, in flight or waiting. */
  std::uint32_t requests = 0;
  /** Tokens a second that are usual; see UsualUse. */
  double usual = 0;

  [[nodiscard]] double demand() const { return this->inUse + this->waiting; }
};

/** By the hash of the account's name. An account without requests has no entry.
 */
using AccountTable = std::unordered_map<std::uint64_t, AccountTokens>;

} // namespace poplartrack
