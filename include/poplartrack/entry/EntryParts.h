#pragma once

#include <string>

#include "poplartrack/base/Timers.h"
#include "poplartrack/entry/Decider.h"
#include "poplartrack/entry/EndpointDirectory.h"
#include "poplartrack/observe/Metrics.h"
#include "poplartrack/wire/StreamClient.h"

namespace poplartrack {

/** What the parts of an entry share. All of it outlives them. */
struct EntryParts
{
  Metrics& metrics;
  StreamClient& peers;
  Timers& timers;
  EndpointDirectory& endpoints;
  Decider& decider;
  std::string zone;
  std::string region;
  /** The entry's own address, for tokens and reports of failed stages. */
  std::string replyTo;
};

} // namespace poplartrack
