#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "ByteBlocks.h"
#include "EndJudge.h"
#include "MessageParser.h"
#include "ReadPause.h"
#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/base/OwnedFd.h"

namespace poplartrack {

/** A connection to a replica. It carries one request at a time. */
struct ReplicaConnection
{
  enum class State : std::uint8_t
  {
    Connecting,
    /** Assigned to a request. */
    Busy,
    /** Kept open for a later request. */
    Idle,
  };

  std::uint64_t id = 0;
  OwnedFd fd;
  /** Id of the replica. */
  std::string replica;
  Address address;
  State state = State::Connecting;
  /** Bytes received but not parsed yet. */
  std::string input;
  /** Head of the request, as far as it is not yet written to the socket. */
  ByteBlocks output;
  /** Bytes at the end of the request's body that are not yet written. */
  std::size_t bodyLeft = 0;
  std::unique_ptr<ResponseParser> parser;
  /** Id of the request in progress; 0 if none. */
  std::uint64_t exchange = 0;
  /** At least one byte of the current request has been passed to the socket.
   * From then on only the replica's answer can prove that it did not run. */
  bool anySent = false;
  EndJudge endJudge;
  /** The poller reports when the socket is writable. */
  bool watchesWrite = false;
  /** Why the poller does not report readable bytes. */
  ReadPause pause = ReadPause::None;
  /** The current answer belongs to another request and is discarded. */
  bool discardingAnswer = false;
  /** The head of the current answer has been handled. */
  bool headHandled = false;
  /** Number of complete answers received on this connection. */
  std::uint32_t answersRead = 0;
  /** Number of interim answers (1xx) to the current request. */
  std::uint32_t interimAnswers = 0;
  /** Number of answers to other requests that were discarded since the current
   * request was sent, and their bytes. */
  std::uint32_t foreignAnswers = 0;
  std::uint64_t foreignBytes = 0;
  /** Bytes received for the current request in a period of BulkReads, and the
   * number of that period. */
  std::size_t periodBytes = 0;
  std::uint32_t period = 0;
  /** When the connection is closed if it is still idle. */
  TimePoint idleUntil{};
  TimePoint idleSince{};
};

} // namespace poplartrack
