#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "MessageParser.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/base/OwnedFd.h"

namespace poplartrack {

/** One connection of a caller. It carries one request at a time. */
struct CallerConnection
{
  std::uint64_t id = 0;
  OwnedFd fd;
  /** Bytes that were read and not yet parsed. */
  std::string in;
  /** Bytes that the socket has not taken yet. */
  std::string out;
  std::unique_ptr<RequestParser> parser;
  /** The request that is being answered; 0: none. */
  std::uint64_t exchange = 0;
  /** Since when it has been idle, or its present request has been arriving. */
  TimePoint since{};
  /** Bytes of a request have come that is not whole yet. */
  bool arriving = false;
  bool continueSent = false;
  bool watchesWrite = false;
  bool readPaused = false;
  /** The present answer says that the connection closes after it. */
  bool closeWhenAnswered = false;
  /** All that is written yet is the end: the connection closes after it. */
  bool closeAfterOut = false;
  /** Everything is answered; bytes are read and dropped until the caller
   * closes, or else the close would reset the answer on its way. */
  bool lingering = false;
};

} // namespace poplartrack
