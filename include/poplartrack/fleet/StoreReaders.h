#pragma once

#include <cstddef>
#include <span>
#include <string>

#include "poplartrack/base/Address.h"

namespace poplartrack {

/** What a relay last heard of another one's looks at the store. */
struct StoreReader
{
  Address address;
  std::string zone;
  /** It looks at the store. */
  bool polls = false;
  /** Its latest look failed. */
  bool pollsFail = false;
};

/** Relays of each availability zone that look at the store for the others. Two,
 * so that the loss of one costs nothing. */
constexpr std::size_t kReadersOfZone = 2;

/**
 * Whether a relay looks at the store itself. Each look is a call that is paid
 * for, and all bring the same: with every relay looking, the calls grow with
 * the relays; so they grow with the zones. The first relays of a zone by
 * address look, of those whose looks succeed; a relay that hears of nobody's
 * good looks does so itself.
 *
 * @param aOwn this relay; whether it looks now does not matter
 * @param aHeard the others that are heard, of all zones
 */
bool
shouldPoll(const StoreReader& aOwn, std::span<const StoreReader> aHeard);

/** Whether the store is away for all: every relay that looks says so. */
bool
storeIsUnavailable(std::span<const StoreReader> aHeard);

} // namespace poplartrack
