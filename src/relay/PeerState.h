#pragma once

#include <cstdint>
#include <string>

#include "PeerStatus.h"
#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** What a relay keeps of the latest status message of another one. */
struct PeerState
{
  /** Sent back to that relay with the next status message. */
  PeerEcho echo;
  std::string zone;
  TimePoint receivedAt;
  /** It is a store reader. */
  bool polls = false;
  /** Its latest poll failed. */
  bool pollsFail = false;
  /** Rate of its instance's network link, in Mbit/s; 0 if it is unknown. */
  std::uint32_t linkMbps = 0;
  /** It forwards status messages within its zone on request. */
  bool forwards = false;
  /** It holds the placement lease. */
  bool holdsLease = false;
};

/** Returns a name for one incarnation of a relay's process. */
std::string
incarnationName(const Address& aPeer, std::uint64_t aIncarnation);

} // namespace poplartrack
