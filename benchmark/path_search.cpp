/**
 * Time of one search for a path, by replicas, without and with the preference
 * for remaining capacity. Medians of nine runs of many
 * searches, in microseconds.
 */
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "poplartrack/fleet/PathFinder.h"

namespace {

using namespace poplartrack;

constexpr int kRuns = 9;
constexpr int kSearches = 200;
constexpr std::uint32_t kLayers = 80;
constexpr int kZones = 3;

EngineProfile
profileOf()
{
  EngineProfile profile;
  profile.slots = 64;
  profile.layers = kLayers;
  profile.layerMb = 1'700;
  profile.tokenBytes = 2e5;
  profile.stepMs = 1;
  profile.perRequestMs = 0.01;
  profile.prefillPerSecond = 100'000;
  profile.activationBytes = 16'000;
  profile.linkMbps = 8'000;
  profile.kinds["fast"] = AcceleratorKind{ 36'000, 3.1, 3.1 };
  profile.kinds["slow"] = AcceleratorKind{ 22'000, 16, 16 };
  return profile;
}

/** Returns copies of a few fast and many slow replicas, in three zones, with
 * uneven load. */
std::vector<Replica>
fleetOf(int aReplicas)
{
  std::vector<Replica> replicas;
  std::vector<std::uint32_t> next(kZones, 0);
  for (int i = 0; i < aReplicas; ++i) {
    const auto zone = static_cast<std::size_t>(i % kZones);
    Replica replica;
    replica.id = "replica-" + std::to_string(i);
    replica.zone = "zone-" + std::to_string(zone);
    replica.slots = 64;
    replica.kind = i % 15 == 0 ? "fast" : "slow";
    const std::uint32_t most = i % 15 == 0 ? 16 : 8;
    const std::uint32_t to = std::min(next[zone] + most, kLayers);
    replica.layers = LayerRange{ next[zone], to };
    next[zone] = to % kLayers;
    replicas.push_back(replica);
  }
  return replicas;
}

double
medianMicros(const EngineProfile& aProfile,
             const std::vector<PathCandidate>& aCandidates,
             bool aSpreads)
{
  PathDemand demand;
  demand.spreads = aSpreads;
  demand.promptTokens = 800;
  demand.answerTokens = 200;
  demand.zone = "zone-0";
  std::vector<double> times;
  for (int run = 0; run < kRuns; ++run) {
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kSearches; ++i) {
      if (!findPath(aProfile, aCandidates, demand)) {
        return -1;
      }
    }
    const std::chrono::duration<double, std::micro> lasted =
      std::chrono::steady_clock::now() - start;
    times.push_back(lasted.count() / kSearches);
  }
  std::sort(times.begin(), times.end());
  return times[kRuns / 2];
}

} // namespace

int
main()
{
  const EngineProfile profile = profileOf();
  std::printf("replicas  search us  with preference us\n");
  for (const int count : { 59, 120, 240, 340 }) {
    const auto replicas = fleetOf(count);
    std::vector<PathCandidate> candidates;
    for (std::size_t i = 0; i < replicas.size(); ++i) {
      ReplicaLoad load;
      load.requests = static_cast<std::uint32_t>(i % 7);
      load.tokenLayers = 0.1 * static_cast<double>(i % 7) *
                         tokenLayerCapacity(profile, replicas[i]);
      candidates.push_back(PathCandidate{ &replicas[i], load });
    }
    std::printf("%8d %10.1f %19.1f\n",
                count,
                medianMicros(profile, candidates, false),
                medianMicros(profile, candidates, true));
  }
  return 0;
}
