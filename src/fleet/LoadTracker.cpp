#include "poplartrack/fleet/LoadTracker.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace poplartrack {
namespace {

/** An entry tells its load five times a second; one that is silent for this
 * long is dead or cut off, and its requests end with it. */
constexpr Duration kPeerSilence = std::chrono::seconds{ 2 };

} // namespace

void
LoadTracker::add(const LayerPath& aPath, double aTokens)
{
  for (const PathPart& part : aPath.parts) {
    ReplicaLoad& load = this->mine[part.replica];
    ++load.requests;
    load.tokenLayers += aTokens * part.layers.size();
  }
  if (!aPath.parts.empty()) {
    ++this->mine[aPath.parts.front().replica].pathStarts;
  }
}

void
LoadTracker::remove(const LayerPath& aPath, double aTokens)
{
  for (const PathPart& part : aPath.parts) {
    const auto found = this->mine.find(part.replica);
    if (found == this->mine.end()) {
      continue;
    }
    if (--found->second.requests == 0) {
      this->mine.erase(found);
      continue;
    }
    found->second.tokenLayers -= aTokens * part.layers.size();
  }
  if (aPath.parts.empty()) {
    return;
  }
  const auto first = this->mine.find(aPath.parts.front().replica);
  if (first != this->mine.end() && first->second.pathStarts > 0) {
    --first->second.pathStarts;
  }
}

void
LoadTracker::changeReading(const LayerPath& aPath, double aTokens)
{
  for (const PathPart& part : aPath.parts) {
    const auto found = this->mine.find(part.replica);
    if (found != this->mine.end()) {
      double& reading = found->second.prefillTokens;
      reading = std::max(0.0, reading + aTokens);
    }
  }
}

void
LoadTracker::beginPrefill(const LayerPath& aPath, double aPrompt)
{
  this->changeReading(aPath, aPrompt);
}

void
LoadTracker::endPrefill(const LayerPath& aPath, double aPrompt)
{
  this->changeReading(aPath, -aPrompt);
}

void
LoadTracker::onPeer(const std::string& aPeer, LoadTable aTable, TimePoint aNow)
{
  Peer& peer = this->others[aPeer];
  this->takeFromPeers(peer.table);
  this->addToPeers(aTable);
  peer = Peer{ std::move(aTable), aNow };
}

void
LoadTracker::addToPeers(const LoadTable& aTable)
{
  for (const auto& [replica, load] : aTable) {
    ReplicaLoad& sum = this->othersSum[replica];
    sum.requests += load.requests;
    sum.pathStarts += load.pathStarts;
    sum.tokenLayers += load.tokenLayers;
    sum.prefillTokens += load.prefillTokens;
  }
}

void
LoadTracker::takeFromPeers(const LoadTable& aTable)
{
  for (const auto& [replica, load] : aTable) {
    ReplicaLoad& sum = this->othersSum[replica];
    sum.requests -= load.requests;
    sum.pathStarts -= load.pathStarts;
    sum.tokenLayers -= load.tokenLayers;
    sum.prefillTokens -= load.prefillTokens;
    if (sum.requests == 0) {
      this->othersSum.erase(replica);
    }
  }
}

void
LoadTracker::expirePeers(TimePoint aNow)
{
  std::erase_if(this->others, [&](const auto& aEntry) {
    const bool silent = aNow - aEntry.second.heard > kPeerSilence;
    if (silent) {
      this->takeFromPeers(aEntry.second.table);
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
    sum.tokenLayers += found->second.tokenLayers;
    sum.prefillTokens += found->second.prefillTokens;
  };
  addFrom(this->mine);
  addFrom(this->othersSum);
  return sum;
}

} // namespace poplartrack
