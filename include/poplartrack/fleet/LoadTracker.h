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
  /** Memory that the requests are expected to take, in tokens times layers. */
  double tokenLayers = 0;
  /** Prompt tokens in prefill: their requests have had no event yet. */
  double prefillTokens = 0;
  /** Requests whose path begins here; each of them takes a slot. */
  std::uint32_t pathStarts = 0;
  /** Requests of other relays that run none of the layers that are announced
   * for release; see ReleaseNotices. */
  std::uint32_t outsideRelease = 0;

  friend bool operator==(const ReplicaLoad&, const ReplicaLoad&) = default;
};

/** The work in flight that one relay reports to the others, by replica. */
using LoadTable = std::unordered_map<std::string, ReplicaLoad>;

/** Tracks what is in flight at each replica: this relay's own work, known at
 * once, and what the other relays reported last. The replicas' own reports are
 * some hundred ms late and cost a call each, so they are not used here. Not
 * thread-safe. */
class LoadTracker
{
public:
  /** Adds a request of this many tokens at all parts of a path. */
  void add(const LayerPath& aPath, double aTokens);
  /** Removes what add() added. */
  void remove(const LayerPath& aPath, double aTokens);
  /** Adds a prompt in prefill, of this many tokens, at all parts of a path. */
  void beginPrefill(const LayerPath& aPath, double aPrompt);
  void endPrefill(const LayerPath& aPath, double aPrompt);

  /** Replaces what another relay reported. */
  void onPeer(const std::string& aPeer, LoadTable aTable, TimePoint aNow);
  /** Forgets relays that have sent no report for too long. */
  void expirePeers(TimePoint aNow);
  /** Returns the number of other relays with a recent report. */
  [[nodiscard]] std::size_t peers() const { return this->peerLoads.size(); }

  /** Returns all work in flight at a replica. */
  [[nodiscard]] ReplicaLoad at(const std::string& aReplica) const;
  /** Returns this relay's own work in flight. */
  [[nodiscard]] const LoadTable& own() const { return this->ownLoads; }

private:
  /** Adds a peer's report to the sum over all peers, or subtracts it. */
  void addToPeers(const LoadTable& aTable);
  void subtractFromPeers(const LoadTable& aTable);
  void changePrefill(const LayerPath& aPath, double aTokens);

  struct Peer
  {
    LoadTable table;
    TimePoint receivedAt;
  };

  LoadTable ownLoads;
  std::map<std::string, Peer> peerLoads;
  /** Sum over all peers. Every path search reads it for every replica; summing
   * there took most of a search's time. Peers report whole numbers, so adding
   * and subtracting them loses nothing. */
  LoadTable peerSum;
};

} // namespace poplartrack
