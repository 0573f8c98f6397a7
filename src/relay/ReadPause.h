#pragma once

#include <cstdint>

namespace poplartrack {

/** Why no bytes are read from a replica for now. */
enum class ReadPause : std::uint8_t
{
  None,
  /** Requests and answers together hold too much memory. */
  Memory,
  /** The caller of the stream has not read what was sent to it. */
  Caller,
  /** Reads in bulk have used up their share of the loop's time. */
  Time,
  /** Another attempt has taken the place of a stream whose replica drains. */
  Replaced,
};

} // namespace poplartrack
