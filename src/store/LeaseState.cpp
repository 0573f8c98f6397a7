#include "poplartrack/store/LeaseState.h"

#include <algorithm>
#include <utility>

namespace poplartrack {
namespace {

/** Unseen writes that are remembered; older ones count as never sent, which
 * only shortens the lease. */
constexpr std::size_t kMaxBeats = 16;
/** Parts of the time between renewals until the next try: a platform that
 * fails at once must not be asked without pause. */
constexpr int kUnavailablePartOfRenewal = 3;
constexpr int kUnsurePartOfRenewal = 10;

} // namespace

LeaseState::LeaseState(LeaseSettings aSettings)
  : settings(std::move(aSettings))
{
}

bool
LeaseState::own(const LeaseRecord& aRecord) const
{
  return aRecord.holder == this->settings.holder && !aRecord.released;
}

bool
LeaseState::mayTake(TimePoint aNow) const
{
  if (this->unreadable) {
    // Writing over it would start the fencing numbers anew.
    return false;
  }
  if (!this->record || this->record->released ||
      this->record->fence <= this->freed) {
    return true;
  }
  if (this->own(*this->record)) {
    // An own row that is not held: given up, but the others never heard.
    return true;
  }
  return aNow - this->firstSeen >= this->record->duration;
}

LeaseAction
LeaseState::next(TimePoint aNow) const
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
  return this->mayTake(aNow) ? LeaseAction::Write : LeaseAction::Read;
}

std::optional<HeldLease>
LeaseState::held(TimePoint aNow) const
{
  if (!this->holding || aNow >= this->until) {
    return std::nullopt;
  }
  return HeldLease{ this->fence, this->until - aNow };
}

void
LeaseState::lose()
{
  this->holding = false;
  this->beats.clear();
}

void
LeaseState::onRead(const std::optional<TableRow>& aRow, TimePoint aNow)
{
  const std::uint64_t seen = aRow ? aRow->version : 0;
  if (!this->rowKnown || seen != this->version) {
    // A row that was unsure may be an old acquaintance: its first sight stands.
    if (seen != this->version) {
      this->firstSeen = aNow;
    }
    this->version = seen;
    this->record =
      aRow ? leaseRecordFromText(aRow->value) : std::optional<LeaseRecord>{};
    this->unreadable = aRow && !this->record;
    this->rowKnown = true;
  }
  if (this->record && this->own(*this->record)) {
    this->adoptOwn(*this->record, aNow);
    return;
  }
  this->lose();
  this->dueAt = aNow;
  if (!this->mayTake(aNow)) {
    this->dueAt = aNow + this->settings.pollInterval;
    if (this->record) {
      this->dueAt =
        std::min(this->dueAt, this->firstSeen + this->record->duration);
    }
  }
}

void
LeaseState::adoptOwn(const LeaseRecord& aRecord, TimePoint aNow)
{
  const auto sent = std::find_if(
    this->beats.begin(), this->beats.end(), [&](const Beat& aBeat) {
      return aBeat.number == aRecord.beat && aBeat.fence == aRecord.fence;
    });
  if (sent != this->beats.end() && aRecord.fence > this->freed) {
    this->holding = true;
    this->fence = aRecord.fence;
    this->until = sent->sent + aRecord.duration - this->settings.margin;
    this->beats.erase(this->beats.begin(), sent + 1);
  }
  // Renew early when an answer was lost: much of the lease may have gone by.
  this->dueAt = aNow;
}

void
LeaseState::onUnavailable(TimePoint aNow)
{
  this->dueAt = aNow + (this->holding ? this->settings.renewInterval /
                                          kUnavailablePartOfRenewal
                                      : this->settings.pollInterval);
}

TableWrite
LeaseState::writeOf(const LeaseRecord& aRecord) const
{
  return { kLeaseTable, this->settings.name, this->version, toText(aRecord) };
}

TableWrite
LeaseState::beginWrite(TimePoint aNow)
{
  LeaseRecord next;
  next.holder = this->settings.holder;
  next.duration = this->settings.duration;
  next.beat = ++this->lastBeat;
  const std::uint64_t before = this->record ? this->record->fence : 0;
  next.fence = this->holding ? this->fence : before + 1;
  if (this->beats.size() == kMaxBeats) {
    this->beats.erase(this->beats.begin());
  }
  this->beats.push_back({ next.beat, next.fence, aNow });
  return this->writeOf(next);
}

void
LeaseState::onWritten(std::uint64_t aVersion, TimePoint aNow)
{
  const Beat sent = this->beats.back();
  this->version = aVersion;
  this->firstSeen = aNow;
  this->record = LeaseRecord{ this->settings.holder,
                              sent.fence,
                              sent.number,
                              this->settings.duration,
                              false };
  this->rowKnown = true;
  this->holding = sent.fence > this->freed;
  this->fence = sent.fence;
  this->until = sent.sent + this->settings.duration - this->settings.margin;
  this->beats.clear();
  this->dueAt = sent.sent + this->settings.renewInterval;
}

std::optional<std::uint64_t>
LeaseState::releaseLocally()
{
  if (!this->holding) {
    return std::nullopt;
  }
  // The beats stay: an answer to a write that is under way looks for its own.
  this->holding = false;
  this->freed = std::max(this->freed, this->fence);
  this->rowKnown = false;
  return this->fence;
}

void
LeaseState::onReleased(std::uint64_t aFence, TimePoint aNow)
{
  if (aFence <= this->freed) {
    return;
  }
  this->freed = aFence;
  if (!this->holding) {
    this->dueAt = std::min(this->dueAt, aNow);
  }
}

void
LeaseState::onWriteUnsure(TimePoint aNow)
{
  this->rowKnown = false;
  this->dueAt = aNow + this->settings.renewInterval / kUnsurePartOfRenewal;
}

std::optional<TableWrite>
LeaseState::beginRelease()
{
  const bool known = this->holding && this->rowKnown;
  this->lose();
  this->rowKnown = false;
  if (!known) {
    return std::nullopt;
  }
  LeaseRecord given = *this->record;
  given.released = true;
  given.beat = ++this->lastBeat;
  return this->writeOf(given);
}

} // namespace poplartrack
