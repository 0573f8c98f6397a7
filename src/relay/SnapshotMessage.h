#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include "ReplicaListUpdate.h"
#include "poplartrack/fleet/FleetSnapshot.h"

namespace poplartrack {

/** Format version of SnapshotMessage. */
constexpr std::uint32_t kSnapshotFormat = 1;

/** Body of an answer that carries a FleetSnapshot. The fields are those of
 * FleetSnapshot. */
struct SnapshotMessage
{
  std::uint32_t format = kSnapshotFormat;
  std::uint64_t configVersion = 0;
  std::string configText;
  /** In microseconds; negative: no proof. */
  std::int64_t configAge = -1;
  /** Whether replicas holds the list. */
  bool hasReplicas = false;
  ReplicaListUpdate replicas;
  std::vector<std::string> relays;
  MSGPACK_DEFINE(format,
                 configVersion,
                 configText,
                 configAge,
                 hasReplicas,
                 replicas,
                 relays);
};

/** Encodes a snapshot. */
std::string
encodeSnapshot(const FleetSnapshot& aSnapshot);

/** Decodes a snapshot; Malformed if the bytes are no complete message of this
 * format, or an address in it cannot be parsed. */
Result<FleetSnapshot>
decodeSnapshot(std::string_view aBytes);

} // namespace poplartrack
