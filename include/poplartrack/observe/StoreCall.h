#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplartrack {

/** Why a relay calls the store. Each reason has a counter. */
enum class StoreCall : std::uint8_t
{
  /** Read of the configuration, when nothing is known yet or the history that
   * a poll would continue from is gone. */
  ConfigRead,
  /** Long poll of the configuration. */
  ConfigPoll,
  /** Read of a configuration that another relay has and no relay hands out. */
  ConfigCatchUp,
  /** Read that renews the freshness proof of the configuration. */
  ConfigProof,
  /** Read of the whole replica list. */
  ReplicasRead,
  /** Long poll of the replica list. */
  ReplicasPoll,
  /** Read of a replica list that another relay has and no relay hands out. */
  ReplicasCatchUp,
  /** Write of this relay's row in the list of relays. */
  RelaysWrite,
  /** Read of the list of relays. */
  RelaysRead,
  QuarantineRead,
  QuarantineWrite,
  /** Read or write of the placement lease. */
  Lease,
};

constexpr std::size_t kStoreCallCount =
  static_cast<std::size_t>(StoreCall::Lease) + 1;

constexpr std::array<std::string_view, kStoreCallCount> kStoreCallNames{
  "config_read",   "config_poll",     "config_catch_up",   "config_proof",
  "replicas_read", "replicas_poll",   "replicas_catch_up", "relays_write",
  "relays_read",   "quarantine_read", "quarantine_write",  "lease",
};

/** The reason's stable name. */
constexpr std::string_view
nameOf(StoreCall aCall)
{
  return kStoreCallNames[static_cast<std::size_t>(aCall)];
}

} // namespace poplartrack
