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
  ReplicaRejects,
  ReplicaAnnounces,
  StoreRestored,
  ReplicaFails,
  ReplicaSlows,
  AccountFloods,
  ReplicaSendsEndlessly,
  ReplicaFallsSilent,
  ReplicaStopsInHead,
  ConfigChanges,
  RelayHangsUp,
  MemberChanges,
};

constexpr std::array<std::string_view, 28> kFaultNames{
  "relay killed",
  "relay paused",
  "relay stopped",
  "replica killed",
  "replica paused",
  "replica leaves",
  "store link cut",
  "store link silent",
  "store link slow",
  "replica link cut",
  "replica link silent",
  "replica link slow",
  "store busy",
  "store loses answers",
  "store forgets",
  "key taken away",
  "replica rejects",
  "replica announces",
  "store restored",
  "replica fails",
  "replica slows",
  "account floods",
  "replica sends endlessly",
  "replica falls silent",
  "replica stops in head",
  "config changes",
  "relay gets a hangup signal",
  "desired state changes",
};
static_assert(kFaultNames.size() ==
              static_cast<std::size_t>(Fault::MemberChanges) + 1);

/** The faults before ReplicaRejects. Plans of these alone stay as they were
 * when there were no others, so that a seed gives the same run. */
constexpr std::size_t kFirstFaults = 16;

/** The faults before ReplicaFails, for the same reason. */
constexpr std::size_t kSignalFaults = 19;

/** One fault of a plan. */
struct PlannedFault
{
  std::chrono::milliseconds at{ 0 };
  Fault fault = Fault::RelayKilled;
  /** Which relay, replica, account or MemberChange: a number to be taken modulo
   * their count. */
  std::size_t who = 0;
  std::chrono::milliseconds lasts{ 0 };
};

/**
 * The faults of one run: several in a row of a kind, and overlapping ones. The
 * same seed gives the same plan.
 *
 * @param aLength faults begin within this time
 * @param aKinds only this many kinds of faults, the first ones, occur
 */
std::vector<PlannedFault>
planOf(std::uint64_t aSeed,
       std::chrono::milliseconds aLength,
       std::size_t aKinds = kFirstFaults);

/** The further faults of a run with contention: floods of accounts, and
 * replicas that fail their requests or are slow. */
std::vector<PlannedFault>
contentionPlanOf(std::uint64_t aSeed, std::chrono::milliseconds aLength);

/** The further faults of a run with answers that do not end. */
std::vector<PlannedFault>
endlessPlanOf(std::uint64_t aSeed, std::chrono::milliseconds aLength);

/** The further faults of a run with silences: sound replicas, up to all at
 * once, that say nothing for a second or so and continue, and meanwhile
 * replicas that stop within the head of each answer, changes of the
 * configuration and signals to relays. */
std::vector<PlannedFault>
silencePlanOf(std::uint64_t aSeed, std::chrono::milliseconds aLength);

/** The further faults of a run with changes of the desired state: each member
 * is taken out, emptied, raised, lowered and put back, in series and
 * overlapping, beside signals to relays. Some changes last longer than a
 * revoked key may work. */
std::vector<PlannedFault>
memberPlanOf(std::uint64_t aSeed, std::chrono::milliseconds aLength);

} // namespace poplartrack::soak
