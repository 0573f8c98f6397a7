#pragma once

namespace poplartrack {

/** What an account uses of a service over all relays, and its share. */
struct AccountShare
{
  /** The account may start one more request. */
  bool within = true;
  /** Tokens that its requests reserve, and how many are its share. */
  double inUse = 0;
  double share = 0;
  /** Its weight in the division; 1 for an account without history. */
  double weight = 1;
};

} // namespace poplartrack
