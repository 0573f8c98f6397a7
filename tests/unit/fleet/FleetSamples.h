#pragma once

#include <string>
#include <vector>

#include "poplartrack/fleet/EngineProfile.h"
#include "poplartrack/fleet/LayerPath.h"
#include "poplartrack/fleet/Replica.h"

namespace poplartrack::fleettest {

/** Returns a model of 20 layers on two kinds of accelerators; a token takes
 * 0.01 MB per layer. */
inline EngineProfile
smallProfile()
{
  EngineProfile profile;
  profile.slots = 8;
  profile.layers = 20;
  profile.layerMb = 100;
  profile.tokenBytes = 2e5;
  profile.stepMs = 1;
  profile.perRequestMs = 0.01;
  profile.prefillPerSecond = 100'000;
  profile.activationBytes = 20'000;
  profile.linkMbps = 8'000;
  profile.meanPromptTokens = 800;
  profile.meanAnswerTokens = 200;
  profile.loadTime = std::chrono::seconds{ 10 };
  profile.kinds["fast"] = AcceleratorKind{ 1'600, 2, 2 };
  profile.kinds["slow"] = AcceleratorKind{ 1'000, 10, 10 };
  profile.delays[{ "a", "b" }] = std::chrono::microseconds{ 250 };
  return profile;
}

/** Returns a replica without layers. */
inline Replica
replicaOf(const std::string& aId,
          const std::string& aZone,
          const std::string& aKind)
{
  Replica replica;
  replica.id = aId;
  replica.registeredAs = aId;
  replica.service = "model";
  replica.address = Address{ "127.0.0.1", 1 };
  replica.zone = aZone;
  replica.kind = aKind;
  replica.slots = 8;
  return replica;
}

/** Returns a slow replica that holds some layers. */
inline Replica
holding(const std::string& aId, const std::string& aZone, LayerRange aLayers)
{
  Replica replica = replicaOf(aId, aZone, "slow");
  replica.layers = aLayers;
  return replica;
}

/** Returns whether the path runs each layer once and in order, names no replica
 * twice, and names only replicas that hold their parts. */
inline bool
isValidPath(const LayerPath& aPath,
            const std::vector<Replica>& aReplicas,
            std::uint32_t aLayers)
{
  std::uint32_t next = 0;
  std::vector<std::string> named;
  for (const PathPart& part : aPath.parts) {
    if (part.layers.from != next || part.layers.size() == 0) {
      return false;
    }
    next = part.layers.to;
    for (const std::string& name : named) {
      if (name == part.replica) {
        return false;
      }
    }
    named.push_back(part.replica);
    bool held = false;
    for (const Replica& replica : aReplicas) {
      held = held || (replica.id == part.replica && replica.layers &&
                      replica.layers->contains(part.layers));
    }
    if (!held) {
      return false;
    }
  }
  return next == aLayers;
}

} // namespace poplartrack::fleettest
