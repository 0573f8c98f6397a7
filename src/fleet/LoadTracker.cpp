#include "poplartrack/fleet/LoadTracker.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace poplartrack {
namespace {

/** Relays report their load five times a second. One that is silent for this
 * long is dead or cut off, and its requests end with it. */
constexpr Duration kPeerTimeout = std::chrono::seconds{ 2 };

} // namespace

void
LoadTracker::add(const LayerPath& aPath, double aTokens)
{
  for (const PathPart& part : aPath.parts) {
    ReplicaLoad& load = this->ownLoads[part.replica];
    ++load.requests;
    load.tokenLayers += aTokens * part.layers.size();
  }
  if (!aPath.parts.empty()) {
    ++this->ownLoads[aPath.parts.front().replica].pathStarts;
  }
}

void
LoadTracker::remove(const LayerPath& aPath, double aTokens)
{
  for (const PathPart& part : aPath.parts) {
    const auto found = this->ownLoads.find(part.replica);
    if (found == this->ownLoads.end()) {
      continue;
    }
    if (--found->second.requests == 0) {
      this->ownLoads.erase(found);
      continue;
    }
    found->second.tokenLayers -= aTokens * part.layers.size();
  }
  if (aPath.parts.empty()) {
    return;
  }
  const auto first = this->ownLoads.find(aPath.parts.front().replica);
  if (first != this->ownLoads.end() && first->second.pathStarts > 0) {
    --first->second.pathStarts;
  }
}

void
LoadTracker::changePrefill(const LayerPath& aPath, double aTokens)
{
  for (const PathPart& part : aPath.parts) {
    const auto found = this->ownLoads.find(part.replica);
    if (found != this->ownLoads.end()) {
      double& prefill = found->second.prefillTokens;
      prefill = std::max(0.0, prefill + aTokens);
    }
  }
}

void
LoadTracker::beginPrefill(const LayerPath& aPath, double aPrompt)
{
  this->changePrefill(aPath, aPrompt);
}

void
LoadTracker::endPrefill(const LayerPath& aPath, double aPrompt)
{
  this->changePrefill(aPath, -aPrompt);
}

void
LoadTracker::onPeer(const std::string& aPeer, LoadTable aTable, TimePoint aNow)
{
  Peer& peer = this->peerLoads[aPeer];
  this->subtractFromPeers(peer.table);
  this->addToPeers(aTable);
  peer = Peer{ std::move(aTable), aNow };
}

void
LoadTracker::addToPeers(const LoadTable& aTable)
{
  for (const auto& [replica, load] : aTable) {
    ReplicaLoad& sum = this->peerSum[replica];
    sum.requests += load.requests;
    sum.pathStarts += load.pathStarts;
    sum.outsideRelease += load.outsideRelease;
    sum.tokenLayers += load.tokenLayers;
    sum.prefillTokens += load.prefillTokens;
  }
}

void
LoadTracker::subtractFromPeers(const LoadTable& aTable)
{
  for (const auto& [replica, load] : aTable) {
    ReplicaLoad& sum = this->peerSum[replica];
    sum.requests -= load.requests;
    sum.pathStarts -= load.pathStarts;
    sum.outsideRelease -= load.outsideRelease;
    sum.tokenLayers -= load.tokenLayers;
    sum.prefillTokens -= load.prefillTokens;
    if (sum.requests == 0) {
      this->peerSum.erase(replica);
    }
  }
}

void
LoadTracker::expirePeers(TimePoint aNow)
{
  std::erase_if(this->peerLoads, [&](const auto& aEntry) {
    const bool silent = aNow - aEntry.second.receivedAt > kPeerTimeout;
    if (silent) {
      this->subtractFromPeers(aEntry.second.table);
    }
    return silent;
  });
}

ReplicaLoad
LoadTracker::at(const std::string& aReplica) const
{
  ReplicaLoad sum;
  const auto addFrom = [&](const LoadTable& aTable) {
    const auto found = aTable.find(aReplica);
    if (found == aTable.end()) {
      return;
    }
    sum.requests += found->second.requests;
    sum.pathStarts += found->second.pathStarts;
    sum.outsideRelease += found->second.outsideRelease;
    sum.tokenLayers += found->second.tokenLayers;
    sum.prefillTokens += found->second.prefillTokens;
  };
  addFrom(this->ownLoads);
  addFrom(this->peerSum);
  return sum;
}

} // namespace poplartrack
