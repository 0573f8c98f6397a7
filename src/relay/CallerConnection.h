#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "ByteBlocks.h"
#include "MessageParser.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/base/OwnedFd.h"
#include "poplartrack/fleet/RelayConfig.h"

namespace poplartrack {

/** A connection from a caller. It carries one request at a time. */
struct CallerConnection
{
  std::uint64_t id = 0;
  OwnedFd fd;
  /** Bytes received but not parsed yet. */
  std::string input;
  /** Bytes not yet written to the socket. */
  ByteBlocks output;
  /** When the socket last accepted bytes. */
  TimePoint writtenAt{};
  /** Bytes of memory set aside for the body of the request that is being
   * received. */
  std::size_t announced = 0;
  /** The limits on the request that is being received, or else on the next one:
   * those in force when its first byte arrived. Empty if there was no
   * configuration. */
  std::optional<CallerLimits> limits;
  /** Null while no request is being received or answered. */
  std::unique_ptr<RequestParser> parser;
  /** Id of the request that is being answered; 0 if none. */
  std::uint64_t exchange = 0;
  /** When the connection became idle, or when the first byte of the current
   * request was received. */
  TimePoint stateSince{};
  /** A request has been answered on it. */
  bool hasServed = false;
  /** Part of a request has been received. */
  bool receivingRequest = false;
  /** "100 Continue" has been sent for the current request. */
  bool continueSent = false;
  /** The poller reports when the socket is writable. */
  bool watchesWrite = false;
  /** The poller does not report readable bytes: too many are buffered. */
  bool readPaused = false;
  /** Reading the stream for this caller was paused until it has read more. */
  bool pausesStream = false;
  /** The connection closes after the current answer; the head of the answer
   * says so. */
  bool closeWhenAnswered = false;
  /** The connection closes once all of output is written. */
  bool closeAfterOut = false;
  /** The last answer is written and the write side is shut down. Received bytes
   * are discarded until the caller closes: closing with unread bytes would
   * reset the connection and could lose the answer in transit. */
  bool lingering = false;
};

} // namespace poplartrack
