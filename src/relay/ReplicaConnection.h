#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "MessageParser.h"
#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/base/OwnedFd.h"

namespace poplartrack {

/** One connection to a replica. It carries one request at a time. */
struct ReplicaConnection
{
  enum class State : std::uint8_t
  {
    Connecting,
    Busy,
    Idle,
  };

  std::uint64_t id = 0;
  OwnedFd fd;
  std::string replica;
  Address address;
  State state = State::Connecting;
  std::string in;
  std::string out;
  std::unique_ptr<ResponseParser> parser;
  std::uint64_t exchange = 0;
  /** Some byte of the present request has been given to the socket. From then
   * on nothing but the replica's own word proves that it did not run. */
  bool anySent = false;
  bool watchesWrite = false;
  /** The present answer belongs to another request and is dropped. */
  bool discarding = false;
  /** The present answer's head was handled. */
  bool headSeen = false;
  /** Answers that were read on this connection. */
  std::uint32_t answers = 0;
  /** When it is closed if it stays idle. */
  TimePoint idleUntil{};
  TimePoint idleSince{};
};

} // namespace poplartrack
