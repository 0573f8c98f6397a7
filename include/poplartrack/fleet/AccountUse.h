#pragma once

#include <cstdint>
#include <string>

namespace poplartrack {

/** Tokens of one account at a relay, for one service. */
struct AccountUse
{
  std::string service;
  /** Hash of the account's name; 0: all accounts without an entry of their own.
   */
  std::uint64_t account = 0;
  /** Reserved by requests in flight. */
  double inUse = 0;
  /** Needed by waiting requests. */
  double waiting = 0;
  /** Tokens a second that the account usually asks of the service there, see
   * UsualUse; 0 if it has no history. */
  double usual = 0;
};

} // namespace poplartrack
