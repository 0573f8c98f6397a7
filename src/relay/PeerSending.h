#pragma once

#include <optional>
#include <set>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/LossReports.h"
#include "poplartrack/fleet/SendBudget.h"

namespace poplartrack {

/** What a relay keeps of its messages to other relays. */
struct PeerSending
{
  /** Regular messages with load tables, those that are forwarded included. */
  SendBudget tables{ Duration{ 0 } };
  /** Messages about changes, which do not wait for the next regular one. */
  SendBudget changes{ std::chrono::seconds{ 1 } };
  /** Rate of the slowest known link, in bytes a second; 0 before it is known.
   */
  double slowestLink = 0;
  /** When the next message about changes is due. */
  std::optional<TimePoint> changeDue;
  TimePoint changeSentAt{};
  /** When a regular message was last sent to relays of other zones, and when a
   * notice that shows that this store reader or lease holder is there. */
  TimePoint otherZonesAt{};
  TimePoint otherZonesNoticeAt{};
  /** Relays of other zones that were known and have fallen silent. */
  std::set<Address> silentElsewhere;
  /** The losses that this relay found itself, as last published. */
  LossReport ownLosses;
};

} // namespace poplartrack
