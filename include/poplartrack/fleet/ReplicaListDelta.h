#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <utility>
#include <vector>

#include "poplartrack/fleet/FleetPolls.h"

namespace poplartrack {

/** What changed in the replicas' list between two versions, passed from a relay
 * that looked at the store to those that did not. */
struct ReplicaListDelta
{
  /** It holds every change after this version. */
  std::uint64_t after = 0;
  ReplicaPoll poll;
};

/** News that wait for the thread that keeps the list. Thread-safe. */
class ReplicaListInbox
{
public:
  void push(ReplicaListDelta aDelta)
  {
    const std::scoped_lock lock{ this->guard };
    // What is left out is read from the store: later words tell its version.
    if (this->waiting.size() < kMost) {
      this->waiting.push_back(std::move(aDelta));
    }
  }
  std::vector<ReplicaListDelta> take()
  {
    const std::scoped_lock lock{ this->guard };
    return std::exchange(this->waiting, {});
  }

private:
  static constexpr std::size_t kMost = 64;

  std::mutex guard;
  std::vector<ReplicaListDelta> waiting;
};

} // namespace poplartrack
