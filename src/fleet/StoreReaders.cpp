#include "poplartrack/fleet/StoreReaders.h"

#include <algorithm>

namespace poplartrack {

bool
shouldPoll(const StoreReader& aOwn, std::span<const StoreReader> aHeard)
{
  const bool anyGood =
    std::any_of(aHeard.begin(), aHeard.end(), [](const StoreReader& aOther) {
      return aOther.polls && !aOther.pollsFail;
    });
  if (!anyGood) {
    // Nobody's looks succeed, or nobody is heard. While the store is away for
    // all, the first of each zone go on, so that its return is noticed.
    const auto before = std::count_if(
      aHeard.begin(), aHeard.end(), [&](const StoreReader& aOther) {
        return aOther.polls && aOther.zone == aOwn.zone &&
               aOther.address < aOwn.address;
      });
    return static_cast<std::size_t>(before) < kReadersOfZone;
  }
  if (aOwn.pollsFail) {
    return false;
  }
  const auto before =
    std::count_if(aHeard.begin(), aHeard.end(), [&](const StoreReader& aOther) {
      return !aOther.pollsFail && aOther.zone == aOwn.zone &&
             aOther.address < aOwn.address;
    });
  return static_cast<std::size_t>(before) < kReadersOfZone;
}

bool
storeIsUnavailable(std::span<const StoreReader> aHeard)
{
  const auto looking = [](const StoreReader& aOther) { return aOther.polls; };
  const auto failing = [](const StoreReader& aOther) {
    return !aOther.polls || aOther.pollsFail;
  };
  return std::any_of(aHeard.begin(), aHeard.end(), looking) &&
         std::all_of(aHeard.begin(), aHeard.end(), failing);
}

} // namespace poplartrack
