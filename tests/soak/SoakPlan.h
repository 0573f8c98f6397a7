#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace poplartrack::soak {

/** What is done to the system from outside. */
enum class Fault : std::uint8_t
{
  RelayKilled,
  RelayPaused,
  RelayStopped,
  ReplicaKilled,
  ReplicaPaused,
  ReplicaLeaves,
  StoreLinkCut,
  StoreLinkSilent,
  StoreLinkSlow,
  ReplicaLinkCut,
  ReplicaLinkSilent,
  ReplicaLinkSlow,
  StoreBusy,
  StoreLosesAnswers,
  StoreForgets,
  KeyTakenAway,
};

constexpr std::array<std::string_view, 16> kFaultNames{
  "relay killed",     "relay paused",        "relay stopped",
  "replica killed",   "replica paused",      "replica leaves",
  "store link cut",   "store link silent",   "store link slow",
  "replica link cut", "replica link silent", "replica link slow",
  "store busy",       "store loses answers", "store forgets",
  "key taken away",
};
static_assert(kFaultNames.size() ==
              static_cast<std::size_t>(Fault::KeyTakenAway) + 1);

/** One fault of a plan. */
struct PlannedFault
{
  std::chrono::milliseconds at{ 0 };
  Fault fault = Fault::RelayKilled;
  /** Which relay or replica: a number to be taken modulo how many there are. */
  std::size_t who = 0;
  std::chrono::milliseconds lasts{ 0 };
};

/**
 * The faults of one run: several in a row of a kind, and overlapping ones. The
 * same seed gives the same plan.
 *
 * @param aLength faults begin within this time
 */
std::vector<PlannedFault>
planOf(std::uint64_t aSeed, std::chrono::milliseconds aLength);

} // namespace poplartrack::soak
