#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/RelayConfig.h"
#include "poplartrack/fleet/Replica.h"

namespace poplartrack {

/** The answer to one look at the operator's configuration. */
struct ConfigPoll
{
  /** Null when it has not changed. */
  std::shared_ptr<const RelayConfig> config;
  /** Where the next look goes on. */
  std::uint64_t next = 0;
  /** What it says was in force at this moment of the process's clock that
   * counts suspension, or later. */
  TimePoint asOf{};
  /** Entries that could not be read, for the log. */
  std::vector<std::string> unreadable;
};

/** An entry of the replicas' list that names no replica to use. */
struct UnreadableEntry
{
  std::string name;
  /** Why it cannot be used, for the log. */
  std::string reason;

  friend bool operator==(const UnreadableEntry&,
                         const UnreadableEntry&) = default;
};

/** The answer to one look at the replicas' list. */
struct ReplicaPoll
{
  /** It holds all of them; else only those that have changed. */
  bool fullSnapshot = false;
  std::vector<Replica> present;
  /** Names under which those were registered that were removed. */
  std::vector<std::string> removed;
  /** Version of the latest change among these. */
  std::uint64_t lastChange = 0;
  std::uint64_t next = 0;
  std::vector<UnreadableEntry> unreadable;
};

} // namespace poplartrack
