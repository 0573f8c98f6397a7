#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Table that holds one row a lease. */
constexpr const char* kLeaseTable = "leases";

/** The row of one lease. It is never deleted: its fencing number must only
 * grow, also while nobody holds the lease. */
struct LeaseRecord
{
  /** Unique to one run of one process. */
  std::string holder;
  std::uint64_t fence = 0;
  /** Numbers the holder's own writes, so that it knows them again. */
  std::uint64_t beat = 0;
  /** For so long the row stays as it is when its holder has gone silent. */
  Duration duration{ 0 };
  /** Given back: whoever comes first may take it. */
  bool released = false;

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

/** The row's value. */
std::string
toText(const LeaseRecord& aRecord);

/** What toText wrote, or nothing when the text is something else. */
std::optional<LeaseRecord>
leaseRecordFromText(const std::string& aText);

} // namespace poplartrack
