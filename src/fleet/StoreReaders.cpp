#include "poplartrack/fleet/StoreReaders.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** Returns whether a relay becomes a store reader before another one. */
bool
precedes(const StoreReader& aOne, const StoreReader& aOther)
{
  if (aOne.linkMbps != aOther.linkMbps) {
    return aOne.linkMbps > aOther.linkMbps;
  }
  return aOne.address < aOther.address;
}

} // namespace

bool
shouldPoll(const StoreReader& aOwn, std::span<const StoreReader> aPeers)
{
  const bool anySucceeds =
    std::any_of(aPeers.begin(), aPeers.end(), [](const StoreReader& aPeer) {
      return aPeer.polls && !aPeer.pollsFail;
    });
  if (!anySucceeds) {
    // No known peer polls successfully. While the store is unavailable to all,
    // the first relays of each zone keep polling, so that they notice when it
    // is available again.
    const auto before = std::count_if(
      aPeers.begin(), aPeers.end(), [&](const StoreReader& aPeer) {
        return aPeer.polls && aPeer.zone == aOwn.zone && precedes(aPeer, aOwn);
      });
    return static_cast<std::size_t>(before) < kReadersPerZone;
  }
  if (aOwn.pollsFail) {
    return false;
  }
  const auto before =
    std::count_if(aPeers.begin(), aPeers.end(), [&](const StoreReader& aPeer) {
      return !aPeer.pollsFail && aPeer.zone == aOwn.zone &&
             precedes(aPeer, aOwn);
    });
  return static_cast<std::size_t>(before) < kReadersPerZone;
}

bool
storeIsUnavailable(std::span<const StoreReader> aPeers)
{
  const auto polling = [](const StoreReader& aPeer) { return aPeer.polls; };
  const auto failing = [](const StoreReader& aPeer) {
    return !aPeer.polls || aPeer.pollsFail;
  };
  return std::any_of(aPeers.begin(), aPeers.end(), polling) &&
         std::all_of(aPeers.begin(), aPeers.end(), failing);
}

} // namespace poplartrack
