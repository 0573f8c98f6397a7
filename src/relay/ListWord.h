#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "poplartrack/fleet/ListNews.h"

namespace poplartrack {

/** Version of the datagram below. It differs from that of any PeerWord. */
constexpr std::uint32_t kListFormat = 1'001;

/** One replica's entry in a datagram. */
struct ReplicaRow
{
  std::string registeredAs;
  std::uint64_t born = 0;
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
                 born,
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
struct ListWord
{
  std::uint32_t format = kListFormat;
  std::uint64_t after = 0;
  std::uint64_t next = 0;
  std::uint64_t changed = 0;
  std::vector<ReplicaRow> present;
  std::vector<std::string> gone;
  /** Names of entries that cannot be read. */
  std::vector<std::string> unreadable;
  MSGPACK_DEFINE(format, after, next, changed, present, gone, unreadable);
};

/** What is told of the news. */
ListWord
listWord(const ListNews& aNews);

/** ... and what it says; nothing where an address in it cannot be read. */
std::optional<ListNews>
newsOf(const ListWord& aWord);

} // namespace poplartrack
