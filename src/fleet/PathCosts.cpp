#include "PathCosts.h"

#include <algorithm>
#include <chrono>

namespace poplartrack {
namespace {

/** A token waits on average half a pass until the replica takes it up. */
constexpr double kPassWait = 1.5;

/** Part of a replica's memory that paths may book. A request is booked with all
 * tokens that it is expected to have at its end, and holds half of its answer
 * on average: what is left over is for those that write more. Booked with a
 * margin beside that, requests are refused while memory is free. */
constexpr double kBookable = 1.0;

/** ... and that a stream may book that goes on elsewhere. */
constexpr double kBookableStarted = 1.2;

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
  node.layers = { replica.layers->from,
                  std::min(replica.layers->to, aProfile.layers) };
  const double tokens = aDemand.promptTokens + aDemand.answerTokens;
  const double others = aCandidate.load.requests;
  const double passMs =
    aProfile.stepMs + (others + 1) * (aProfile.perRequestMs +
                                      aProfile.contextMsPerK * tokens / 1000);
  node.stepMs = kPassWait * passMs * aKind.stepFactor * aCandidate.slowdown /
                aProfile.layers;
  constexpr double kMsPerSecond = 1000;
  const double tokenReadMs = kMsPerSecond / aProfile.prefillPerSecond *
                             aKind.prefillFactor * aCandidate.slowdown /
                             aProfile.layers;
  node.readMs = aDemand.promptTokens * tokenReadMs;
  node.backlogMs = aCandidate.load.prefillTokens * tokenReadMs;
  const bool hasSlot =
    aDemand.started || aCandidate.load.pathStarts < replica.slots;
  node.mayEnter = hasSlot && aCandidate.takesRequests;
  const double bookable = aDemand.started ? kBookableStarted : kBookable;
  const double free = bookable * tokenLayerCapacity(aProfile, replica) -
                      aCandidate.load.tokenLayers;
  if (free <= 0) {
    node.room = 0;
  } else {
    node.room = static_cast<std::uint32_t>(
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
  if (kind == aProfile.kinds.end() || aProfile.tokenBytes <= 0) {
    return 0;
  }
  const double held = aReplica.layers ? aReplica.layers->size() : 0;
  const double free = kind->second.memoryMb - held * aProfile.layerMb;
  return std::max(0.0, free / aProfile.tokenLayerMb());
}

} // namespace poplartrack
