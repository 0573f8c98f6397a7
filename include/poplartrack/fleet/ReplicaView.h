#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "poplartrack/fleet/Replica.h"

namespace poplartrack {

/** All registered replicas at one version of the list; immutable once
 * published. */
struct ReplicaView
{
  std::uint64_t version = 0;
  /** Version of the latest change of an entry. */
  std::uint64_t lastChange = 0;
  std::vector<Replica> replicas;
  /** Indexes into replicas, by service. */
  std::map<std::string, std::vector<std::size_t>, std::less<>> byService;

  /** Returns a view of these replicas, in the order of their names. */
  static ReplicaView of(std::uint64_t aVersion,
                        const std::map<std::string, Replica>& aReplicas)
  {
    ReplicaView view;
    view.version = aVersion;
    for (const auto& [name, replica] : aReplicas) {
      view.byService[replica.service].push_back(view.replicas.size());
      view.replicas.push_back(replica);
    }
    return view;
  }
};

} // namespace poplartrack
