#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "poplartrack/fleet/ReplicaListDelta.h"

namespace poplartrack {

/** Version of the datagram below. It differs from that of any PeerStatus. */
constexpr std::uint32_t kListFormat = 1'001;

/** One replica's entry in a datagram. */
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

/** Changes of the replicas' list, from a relay that looked at the store. */
struct ReplicaListUpdate
{
  std::uint32_t format = kListFormat;
  std::uint64_t after = 0;
  std::uint64_t next = 0;
  std::uint64_t changed = 0;
  std::vector<ReplicaRow> present;
  std::vector<std::string> removed;
  /** Names of entries that cannot be read. */
  std::vector<std::string> unreadable;
  MSGPACK_DEFINE(format, after, next, changed, present, removed, unreadable);
};

/** What is told of the news. */
ReplicaListUpdate
updateOf(const ReplicaListDelta& aDelta);

/** ... and what it says; nothing where an address in it cannot be read. */
std::optional<ReplicaListDelta>
deltaOf(const ReplicaListUpdate& aUpdate);

} // namespace poplartrack
