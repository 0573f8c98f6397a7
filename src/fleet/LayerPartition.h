#pragma once

#include <cstdint>
#include <vector>

#include "poplartrack/base/LayerRange.h"
#include "poplartrack/fleet/EngineProfile.h"

namespace poplartrack {

/** Most layers that an accelerator holds beside memory for so many tokens. */
std::uint32_t
layersBeside(const EngineProfile& aProfile,
             const AcceleratorKind& aKind,
             double aTokens);

/** Tokens that each replica of one copy can keep when the layers are cut for
 * that; 0 when the replicas cannot hold all layers. At most aMost. */
double
tokensOfCopy(const EngineProfile& aProfile,
             const std::vector<const AcceleratorKind*>& aReplicas,
             double aMost);

/** Layers for each replica of one copy, in its order; they add up to aLayers.
 * Empty when the replicas cannot hold them beside aTokens. */
std::vector<std::uint32_t>
cutLayers(const EngineProfile& aProfile,
          const std::vector<const AcceleratorKind*>& aReplicas,
          double aTokens,
          std::uint32_t aLayers);

/** Answers that replicas with so many layers each give in a second when they
 * keep aTokens of usual requests: each token takes one pass of every part. */
double
answersPerSecond(const EngineProfile& aProfile,
                 const std::vector<const AcceleratorKind*>& aReplicas,
                 const std::vector<std::uint32_t>& aCounts,
                 double aTokens);

/**
 * Tokens that a copy of these replicas is best cut for, at most aMost: those
 * with which it gives the most answers in a second when it is full of requests.
 * With less memory for requests fast accelerators hold more layers, and each
 * request leaves sooner. 0 when the replicas cannot hold all layers.
 */
double
bestTokens(const EngineProfile& aProfile,
           const std::vector<const AcceleratorKind*>& aReplicas,
           double aMost);

/** A replica of a copy that is cut anew. */
struct CutMember
{
  /** What it holds now; empty when it holds nothing. */
  LayerRange held;
  /** Most layers that it may take. */
  std::uint32_t most = 0;
};

/**
 * New ranges for the members, in their order, that cover all layers with the
 * least loading. A member that gets no range keeps what it holds, beside the
 * others. Loading is weighed against memory: a member near its most has little
 * left for requests. Empty when the members cannot hold all layers.
 */
std::vector<LayerRange>
recutLayers(std::uint32_t aLayers, const std::vector<CutMember>& aMembers);

} // namespace poplartrack
