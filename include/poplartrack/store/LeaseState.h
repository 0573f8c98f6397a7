#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/store/LeaseRecord.h"
#include "poplartrack/store/PlatformLike.h"

namespace poplartrack {

/** How one process contends for one lease. */
struct LeaseSettings
{
  /** Key of the lease's row. */
  std::string name;
  /** Unique to this incarnation of this process: after a restart the process
   * is another holder. */
  std::string holder;
  /** How long the lease lasts after its holder sent a write. */
  Duration duration = std::chrono::seconds{ 9 };
  /** Time between two renewals by the holder. */
  Duration renewInterval = std::chrono::seconds{ 3 };
  /** Time between two polls by a process that does not hold the lease. */
  Duration pollInterval = std::chrono::milliseconds{ 4'500 };
  /** The holder stops using the lease this long before it expires, because
   * clocks run at different speeds. */
  Duration margin = std::chrono::milliseconds{ 900 };
};

/** The lease as its holder sees it. */
struct HeldLease
{
  /** Fencing number. It is sent with each order; the receiver rejects orders
   * with a lower number than it has seen. */
  std::uint64_t fence = 0;
  /** Time until the holder must stop using the lease. */
  Duration timeLeft{ 0 };
};

/** The platform call that a process must make next for its lease. */
enum class LeaseAction : std::uint8_t
{
  Wait,
  Read,
  Write,
};

/**
 * One process's view of one lease, as a state machine that makes no calls and
 * reads no clock itself.
 *
 * Clocks of two processes are never compared. A holder counts the lease's
 * duration from before it sent the write that the row shows. A challenger
 * counts it from after it first read that write, and takes the lease over only
 * if the row's version is still the same. So the challenger's wait ends after
 * the holder's lease, and the compare-and-set write admits only one challenger.
 *
 * A holder that was suspended past the end of its lease may still act on it if
 * it was suspended between its check and its act. This class cannot prevent
 * that: the fencing number is sent with the act, and the receiver rejects it.
 *
 * A platform that is restored from an older copy loses the latest writes of the
 * row. A process that notices this waits as long as a lease lasts before it
 * acquires one, since another one may still hold the lease that was lost, and
 * gives out no fencing number that it has seen.
 */
class LeaseState
{
public:
  explicit LeaseState(LeaseSettings aSettings);

  /** Key of the lease's row. */
  [[nodiscard]] const std::string& name() const { return this->settings.name; }
  /** Returns what the caller must do now. */
  [[nodiscard]] LeaseAction nextAction(TimePoint aNow) const;
  /** Returns when nextAction() will return something other than Wait. */
  [[nodiscard]] TimePoint due() const { return this->dueAt; }
  /** Returns the lease, or nothing if it is not held or has expired. */
  [[nodiscard]] std::optional<HeldLease> held(TimePoint aNow) const;

  /** Handles the result of a read; nothing if the row does not exist. */
  void onRead(const std::optional<TableRow>& aRow, TimePoint aNow);
  /** Handles a read or write that failed without effect. */
  void onUnavailable(TimePoint aNow);
  /** Returns the write that acquires or renews the lease, to be sent when
   * nextAction() is Write. aNow must be taken before the write is sent. */
  TableWrite beginWrite(TimePoint aNow);
  /** Handles a write that succeeded and gave the row this version. */
  void onWriteSucceeded(std::uint64_t aVersion, TimePoint aNow);
  /** Handles a write that met a conflict or has an unknown outcome: the row
   * must be read again. */
  void onWriteUncertain(TimePoint aNow);
  /** Releases the lease at once. Returns the write that shows it to the other
   * processes, or nothing if the lease is not held or the row's version is not
   * known. */
  std::optional<TableWrite> beginRelease();
  /** Releases the lease without a write, because the platform is unavailable.
   * Returns its fencing number, which the caller reports to the other
   * processes, or nothing if the lease is not held. This process never holds
   * that number again, even if a renewal under way succeeds later. */
  std::optional<std::uint64_t> releaseLocally();
  /** Handles another process's report that it released the lease with this
   * fencing number. */
  void onReleased(std::uint64_t aFence, TimePoint aNow);

private:
  /** A write that was sent and not yet seen in the row. */
  struct PendingWrite
  {
    /** As LeaseRecord::writeNumber. */
    std::uint64_t number = 0;
    std::uint64_t fence = 0;
    TimePoint sentAt;
  };

  /** Whether this process wrote the record and has not released it. */
  [[nodiscard]] bool isOwn(const LeaseRecord& aRecord) const;
  /** Whether a process that does not hold the lease may try to acquire it. */
  [[nodiscard]] bool mayAcquire(TimePoint aNow) const;
  /** Returns whether a read of the row shows that the platform was restored
   * from a copy that is older than the row as it is known here. */
  [[nodiscard]] bool showsRestore(std::uint64_t aVersion) const;
  /** Handles a read that found a record of this process: holds the lease again
   * if the record is the effect of a pending write. */
  void onOwnRecord(const LeaseRecord& aRecord, TimePoint aNow);
  /** Stops holding the lease and forgets the pending writes. */
  void stopHolding();
  /** Returns the write that replaces the known version of the row. */
  [[nodiscard]] TableWrite makeWrite(const LeaseRecord& aRecord) const;

  LeaseSettings settings;
  /** Whether the next four members describe the row as last read or written.
   * False before the first read, after an uncertain write, and after a
   * release of either kind. */
  bool rowKnown = false;
  /** Version of the row; 0 if it does not exist. */
  std::uint64_t rowVersion = 0;
  /** Content of the row. Nothing if there is no row or it cannot be parsed. */
  std::optional<LeaseRecord> record;
  /** The row exists and cannot be parsed. */
  bool unreadable = false;
  /** When this process first saw rowVersion. */
  TimePoint versionFirstSeen{};
  bool holding = false;
  /** Fencing number of the lease that is or was last held. */
  std::uint64_t fence = 0;
  /** End of the held lease, less the margin. */
  TimePoint validUntil{};
  std::uint64_t lastWriteNumber = 0;
  /** Highest fencing number that this process has seen. */
  std::uint64_t highestFence = 0;
  /** When a restore of the platform was last noticed. */
  std::optional<TimePoint> restoredAt;
  /** Leases with this fencing number or a lower one were released, by this
   * process or another one. */
  std::uint64_t releasedFence = 0;
  /** In the order in which they were sent. */
  std::vector<PendingWrite> pendingWrites;
  TimePoint dueAt{};
};

} // namespace poplartrack
