#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** What this relay exchanged with others since the last line about it. */
struct PeerTraffic
{
  std::uint64_t sentBytes = 0;
  std::uint64_t sentDatagrams = 0;
  std::uint64_t receivedBytes = 0;
  std::uint64_t receivedDatagrams = 0;
  /** Number of changes that were sent before the next regular message. */
  std::uint64_t changesSent = 0;
  /** The shortest round trip of a message of this relay, without the time that
   * its receiver kept it. */
  std::optional<Duration> shortestEcho;

  void onSent(std::size_t aBytes)
  {
    this->sentBytes += aBytes;
    ++this->sentDatagrams;
  }

  void onReceived(std::size_t aBytes)
  {
    this->receivedBytes += aBytes;
    ++this->receivedDatagrams;
  }

  void onEcho(Duration aAfter)
  {
    if (!this->shortestEcho || aAfter < *this->shortestEcho) {
      this->shortestEcho = aAfter;
    }
  }
};

} // namespace poplartrack
