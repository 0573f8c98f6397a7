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
 * A lease on a name, held by at most one process at a time. Makes the platform
 * calls that LeaseState asks for. One thread calls poll(); any thread may call
 * held().
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

  /** Makes the platform calls that are due, at most one read and one write, and
   * blocks until they end. Returns the time until the next poll is due. */
  Duration poll();
  /** Returns the lease, or nothing if it is not held or has expired. The caller
   * may be suspended right after this call, past the lease's end. It must
   * therefore send the fencing number with each act. */
  [[nodiscard]] std::optional<HeldLease> held() const;
  /** Releases the lease at once for this process, and with a platform call for
   * the other processes. If that call fails, or cannot be made because the
   * row's version is not known, they wait until the lease expires. */
  void release();
  /** Releases the lease for this process without a platform call. Returns the
   * fencing number that it held, which the caller reports to the other
   * processes, or nothing if the lease was not held. */
  std::optional<std::uint64_t> releaseLocally();
  /** Handles another process's report that it released the lease with this
   * fencing number: this process need not wait until that lease expires. */
  void onReleased(std::uint64_t aFence);

private:
  /** Reads the lease's row and passes the result to the state. */
  void read();
  /** Writes the lease's row to acquire or renew the lease, and passes the
   * result to the state. */
  void write();

  Platform& platform;
  Clock& clock;
  mutable std::mutex mutex;
  LeaseState state;
};

/** Returns the highest fencing number with which the lease was acquired; 0 if
 * it never was. A process that receives orders reads this number before the
 * first one, because a restart loses the numbers that it had seen. */
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
  const auto nextAction = [this] {
    const std::scoped_lock lock{ this->mutex };
    return this->state.nextAction(this->clock.now());
  };
  if (nextAction() == LeaseAction::Read) {
    this->read();
  }
  if (nextAction() == LeaseAction::Write) {
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
  const TableWrite request = [this] {
    const std::scoped_lock lock{ this->mutex };
    return this->state.beginWrite(this->clock.now());
  }();
  const auto versions = this->platform.transact({ request });
  const std::scoped_lock lock{ this->mutex };
  const TimePoint now = this->clock.now();
  if (versions) {
    this->state.onWriteSucceeded(versions.value().front(), now);
  } else if (versions.error().kind == ErrorKind::PlatformUnavailable) {
    this->state.onUnavailable(now);
  } else {
    this->state.onWriteUncertain(now);
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
  const std::optional<TableWrite> request = [this] {
    const std::scoped_lock lock{ this->mutex };
    return this->state.beginRelease();
  }();
  if (request) {
    // The answer does not matter: this process has released the lease already.
    static_cast<void>(this->platform.transact({ *request }));
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
