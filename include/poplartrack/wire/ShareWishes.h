#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "poplartrack/admit/AccountShares.h"
#include "poplartrack/wire/MessageKind.h"
#include "poplartrack/wire/Refusal.h"

namespace poplartrack {

/** From an entry to the entry that owns these accounts: its demand. */
struct ShareWishes
{
  static constexpr MessageKind kKind = MessageKind::ShareWishes;

  std::string from;
  /** The sender's address, from which a revision can be fetched. */
  std::string address;
  std::uint64_t revision = 0;
  std::vector<ShareDemand> wishes;

  MSGPACK_DEFINE(from, address, revision, wishes);
};

/** The owner's reply. */
struct ShareGrants
{
  static constexpr MessageKind kKind = MessageKind::ShareGrants;

  Refusal refusal;
  std::uint64_t revision = 0;
  std::vector<ShareGrant> grants;

  MSGPACK_DEFINE(refusal, revision, grants);
};

} // namespace poplartrack
