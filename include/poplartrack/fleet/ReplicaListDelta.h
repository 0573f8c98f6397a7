#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <utility>
#include <vector>

#include "poplartrack/fleet/FleetPolls.h"

namespace poplartrack {

/** The changes of the replica list between two versions, sent by a store reader
 * to the relays that don't poll. */
struct ReplicaListDelta
{
  /** It holds every change after this version. */
  std::uint64_t after = 0;
  ReplicaPoll poll;
};

/** Changes that wait for the thread that keeps the replica list. Thread-safe.
 */
class ReplicaListInbox
{
public:
  void push(ReplicaListDelta aDelta)
  {
    const std::scoped_lock lock{ this->guard };
    // A delta that is dropped here is read from the store later: status
    // messages carry the latest version, so this relay learns that it is
    // behind.
    if (this->waiting.size() < kMaxWaiting) {
      this->waiting.push_back(std::move(aDelta));
    }
  }
  std::vector<ReplicaListDelta> take()
  {
    const std::scoped_lock lock{ this->guard };
    return std::exchange(this->waiting, {});
  }

private:
  static constexpr std::size_t kMaxWaiting = 64;

  std::mutex guard;
  std::vector<ReplicaListDelta> waiting;
};

} // namespace poplartrack
