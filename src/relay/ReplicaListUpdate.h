#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "poplartrack/fleet/ReplicaListDelta.h"

namespace poplartrack {

/** Format version, the datagram's first field. It differs from every
 * kPeerStatusFormat, which distinguishes the two kinds of datagrams. */
constexpr std::uint32_t kListUpdateFormat = 1'001;

/** A replica in a ReplicaListUpdate. The fields are those of Replica. */
struct ReplicaRow
{
  std::string registeredAs;
  std::uint64_t startedAtMs = 0;
  std::string service;
  std::string address;
  std::string zone;
  std::uint32_t slots = 1;
  bool draining = false;
  std::string kind;
  /** Whether layers are assigned to the replica; if not, layers is unused. */
  bool placed = false;
  LayerRange layers;
  std::int64_t weights = 0;
  MSGPACK_DEFINE(registeredAs,
                 startedAtMs,
                 service,
                 address,
                 zone,
                 slots,
                 draining,
                 kind,
                 placed,
                 layers,
                 weights);
};

/** Changes of the replica list, sent by a store reader to the relays of its
 * availability zone. The fields are those of ReplicaListDelta and
 * ReplicaPoll. */
struct ReplicaListUpdate
{
  std::uint32_t format = kListUpdateFormat;
  std::uint64_t after = 0;
  std::uint64_t next = 0;
  std::uint64_t changed = 0;
  std::vector<ReplicaRow> present;
  std::vector<std::string> removed;
  /** Names of entries that the sender could not parse. */
  std::vector<std::string> unreadable;
  MSGPACK_DEFINE(format, after, next, changed, present, removed, unreadable);
};

/** Converts changes of the list to a datagram. */
ReplicaListUpdate
toListUpdate(const ReplicaListDelta& aDelta);

/** Converts a datagram to changes of the list. Returns nullopt if an address in
 * it cannot be parsed. */
std::optional<ReplicaListDelta>
toListDelta(const ReplicaListUpdate& aUpdate);

} // namespace poplartrack
