#pragma once

#include <cstdint>
#include <vector>

#include "poplartrack/base/LayerRange.h"
#include "poplartrack/fleet/EngineProfile.h"

namespace poplartrack {

/** Returns the most layers that an accelerator holds while it keeps memory for
 * aTokens tokens. */
std::uint32_t
layerCapacity(const EngineProfile& aProfile,
              const AcceleratorKind& aKind,
              double aTokens);

/** Returns the most tokens, up to aMaxTokens, that every replica of one copy
 * can keep memory for; 0 if the replicas cannot hold all layers. */
double
copyTokenCapacity(const EngineProfile& aProfile,
                  const std::vector<const AcceleratorKind*>& aReplicas,
                  double aMaxTokens);

/** Returns the number of layers for each replica of one copy, in the given
 * order; they add up to aLayers. Fast accelerators get as many as they can hold
 * while they keep memory for aTokens tokens. Empty if the replicas cannot hold
 * aLayers layers then. */
std::vector<std::uint32_t>
partitionLayers(const EngineProfile& aProfile,
                const std::vector<const AcceleratorKind*>& aReplicas,
                double aTokens,
                std::uint32_t aLayers);

/** Returns the answers per second of replicas that hold aCounts layers each
 * while aTokens tokens of mean requests fill their memory. Each token takes one
 * decode step of every replica. */
double
answersPerSecond(const EngineProfile& aProfile,
                 const std::vector<const AcceleratorKind*>& aReplicas,
                 const std::vector<std::uint32_t>& aCounts,
                 double aTokens);

/**
 * Returns the token capacity, up to aMaxTokens, with which a copy of these
 * replicas gives the most answers per second when it is full of requests. With
 * a smaller capacity fast accelerators hold more layers, and each request ends
 * sooner. 0 if the replicas cannot hold all layers.
 */
double
bestTokenCapacity(const EngineProfile& aProfile,
                  const std::vector<const AcceleratorKind*>& aReplicas,
                  double aMaxTokens);

/** A replica of a copy that is partitioned again. */
struct RepartitionMember
{
  /** The layers that it holds now; empty if none. */
  LayerRange held;
  /** Most layers that it may get. */
  std::uint32_t maxLayers = 0;
};

/**
 * Returns new ranges for the members, in their order, that cover all layers at
 * the least cost. The cost weighs loading against memory: a member near its
 * maximum has little memory left for requests. A member that gets an empty
 * range keeps the layers that it holds, in addition to the others. The result
 * is empty if the members cannot hold all layers.
 */
std::vector<LayerRange>
repartitionLayers(std::uint32_t aLayers,
                  const std::vector<RepartitionMember>& aMembers);

} // namespace poplartrack
