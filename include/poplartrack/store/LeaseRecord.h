#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Table with one row per lease. */
constexpr const char* kLeaseTable = "leases";

/** The value of a lease's row. The row is never deleted, because its fencing
 * number must only grow, even while nobody holds the lease. */
struct LeaseRecord
{
  /** Identifies one incarnation of one process. */
  std::string holder;
  /** Fencing number of the lease. It grows each time the lease is acquired. */
  std::uint64_t fence = 0;
  /** Counts the holder's writes. A holder that lost the answer to a write
   * recognizes the write in the row by this number. */
  std::uint64_t writeNumber = 0;
  /** How long a challenger waits, after it first sees a version of the row,
   * before it may take the lease over from a silent holder. */
  Duration duration{ 0 };
  /** The holder released the lease: any process may acquire it at once. */
  bool released = false;

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

/** Serializes the record to the row's value, a JSON object. */
std::string
toText(const LeaseRecord& aRecord);

/** Parses the output of toText. Returns nothing if the text is invalid. */
std::optional<LeaseRecord>
leaseRecordFromText(const std::string& aText);

} // namespace poplartrack
