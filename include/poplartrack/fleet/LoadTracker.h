#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/LayerPath.h"

namespace poplartrack {

/** Work that is in flight at one replica. */
struct ReplicaLoad
{
  std::uint32_t requests = 0;
  /** Memory that the requests are expected to take: tokens times layers. */
  double tokenLayers = 0;
  /** Prompt tokens that are being read: no event has come of them yet. */
  double prefillTokens = 0;
  /** Requests whose path begins here: each of them takes a slot. */
  std::uint32_t pathStarts = 0;

  friend bool operator==(const ReplicaLoad&, const ReplicaLoad&) = default;
};

/** What one entry tells the others about its work in flight. */
using LoadTable = std::unordered_map<std::string, ReplicaLoad>;

/**
 * What is in flight at each replica: this entry's own work, known at once, and
 * what the other entries told last. Reports of replicas lag by some hundred ms
 * and cost a call each; this is neither. Not thread-safe.
 */
class LoadTracker
{
public:
  /** Books a request of this many tokens on all parts of a path. */
  void add(const LayerPath& aPath, double aTokens);
  /** Takes back what add booked. */
  void remove(const LayerPath& aPath, double aTokens);
  /** Books a prompt that is being read on all parts of a path. */
  void beginPrefill(const LayerPath& aPath, double aPrompt);
  void endPrefill(const LayerPath& aPath, double aPrompt);

  /** Replaces what another entry told. */
  void onPeer(const std::string& aPeer, LoadTable aTable, TimePoint aNow);
  /** Forgets entries that have been silent for too long. */
  void expirePeers(TimePoint aNow);
  /** Entries that were heard of lately, without this one. */
  [[nodiscard]] std::size_t peers() const { return this->others.size(); }

  /** All work in flight at a replica. */
  [[nodiscard]] ReplicaLoad at(const std::string& aReplica) const;
  /** This entry's own part of it. */
  [[nodiscard]] const LoadTable& own() const { return this->mine; }

private:
  /** Adds what a peer told to the sum over all of them, or takes it back. */
  void addToPeers(const LoadTable& aTable);
  void takeFromPeers(const LoadTable& aTable);
  void changeReading(const LayerPath& aPath, double aTokens);

  struct Peer
  {
    LoadTable table;
    TimePoint heard;
  };

  LoadTable mine;
  std::map<std::string, Peer> others;
  /** Sum over the others. It is read for every replica at every search for a
   * path: summed up there, it was most of a search's time. What is told are
   * whole numbers, so that nothing is lost by adding and taking back. */
  LoadTable othersSum;
};

} // namespace poplartrack
