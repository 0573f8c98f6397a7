#include "PathCosts.h"

#include <algorithm>
#include <chrono>

namespace poplartrack {
namespace {

/** Fraction of a replica's memory that paths may reserve. A request reserves
 * memory for all tokens that it is expected to have at its end, but holds only
 * half of its answer on average. The difference covers answers that are longer
 * than expected. With a further margin, requests would be refused while memory
 * is free. */
constexpr double kReservableShare = 1.0;

/** Fraction of the memory that a started stream may reserve when it moves to
 * another path: its caller loses more than one whose request is refused. */
constexpr double kReservableShareStarted = 1.2;

} // namespace

PathNode
pathNode(const EngineProfile& aProfile,
         const PathDemand& aDemand,
         const AcceleratorKind& aKind,
         const PathCandidate& aCandidate,
         std::size_t aZone)
{
  const Replica& replica = *aCandidate.replica;
  PathNode node;
  node.candidate = &aCandidate;
  node.zone = aZone;
  node.layers = aCandidate.usable.value_or(*replica.layers);
  const double tokens = aDemand.promptTokens + aDemand.answerTokens;
  const double others = aCandidate.load.requests;
  const double requestMs =
    aProfile.perRequestMs + aProfile.contextMsPerK * tokens / 1000;
  const double batchStepMs = aProfile.stepMs + (others + 1) * requestMs;
  const double layerSteps =
    kStepsPerToken * aKind.stepFactor * aCandidate.slowdown / aProfile.layers;
  node.stepMs = layerSteps * batchStepMs;
  node.idleStepMs = layerSteps * (aProfile.stepMs + requestMs);
  constexpr double kMsPerSecond = 1000;
  const double tokenPrefillMs = kMsPerSecond / aProfile.prefillPerSecond *
                                aKind.prefillFactor * aCandidate.slowdown /
                                aProfile.layers;
  node.prefillMs = aDemand.promptTokens * tokenPrefillMs;
  node.backlogMs = aCandidate.load.prefillTokens * tokenPrefillMs;
  const bool hasSlot =
    aDemand.started || aCandidate.load.pathStarts < replica.slots;
  node.mayStart = hasSlot && aCandidate.takesRequests;
  const double reservable =
    aDemand.started ? kReservableShareStarted : kReservableShare;
  const double free =
    reservable * tokenLayerCapacity(aProfile, aKind, replica) -
    aCandidate.load.tokenLayers;
  if (free <= 0) {
    node.fittingLayers = 0;
  } else {
    node.fittingLayers = static_cast<std::uint32_t>(
      std::min<double>(free / std::max(tokens, 1.0), aProfile.layers));
  }
  return node;
}

double
delayMs(const EngineProfile& aProfile,
        const std::string& aFrom,
        const std::string& aTo)
{
  const auto found = aProfile.delays.find(zonePair(aFrom, aTo));
  return found == aProfile.delays.end()
           ? 0
           : std::chrono::duration<double, std::milli>(found->second).count();
}

double
transferMs(const EngineProfile& aProfile, double aTokens)
{
  if (aProfile.linkMbps <= 0) {
    return 0;
  }
  constexpr double kBitsPerByte = 8;
  constexpr double kBitsPerMsAndMbps = 1000;
  return aTokens * aProfile.activationBytes * kBitsPerByte /
         (aProfile.linkMbps * kBitsPerMsAndMbps);
}

double
tokenLayerCapacity(const EngineProfile& aProfile, const Replica& aReplica)
{
  const auto kind = aProfile.kinds.find(aReplica.kind);
  return kind == aProfile.kinds.end()
           ? 0
           : tokenLayerCapacity(aProfile, kind->second, aReplica);
}

double
tokenLayerCapacity(const EngineProfile& aProfile,
                   const AcceleratorKind& aKind,
                   const Replica& aReplica)
{
  if (aProfile.tokenBytes <= 0) {
    return 0;
  }
  const double held = aReplica.layers ? aReplica.layers->size() : 0;
  const double free = aKind.memoryMb - held * aProfile.layerMb;
  return std::max(0.0, free / aProfile.tokenLayerMb());
}

} // namespace poplartrack
