#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "Mailbox.h"
#include "poplartrack/wire/StreamServer.h"

namespace poplartrack {

/** A reply that is passed to the I/O thread. */
struct PendingReply
{
  std::uint64_t connection = 0;
  std::int32_t stream = 0;
  std::string frame;
};

/** State that all connections of one server share. */
struct ServerShared
{
  StreamServerLimits limits;
  FrameHandler handler;
  std::atomic<std::size_t> openCalls{ 0 };
  /** Bytes of calls whose body is incomplete. */
  std::size_t bufferedBytes = 0;
  /** Late responders keep it after the server is destroyed. */
  std::shared_ptr<Mailbox<PendingReply>> replies;
};

} // namespace poplartrack
