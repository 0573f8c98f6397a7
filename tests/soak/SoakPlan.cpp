#include "soak/SoakPlan.h"

#include <array>
#include <random>

namespace poplartrack::soak {
namespace {

std::chrono::milliseconds
between(std::mt19937_64& aRandom, int aLeast, int aMost)
{
  return std::chrono::milliseconds{ aLeast + static_cast<int>(
                                               aRandom() % (aMost - aLeast)) };
}

} // namespace

std::vector<PlannedFault>
planOf(std::uint64_t aSeed,
       std::chrono::milliseconds aLength,
       std::size_t aKinds)
{
  std::mt19937_64 random{ aSeed };
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
      fault.lasts = between(random, 100, 2'500);
      plan.push_back(fault);
      at += between(random, 50, 900);
    }
  }
  return plan;
}

std::vector<PlannedFault>
contentionPlanOf(std::uint64_t aSeed, std::chrono::milliseconds aLength)
{
  std::mt19937_64 random{ aSeed };
  std::vector<PlannedFault> plan;
  for (std::chrono::milliseconds at{ 500 }; at < aLength;
       at += between(random, 200, 1'500)) {
    // Every second fault is a flood.
    const Fault other =
      random() % 2 == 0 ? Fault::ReplicaFails : Fault::ReplicaSlows;
    const Fault fault = plan.size() % 2 == 0 ? Fault::AccountFloods : other;
    plan.push_back({ at, fault, random(), between(random, 800, 3'000) });
  }
  return plan;
}

std::vector<PlannedFault>
endlessPlanOf(std::uint64_t aSeed, std::chrono::milliseconds aLength)
{
  std::mt19937_64 random{ aSeed };
  std::vector<PlannedFault> plan;
  for (std::chrono::milliseconds at{ 400 }; at < aLength;
       at += between(random, 300, 1'200)) {
    plan.push_back({ at,
                     Fault::ReplicaSendsEndlessly,
                     random(),
                     between(random, 300, 2'000) });
  }
  return plan;
}

std::vector<PlannedFault>
silencePlanOf(std::uint64_t aSeed, std::chrono::milliseconds aLength)
{
  // The next silence of a replica begins well after its last one has ended: two
  // in a row would be a longer one.
  constexpr int kLeastSilence = 900;
  constexpr int kMostSilence = 1'300;
  constexpr int kLeastApart = 2'100;
  constexpr std::size_t kMostAtOnce = 8;
  std::mt19937_64 random{ aSeed };
  std::vector<PlannedFault> plan;
  for (std::chrono::milliseconds at{ 600 }; at < aLength;
       at += between(random, kLeastApart, kLeastApart + 600)) {
    const std::size_t first = random() % kMostAtOnce;
    const std::size_t count = 1 + random() % kMostAtOnce;
    for (std::size_t i = 0; i < count; ++i) {
      plan.push_back({ at + between(random, 0, 100),
                       Fault::ReplicaFallsSilent,
                       first + i,
                       between(random, kLeastSilence, kMostSilence) });
    }
  }
  constexpr std::array<Fault, 3> kBeside{ Fault::ReplicaStopsInHead,
                                          Fault::ConfigChanges,
                                          Fault::RelayHangsUp };
  for (std::chrono::milliseconds at{ 500 }; at < aLength;
       at += between(random, 100, 700)) {
    plan.push_back({ at,
                     kBeside.at(random() % kBeside.size()),
                     random(),
                     between(random, 200, 1'200) });
  }
  return plan;
}

std::vector<PlannedFault>
memberPlanOf(std::uint64_t aSeed, std::chrono::milliseconds aLength)
{
  constexpr int kShort = 300;
  constexpr int kLong = 8'500;
  std::mt19937_64 random{ aSeed };
  std::vector<PlannedFault> plan;
  for (std::chrono::milliseconds at{ 400 }; at < aLength;
       at += between(random, 300, 1'800)) {
    plan.push_back(
      { at, Fault::MemberChanges, random(), between(random, kShort, kLong) });
    if (random() % 2 == 0) {
      plan.push_back({ at + between(random, 0, 400),
                       Fault::RelayHangsUp,
                       random(),
                       std::chrono::milliseconds{ 0 } });
    }
  }
  return plan;
}

} // namespace poplartrack::soak
