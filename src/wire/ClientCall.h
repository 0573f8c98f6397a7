#pragma once

#include <cstdint>
#include <string>

#include "FrameSource.h"
#include "poplartrack/wire/StreamClient.h"

namespace poplartrack {

/** A call between its start and its end. */
struct ClientCall
{
  std::uint64_t number = 0;
  FrameSource source;
  CallDone done;
  std::string reply;
  bool accepted = false;
  bool replyEnded = false;
  bool replyTooLarge = false;
};

/** A call that has ended, with the result for its caller. */
struct EndedCall
{
  ClientCall call;
  CallResult result;
};

} // namespace poplartrack
