#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "AttemptDoubt.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/LayerPath.h"
#include "poplartrack/relay/EventSplitter.h"

namespace poplartrack {

/** An attempt of a request at a replica. */
struct Attempt
{
  /** Id of its connection; 0 if there is no attempt. */
  std::uint64_t connection = 0;
  /** Id of the replica that it was sent to. */
  std::string replica;
  /** Replicas that run it; empty for plain services. */
  LayerPath path;
  /** Why it is taken to make no progress; nothing while it does. Another
   * attempt takes its place if one can begin. */
  std::optional<AttemptDoubt> doubt;
  /** When it was decided. */
  TimePoint sentAt{};
  /** When its connection was ready for the request; sentAt for a connection
   * that was kept open. */
  TimePoint connectedAt{};
  /** When its first event was received. */
  std::optional<TimePoint> runningSince;
  /** Rate limit of its replica, in requests a second from all relays together,
   * as the answer reports it. */
  std::optional<double> reportedLimit;
  EventSplitter splitter;
  /** Number of its new events that bring anything. */
  std::uint32_t attemptEvents = 0;
  /** When it was sent, moved to another path or last sent an event. */
  TimePoint lastProgress{};
  /** How long the iteration of the loop that sent it, or its last event, had
   * been busy before. lastProgress is the start of that iteration. */
  Duration progressDelay{ 0 };
  /** No progress for longer than the stall timeout; the cause is being looked
   * for, or a move to another path has been ordered. */
  bool overdue = false;
  /** When it was last handled as overdue; see onStallTimeout. */
  TimePoint overdueHandledAt{};
  /** When the last move to another path was ordered; reset by the next
   * event. */
  std::optional<TimePoint> repairedAt;
};

} // namespace poplartrack
