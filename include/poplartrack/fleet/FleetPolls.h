#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/RelayConfig.h"
#include "poplartrack/fleet/Replica.h"

namespace poplartrack {

/** The result of one poll of the operator's configuration. */
struct ConfigPoll
{
  /** Null when it has not changed, or cannot be read. */
  std::shared_ptr<const RelayConfig> config;
  /** Store version from which the next poll continues. */
  std::uint64_t next = 0;
  /** The result was in force at this time, on the process's clock that counts
   * suspension, or later. */
  TimePoint asOf{};
  /** Why the newest configuration cannot be read, for the log; empty if it can,
   * or has not changed. */
  std::vector<std::string> unreadable;
};

/** An entry of the replica list that describes no usable replica. */
struct UnreadableEntry
{
  std::string name;
  /** Why the entry cannot be used, for the log. */
  std::string reason;

  friend bool operator==(const UnreadableEntry&,
                         const UnreadableEntry&) = default;
};

/** The result of one poll of the replica list. */
struct ReplicaPoll
{
  /** Whether it holds all replicas; otherwise only those that changed. */
  bool fullSnapshot = false;
  /** Replicas that are listed. */
  std::vector<Replica> present;
  /** Registered names of the replicas that were removed. */
  std::vector<std::string> removed;
  /** Version of the latest change in this result. */
  std::uint64_t lastChange = 0;
  /** Store version from which the next poll continues. */
  std::uint64_t next = 0;
  std::vector<UnreadableEntry> unreadable;
  /** Calls of the store that the poll took: one for each page. */
  std::uint32_t calls = 1;
};

} // namespace poplartrack
