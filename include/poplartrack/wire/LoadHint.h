#pragma once

#include <cstdint>

#include <msgpack.hpp>

namespace poplartrack {

/**
 * An endpoint's load as measured by its side. Only a hint for the choice of
 * endpoints: it is out of date when it arrives.
 */
struct LoadHint
{
  /** Steps inside the endpoint now. */
  std::uint32_t running = 0;
  /** Steps waiting at the side. */
  std::uint32_t queued = 0;
  /** Attempts in progress at the side. */
  std::uint32_t attempts = 0;
  /** Smoothed time of one decode step in the endpoint, microseconds. */
  std::uint32_t stepMicros = 0;
  /** Tokens of KV for which the endpoint has memory left; 0 if unknown. */
  std::uint32_t freeTokens = 0;

  friend bool operator==(const LoadHint&, const LoadHint&) = default;
  MSGPACK_DEFINE(running, queued, attempts, stepMicros, freeTokens);
};

} // namespace poplartrack
