#include "poplartrack/fleet/StoreReaders.h"

#include <algorithm>

namespace poplartrack {

bool
shallLook(const StoreReader& aOwn, std::span<const StoreReader> aHeard)
{
  const bool anyGood =
    std::any_of(aHeard.begin(), aHeard.end(), [](const StoreReader& aOther) {
      return aOther.looks && !aOther.fails;
    });
  if (!anyGood) {
    // Nobody's looks succeed, or nobody is heard. While the store is away for
    // all, the first of each zone go on, so that its return is noticed.
    const auto before = std::count_if(
      aHeard.begin(), aHeard.end(), [&](const StoreReader& aOther) {
        return aOther.looks && aOther.zone == aOwn.zone &&
               aOther.address < aOwn.address;
      });
    return static_cast<std::size_t>(before) < kReadersOfZone;
  }
  if (aOwn.fails) {
    return false;
  }
  const auto before =
    std::count_if(aHeard.begin(), aHeard.end(), [&](const StoreReader& aOther) {
      return !aOther.fails && aOther.zone == aOwn.zone &&
             aOther.address < aOwn.address;
    });
  return static_cast<std::size_t>(before) < kReadersOfZone;
}

bool
storeIsAway(std::span<const StoreReader> aHeard)
{
  const auto looking = [](const StoreReader& aOther) { return aOther.looks; };
  const auto failing = [](const StoreReader& aOther) {
    return !aOther.looks || aOther.fails;
  };
  return std::any_of(aHeard.begin(), aHeard.end(), looking) &&
         std::all_of(aHeard.begin(), aHeard.end(), failing);
}

} // namespace poplartrack
