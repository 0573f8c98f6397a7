#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

#include "poplartrack/base/Address.h"

namespace poplartrack {

/** What a relay last reported of its polls of the store. */
struct StoreReader
{
  Address address;
  std::string zone;
  /** Whether it polls the store. */
  bool polls = false;
  /** Whether its latest poll failed. */
  bool pollsFail = false;
  /** Rate of its instance's network link, in Mbit/s; 0 if it is unknown. */
  std::uint32_t linkMbps = 0;
};

/** Store readers in each availability zone. Two, so that the loss of one costs
 * nothing. */
constexpr std::size_t kReadersPerZone = 2;

/**
 * Returns whether a relay polls the store itself. Each poll is a call that is
 * charged, and all relays would get the same result. If every relay polled, the
 * number of calls would grow with the number of relays; this way it grows with
 * the number of zones. In each zone, the relays with the fastest links poll,
 * the first by address among equal ones, if their polls succeed. They send each
 * change to all relays of the zone; a slow link would drop most of that. A
 * relay that knows no peer with successful polls polls itself, unless
 * kReadersPerZone earlier ones of its zone do.
 *
 * @param aOwn this relay; whether it polls now does not matter
 * @param aPeers the known peers of all zones
 */
bool
shouldPoll(const StoreReader& aOwn, std::span<const StoreReader> aPeers);

/** Returns whether the store is unavailable to all: some relay polls it, and
 * the latest poll of each relay that does has failed. */
bool
storeIsUnavailable(std::span<const StoreReader> aPeers);

} // namespace poplartrack
