#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "poplartrack/wire/MessageKind.h"
#include "poplartrack/wire/Refusal.h"

namespace poplartrack {

/** From any process to an entry: requests a configuration newer than this. */
struct ConfigFetch
{
  static constexpr MessageKind kKind = MessageKind::ConfigFetch;

  std::uint64_t have = 0;

  MSGPACK_DEFINE(have);
};

/** The revision that the peer has in force; text is empty if it is not newer.
 */
struct ConfigReply
{
  static constexpr MessageKind kKind = MessageKind::ConfigReply;

  Refusal refusal;
  std::uint64_t revision = 0;
  /** The merged configuration, as the revision's object holds it. */
  std::string text;

  MSGPACK_DEFINE(refusal, revision, text);
};

} // namespace poplartrack
