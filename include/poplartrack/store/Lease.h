#pragma once

#include <algorithm>
#include <mutex>
#include <optional>
#include <utility>

#include "poplartrack/base/Clock.h"
#include "poplartrack/store/LeaseState.h"
#include "poplartrack/store/PlatformLike.h"

namespace poplartrack {

/**
 * A lease on a name, held by at most one process at a time. One thread polls;
 * any thread may ask for held().
 */
template<PlatformLike Platform, ClockLike Clock>
class Lease
{
public:
  Lease(Platform& aPlatform, Clock& aClock, LeaseSettings aSettings)
    : platform(aPlatform)
    , clock(aClock)
    , state(std::move(aSettings))
  {
  }

  /** Makes the platform calls that are due: at most one read and one write.
   * Blocks for them. Gives the time until the next poll is due. */
  Duration poll();
  /** The lease, while it is held and time is left. The caller may still be
   * frozen right after asking: send the fencing number with each act. */
  [[nodiscard]] std::optional<HeldLease> held() const;
  /** Gives the lease up, at once for this process and, if the platform can be
   * reached, for the others too; else they wait for its end. */
  void release();
  /** Gives the lease up for this process without a call. Gives the fencing
   * number that it held, to be told to the others; nothing if it held none. */
  std::optional<std::uint64_t> releaseLocally();
  /** Another process has told that it gave up the lease of this number: there
   * is nothing to wait for. */
  void onReleased(std::uint64_t aFence);

private:
  void read();
  void write();

  Platform& platform;
  Clock& clock;
  mutable std::mutex mutex;
  LeaseState state;
};

/** The highest fencing number that a lease was taken with; 0 when it never
 * was. A process that takes orders asks this first after its start: it has
 * forgotten which numbers it has seen. */
template<PlatformLike Platform>
Result<std::uint64_t>
currentFence(Platform& aPlatform, const std::string& aLease)
{
  const auto row = aPlatform.readRow(kLeaseTable, aLease);
  if (!row) {
    return row.error();
  }
  if (!row.value()) {
    return std::uint64_t{ 0 };
  }
  const auto record = leaseRecordFromText(row.value()->value);
  if (!record) {
    return fail(ErrorKind::Internal, "the lease's row cannot be read");
  }
  return record->fence;
}

template<PlatformLike Platform, ClockLike Clock>
Duration
Lease<Platform, Clock>::poll()
{
  const auto next = [this] {
    const std::scoped_lock lock{ this->mutex };
    return this->state.next(this->clock.now());
  };
  if (next() == LeaseAction::Read) {
    this->read();
  }
  if (next() == LeaseAction::Write) {
    this->write();
  }
  const std::scoped_lock lock{ this->mutex };
  const TimePoint now = this->clock.now();
  return std::max(Duration{ 0 }, this->state.due() - now);
}

template<PlatformLike Platform, ClockLike Clock>
void
Lease<Platform, Clock>::read()
{
  const auto row = this->platform.readRow(kLeaseTable, this->state.name());
  const std::scoped_lock lock{ this->mutex };
  const TimePoint now = this->clock.now();
  if (row) {
    this->state.onRead(row.value(), now);
  } else {
    this->state.onUnavailable(now);
  }
}

template<PlatformLike Platform, ClockLike Clock>
void
Lease<Platform, Clock>::write()
{
  const TableWrite sent = [this] {
    const std::scoped_lock lock{ this->mutex };
    return this->state.beginWrite(this->clock.now());
  }();
  const auto versions = this->platform.transact({ sent });
  const std::scoped_lock lock{ this->mutex };
  const TimePoint now = this->clock.now();
  if (versions) {
    this->state.onWritten(versions.value().front(), now);
  } else if (versions.error().kind == ErrorKind::PlatformUnavailable) {
    this->state.onUnavailable(now);
  } else {
    this->state.onWriteUnsure(now);
  }
}

template<PlatformLike Platform, ClockLike Clock>
std::optional<HeldLease>
Lease<Platform, Clock>::held() const
{
  const std::scoped_lock lock{ this->mutex };
  return this->state.held(this->clock.now());
}

template<PlatformLike Platform, ClockLike Clock>
void
Lease<Platform, Clock>::release()
{
  const std::optional<TableWrite> sent = [this] {
    const std::scoped_lock lock{ this->mutex };
    return this->state.beginRelease();
  }();
  if (sent) {
    // Its answer changes nothing: this process has given the lease up already.
    static_cast<void>(this->platform.transact({ *sent }));
  }
}

template<PlatformLike Platform, ClockLike Clock>
std::optional<std::uint64_t>
Lease<Platform, Clock>::releaseLocally()
{
  const std::scoped_lock lock{ this->mutex };
  return this->state.releaseLocally();
}

template<PlatformLike Platform, ClockLike Clock>
void
Lease<Platform, Clock>::onReleased(std::uint64_t aFence)
{
  const std::scoped_lock lock{ this->mutex };
  this->state.onReleased(aFence, this->clock.now());
}

} // namespace poplartrack
