#include "soak/SoakPlan.h"

#include <random>

namespace poplartrack::soak {

std::vector<PlannedFault>
planOf(std::uint64_t aSeed,
       std::chrono::milliseconds aLength,
       std::size_t aKinds)
{
  std::mt19937_64 random{ aSeed };
  const auto between = [&random](int aLeast, int aMost) {
    return std::chrono::milliseconds{ aLeast + static_cast<int>(
                                                 random() % (aMost - aLeast)) };
  };
  std::vector<PlannedFault> plan;
  std::chrono::milliseconds at{ 300 };
  while (at < aLength) {
    PlannedFault fault;
    fault.fault = static_cast<Fault>(random() % aKinds);
    fault.who = random();
    // One in four comes as a series: again and again at the same place.
    const int times = random() % 4 == 0 ? 3 : 1;
    for (int i = 0; i < times && at < aLength; ++i) {
      fault.at = at;
      fault.lasts = between(100, 2'500);
      plan.push_back(fault);
      at += between(50, 900);
    }
  }
  return plan;
}

} // namespace poplartrack::soak
