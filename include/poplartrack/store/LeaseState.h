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
  /** Unique to this run of this process: a restarted process is another
   * holder. */
  std::string holder;
  Duration duration = std::chrono::seconds{ 9 };
  /** The holder renews this often. */
  Duration renewInterval = std::chrono::seconds{ 3 };
  /** The others look this often. */
  Duration pollInterval = std::chrono::milliseconds{ 4'500 };
  /** The holder stops this long before the lease's end: room for clocks that
   * run at different speeds. */
  Duration margin = std::chrono::milliseconds{ 900 };
};

/** The lease as its holder has it. */
struct HeldLease
{
  /** Goes with each order; the receiver refuses lower ones. */
  std::uint64_t fence = 0;
  Duration timeLeft{ 0 };
};

/** What to do next about a lease. */
enum class LeaseAction : std::uint8_t
{
  Wait,
  Read,
  Write,
};

/**
 * One process's view of one lease, as a pure state machine.
 *
 * No clock is compared with another one's. A holder counts the lease's duration
 * from before it sent the write that the row shows; a challenger counts it from
 * after it first read that write, and takes the lease over only if the row's
 * version is still the same. So the challenger's wait covers the holder's, and
 * the compare-and-set lets one challenger in.
 *
 * A holder that was frozen past its lease may still believe in it for an
 * instant between its check and its act. Nothing here can prevent that: the
 * fencing number goes with the act, and the receiver refuses it.
 */
class LeaseState
{
public:
  explicit LeaseState(LeaseSettings aSettings);

  /** Key of the lease's row. */
  [[nodiscard]] const std::string& name() const { return this->settings.name; }
  /** What to do now. */
  [[nodiscard]] LeaseAction next(TimePoint aNow) const;
  /** When next() will say something else than Wait. */
  [[nodiscard]] TimePoint due() const { return this->dueAt; }
  /** The lease, while it is held and time is left. */
  [[nodiscard]] std::optional<HeldLease> held(TimePoint aNow) const;

  /** The row was read. */
  void onRead(const std::optional<TableRow>& aRow, TimePoint aNow);
  /** A read or write failed without effect. */
  void onUnavailable(TimePoint aNow);
  /** The write for next() == Write; aNow is before it is sent. */
  TableWrite beginWrite(TimePoint aNow);
  void onWritten(std::uint64_t aVersion, TimePoint aNow);
  /** Another write came first, or it is not known: the row tells. */
  void onWriteUnsure(TimePoint aNow);
  /** Gives the lease up at once. The write tells the others; nothing when there
   * is no lease to give up. */
  std::optional<TableWrite> beginRelease();
  /** Gives the lease up without a write: the platform is out of reach. Gives
   * its fencing number, never held again, for the others to be told. A renewal
   * that is under way and succeeds yet does not bring it back. */
  std::optional<std::uint64_t> releaseLocally();
  /** The holder of this fencing number has given the lease up. */
  void onReleased(std::uint64_t aFence, TimePoint aNow);

private:
  /** A write that was sent and not yet seen in the row. */
  struct Beat
  {
    std::uint64_t number = 0;
    std::uint64_t fence = 0;
    TimePoint sent;
  };

  [[nodiscard]] bool own(const LeaseRecord& aRecord) const;
  [[nodiscard]] bool mayTake(TimePoint aNow) const;
  void adoptOwn(const LeaseRecord& aRecord, TimePoint aNow);
  void lose();
  [[nodiscard]] TableWrite writeOf(const LeaseRecord& aRecord) const;

  LeaseSettings settings;
  /** False until the row was read, and after each write that is unsure. */
  bool rowKnown = false;
  std::uint64_t version = 0;
  /** Nothing: no row, or a row that cannot be read. */
  std::optional<LeaseRecord> record;
  bool unreadable = false;
  /** When this version was first seen. */
  TimePoint firstSeen{};
  bool holding = false;
  std::uint64_t fence = 0;
  TimePoint until{};
  std::uint64_t lastBeat = 0;
  /** Leases up to this number were given up, by this process or another one. */
  std::uint64_t freed = 0;
  std::vector<Beat> beats;
  TimePoint dueAt{};
};

} // namespace poplartrack
