#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** The place of a relay among those of its zone that take a replica for lost.
 */
struct RecheckTurn
{
  /** 0 to relays - 1. */
  std::size_t rank = 0;
  /** This one included. */
  std::size_t relays = 1;
};

/**
 * Decides when this relay asks a replica that is taken for lost whether it is
 * alive. No request is sent there, so nothing else would show it.
 *
 * The relays of a zone take turns, so the replica gets one query in each
 * kInterval from a zone, however many relays the zone has. The others see by
 * the status messages of the one that got an answer. Not thread-safe.
 */
class SuspectRechecks
{
public:
  /** Time between two queries of a zone. */
  static constexpr Duration kInterval = std::chrono::milliseconds{ 200 };
  /** Time between two queries of a relay out of turn. */
  static constexpr Duration kWithdrawalInterval = std::chrono::seconds{ 1 };

  /**
   * Returns whether this relay is to ask now, and then expects that it does.
   * @param aSince when the replica was first taken for lost
   */
  bool isDue(const std::string& aReplica,
             TimePoint aSince,
             RecheckTurn aTurn,
             TimePoint aNow);
  /** Returns whether this relay is to ask now, out of turn, since another relay
   * no longer reports the replica, and then expects that it does. */
  bool isDueOnWithdrawal(const std::string& aReplica, TimePoint aNow);
  /** Drops what is kept for all other replicas. */
  void keepOnly(const std::set<std::string>& aKept);

private:
  struct Asked
  {
    TimePoint since{};
    /** The interval since then that was looked at last. */
    std::uint64_t interval = 0;
    /** When it was last asked out of turn. */
    TimePoint outOfTurnAt{};
  };
  std::unordered_map<std::string, Asked> asked;
};

} // namespace poplartrack
