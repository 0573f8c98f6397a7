#pragma once

#include <cstddef>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/**
 * Bounds of one side's ledger.
 *
 * How long a request is remembered after its last attempt here has ended. A
 * frame of a request is sent before the request's deadline, so at most
 * maxDeadline after the request's first frame, and a frame that a connection
 * still delivers is at most maxFrameAge old. A side that remembers a request
 * for tombstoneLife >= maxDeadline + maxFrameAge therefore remembers it for as
 * long as any frame of it can arrive: neither can a late call run after its
 * fence was acknowledged, nor can a late fence be answered "it never ran"
 * because the side has forgotten. The life is counted in time during which the
 * side was awake (see maxTick): frames wait in its socket buffers while it is
 * frozen.
 *
 * After a request that ended well no fence asks for proof any more; only late
 * copies have to be refused, so finishedLife >= maxFrameAge is enough.
 */
struct LedgerLimits
{
  /** Attempts and plain calls open at once. */
  std::size_t maxAttempts = 4096;
  /** Requests remembered, open ones included. When they are used up, new work
   * is refused; a tombstone is never dropped for it. */
  std::size_t maxTombstones = 65'536;
  /** Longest deadline a request may have; longer ones are refused. */
  Duration maxDeadline = std::chrono::minutes{ 5 };
  /** Longest time for which a connection may still deliver a frame; the
   * kernel gives up on a closed connection before that. */
  Duration maxFrameAge = std::chrono::minutes{ 3 };
  Duration tombstoneLife = std::chrono::minutes{ 10 };
  Duration finishedLife = std::chrono::minutes{ 4 };
  /** Most that one call of expire() ages the tombstones. Longer gaps mean that
   * the process was frozen; call expire() at least twice in this time. */
  Duration maxTick = std::chrono::seconds{ 2 };
  /** Largest answer of a plain call that is kept for repeats. */
  std::size_t maxReplayBytes = 65'536;
};

} // namespace poplartrack
