#include "poplartrack/store/LeaseState.h"

#include <algorithm>
#include <utility>

#include "poplartrack/store/StoreVersion.h"

namespace poplartrack {
namespace {

/** Maximum size of pendingWrites. A write that is dropped from it counts as
 * never sent, which can only shorten the lease. */
constexpr std::size_t kMaxPendingWrites = 16;
/** While the platform is unavailable, the holder retries after renewInterval
 * divided by this. Without a delay, calls that fail at once would be repeated
 * without pause. */
constexpr int kUnavailableRetryDivisor = 3;
/** After a write with an uncertain outcome, the row is read after renewInterval
 * divided by this. This delay, too, keeps calls from being repeated without
 * pause. */
constexpr int kUncertainRetryDivisor = 10;

} // namespace

LeaseState::LeaseState(LeaseSettings aSettings)
  : settings(std::move(aSettings))
{
}

bool
LeaseState::isOwn(const LeaseRecord& aRecord) const
{
  return aRecord.holder == this->settings.holder && !aRecord.released;
}

bool
LeaseState::mayAcquire(TimePoint aNow) const
{
  if (this->unreadable) {
    // Overwriting the row would restart the fencing numbers.
    return false;
  }
  if (this->restoredAt && aNow - *this->restoredAt < this->settings.duration) {
    return false;
  }
  if (!this->record || this->record->released ||
      this->record->fence <= this->releasedFence) {
    return true;
  }
  if (this->isOwn(*this->record)) {
    // The row still names this process as the holder, but it has released the
    // lease and the row was not updated.
    return true;
  }
  return aNow - this->versionFirstSeen >= this->record->duration;
}

LeaseAction
LeaseState::nextAction(TimePoint aNow) const
{
  if (aNow < this->dueAt) {
    return LeaseAction::Wait;
  }
  if (!this->rowKnown) {
    return LeaseAction::Read;
  }
  if (this->holding) {
    return LeaseAction::Write;
  }
  return this->mayAcquire(aNow) ? LeaseAction::Write : LeaseAction::Read;
}

std::optional<HeldLease>
LeaseState::held(TimePoint aNow) const
{
  if (!this->holding || aNow >= this->validUntil) {
    return std::nullopt;
  }
  return HeldLease{ this->fence, this->validUntil - aNow };
}

void
LeaseState::stopHolding()
{
  this->holding = false;
  this->pendingWrites.clear();
}

bool
LeaseState::showsRestore(std::uint64_t aVersion) const
{
  // The row is never deleted.
  return this->rowVersion != 0 &&
         (aVersion == 0 || epochOf(aVersion) > epochOf(this->rowVersion));
}

void
LeaseState::onRead(const std::optional<TableRow>& aRow, TimePoint aNow)
{
  const std::uint64_t seenVersion = aRow ? aRow->version : 0;
  if (this->showsRestore(seenVersion)) {
    this->restoredAt = aNow;
  }
  if (!this->rowKnown || seenVersion != this->rowVersion) {
    // After an uncertain write the row may still have the version that was
    // known before: the time when it was first seen stays.
    if (seenVersion != this->rowVersion) {
      this->versionFirstSeen = aNow;
    }
    this->rowVersion = seenVersion;
    this->record =
      aRow ? leaseRecordFromText(aRow->value) : std::optional<LeaseRecord>{};
    this->unreadable = aRow && !this->record;
    this->rowKnown = true;
  }
  if (this->record) {
    this->highestFence = std::max(this->highestFence, this->record->fence);
  }
  if (this->record && this->isOwn(*this->record)) {
    this->onOwnRecord(*this->record, aNow);
    return;
  }
  this->stopHolding();
  this->dueAt = aNow;
  if (!this->mayAcquire(aNow)) {
    this->dueAt = aNow + this->settings.pollInterval;
    if (this->record) {
      this->dueAt =
        std::min(this->dueAt, this->versionFirstSeen + this->record->duration);
    }
  }
}

void
LeaseState::onOwnRecord(const LeaseRecord& aRecord, TimePoint aNow)
{
  const auto sent =
    std::find_if(this->pendingWrites.begin(),
                 this->pendingWrites.end(),
                 [&](const PendingWrite& aWrite) {
                   return aWrite.number == aRecord.writeNumber &&
                          aWrite.fence == aRecord.fence;
                 });
  if (sent != this->pendingWrites.end() &&
      aRecord.fence > this->releasedFence) {
    this->holding = true;
    this->fence = aRecord.fence;
    this->validUntil = sent->sentAt + aRecord.duration - this->settings.margin;
    this->pendingWrites.erase(this->pendingWrites.begin(), sent + 1);
  }
  // Write again at once. If the answer to the last write was lost, much of the
  // lease may have elapsed since it was sent.
  this->dueAt = aNow;
}

void
LeaseState::onUnavailable(TimePoint aNow)
{
  this->dueAt = aNow + (this->holding ? this->settings.renewInterval /
                                          kUnavailableRetryDivisor
                                      : this->settings.pollInterval);
}

TableWrite
LeaseState::makeWrite(const LeaseRecord& aRecord) const
{
  return {
    kLeaseTable, this->settings.name, this->rowVersion, toText(aRecord)
  };
}

TableWrite
LeaseState::beginWrite(TimePoint aNow)
{
  LeaseRecord newRecord;
  newRecord.holder = this->settings.holder;
  newRecord.duration = this->settings.duration;
  newRecord.writeNumber = ++this->lastWriteNumber;
  newRecord.fence = this->holding ? this->fence : this->highestFence + 1;
  if (this->pendingWrites.size() == kMaxPendingWrites) {
    this->pendingWrites.erase(this->pendingWrites.begin());
  }
  this->pendingWrites.push_back(
    { newRecord.writeNumber, newRecord.fence, aNow });
  return this->makeWrite(newRecord);
}

void
LeaseState::onWriteSucceeded(std::uint64_t aVersion, TimePoint aNow)
{
  const PendingWrite sent = this->pendingWrites.back();
  this->rowVersion = aVersion;
  this->versionFirstSeen = aNow;
  this->record = LeaseRecord{ this->settings.holder,
                              sent.fence,
                              sent.number,
                              this->settings.duration,
                              false };
  this->rowKnown = true;
  this->holding = sent.fence > this->releasedFence;
  this->fence = sent.fence;
  this->highestFence = std::max(this->highestFence, sent.fence);
  this->validUntil =
    sent.sentAt + this->settings.duration - this->settings.margin;
  this->pendingWrites.clear();
  this->dueAt = sent.sentAt + this->settings.renewInterval;
}

std::optional<std::uint64_t>
LeaseState::releaseLocally()
{
  if (!this->holding) {
    return std::nullopt;
  }
  // Keep the pending writes: onWriteSucceeded() needs the entry of a write that
  // is under way.
  this->holding = false;
  this->releasedFence = std::max(this->releasedFence, this->fence);
  this->rowKnown = false;
  return this->fence;
}

void
LeaseState::onReleased(std::uint64_t aFence, TimePoint aNow)
{
  if (aFence <= this->releasedFence) {
    return;
  }
  this->releasedFence = aFence;
  this->highestFence = std::max(this->highestFence, aFence);
  if (!this->holding) {
    this->dueAt = std::min(this->dueAt, aNow);
  }
}

void
LeaseState::onWriteUncertain(TimePoint aNow)
{
  this->rowKnown = false;
  this->dueAt = aNow + this->settings.renewInterval / kUncertainRetryDivisor;
}

std::optional<TableWrite>
LeaseState::beginRelease()
{
  const bool writable = this->holding && this->rowKnown;
  this->stopHolding();
  this->rowKnown = false;
  if (!writable) {
    return std::nullopt;
  }
  LeaseRecord releasedRecord = *this->record;
  releasedRecord.released = true;
  releasedRecord.writeNumber = ++this->lastWriteNumber;
  return this->makeWrite(releasedRecord);
}

} // namespace poplartrack
