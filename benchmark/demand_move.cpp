/**
 * Time of the search for a move by demand, by replicas of a service in three
 * zones, when demand exceeds capacity and when it does not. Medians of nine
 * runs, in microseconds.
 */
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "poplartrack/fleet/DemandMove.h"

namespace {

using namespace poplartrack;

constexpr int kRuns = 9;
constexpr std::uint32_t kLayers = 80;
constexpr std::uint32_t kLayersEach = 8;
constexpr std::size_t kZones = 3;

double
medianMicros(const EngineProfile& aProfile,
             const std::vector<PlacedReplica>& aPlaced,
             const ZoneDemand& aDemand)
{
  std::vector<double> times;
  for (int run = 0; run < kRuns; ++run) {
    const auto start = std::chrono::steady_clock::now();
    static_cast<void>(bestDemandMove(
      aProfile, aPlaced, aDemand, [](const Replica&) { return true; }));
    const std::chrono::duration<double, std::micro> lasted =
      std::chrono::steady_clock::now() - start;
    times.push_back(lasted.count());
  }
  std::sort(times.begin(), times.end());
  return times[kRuns / 2];
}

void
measure(const EngineProfile& aProfile, std::size_t aReplicas)
{
  std::vector<Replica> replicas;
  for (std::size_t i = 0; i < aReplicas; ++i) {
    const auto from = static_cast<std::uint32_t>(i / kZones) * kLayersEach;
    Replica replica;
    replica.id = "replica-" + std::to_string(i);
    replica.zone = "zone-" + std::to_string(i % kZones);
    replica.slots = 64;
    replica.kind = "card";
    replica.layers = LayerRange{ from % kLayers, from % kLayers + kLayersEach };
    replicas.push_back(replica);
  }
  std::vector<PlacedReplica> placed;
  placed.reserve(replicas.size());
  for (const Replica& replica : replicas) {
    placed.push_back({ &replica, *replica.layers, false });
  }
  ZoneDemand demand;
  demand["zone-0"] = TokenRate{ 1e7, 1e7 };
  std::printf("%8zu %9.1f %9.1f\n",
              aReplicas,
              medianMicros(aProfile, placed, {}),
              medianMicros(aProfile, placed, demand));
}

} // namespace

int
main()
{
  EngineProfile profile;
  profile.slots = 64;
  profile.layers = kLayers;
  profile.layerMb = 1'700;
  profile.tokenBytes = 2e5;
  profile.stepMs = 1;
  profile.perRequestMs = 0.01;
  profile.prefillPerSecond = 100'000;
  profile.meanPromptTokens = 800;
  profile.meanAnswerTokens = 200;
  profile.kinds["card"] = AcceleratorKind{ 22'000, 16, 16 };
  std::printf("replicas  enough us  short us\n");
  for (const std::size_t replicas : { 60U, 120U, 240U, 340U }) {
    measure(profile, replicas);
  }
  return 0;
}
