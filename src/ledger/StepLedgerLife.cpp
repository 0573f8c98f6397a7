// How attempts end at a side, and how long they are remembered.

#include "poplartrack/ledger/StepLedger.h"

#include <algorithm>
#include <utility>

namespace poplartrack {

void
StepLedger::drop(const RequestId& aRequest,
                 std::uint32_t aAttempt,
                 TimePoint /*aNow*/)
{
  this->endAttempt(aRequest, aAttempt);
}

FenceReply
StepLedger::fence(const FenceRequest& aFence, TimePoint /*aNow*/)
{
  FenceReply reply;
  reply.incarnation = this->ownIncarnation;
  reply.request = aFence.request;
  reply.below = aFence.below;
  Record* record = this->findOrAdd(aFence.request);
  if (record == nullptr) {
    // Without a tombstone a late duplicate could still run, so the reply would
    // prove nothing.
    reply.refusal =
      Refusal::of(fail(ErrorKind::Overloaded, "no room for a tombstone"));
    reply.everRan = true;
    return reply;
  }
  record->finished = record->finished || aFence.finished;
  this->raiseFence(aFence.request, *record, aFence.below);
  this->retire(aFence.request, *record);
  reply.everRan = record->everRan;
  return reply;
}

void
StepLedger::onEndpointRestarted(std::uint64_t aNewIncarnation,
                                TimePoint /*aNow*/)
{
  if (aNewIncarnation == this->ownIncarnation) {
    return;
  }
  this->ownIncarnation = aNewIncarnation;
  for (auto& [request, record] : this->records) {
    if (record.open) {
      this->raiseFence(request, record, record.open->message->attempt + 1);
    }
  }
}

std::vector<DroppedAttempt>
StepLedger::expire(TimePoint aNow)
{
  this->advanceAwake(aNow);
  std::vector<DroppedAttempt> earlier = std::exchange(this->dropped, {});
  for (const RequestId& request : this->deadlines.takeDue(aNow)) {
    const Record* record = this->find(request);
    if (record != nullptr && record->open) {
      this->endAttempt(request, record->open->message->attempt);
    }
  }
  for (const RequestId& request : this->lives.takeDue(this->awake)) {
    this->records.erase(request);
  }
  return std::exchange(this->dropped, std::move(earlier));
}

std::vector<DroppedAttempt>
StepLedger::takeDropped()
{
  return std::exchange(this->dropped, {});
}

StepLedger::Record*
StepLedger::find(const RequestId& aRequest)
{
  const auto found = this->records.find(aRequest);
  return found == this->records.end() ? nullptr : &found->second;
}

StepLedger::Record*
StepLedger::findOrAdd(const RequestId& aRequest)
{
  if (Record* known = this->find(aRequest)) {
    return known;
  }
  // If a tombstone were dropped to make room, a late duplicate of its request
  // could run after the entry had the reply that it never will.
  if (this->records.size() >= this->limits.maxTombstones) {
    return nullptr;
  }
  return &this->records[aRequest];
}

void
StepLedger::raiseFence(const RequestId& aRequest,
                       Record& aRecord,
                       std::uint32_t aBelow)
{
  aRecord.fencedBelow = std::max(aRecord.fencedBelow, aBelow);
  if (aRecord.open && aRecord.open->message->attempt < aRecord.fencedBelow) {
    this->closeAttempt(aRequest, aRecord);
  }
}

void
StepLedger::closeAttempt(const RequestId& aRequest, Record& aRecord)
{
  const std::uint32_t attempt = aRecord.open->message->attempt;
  this->dropped.push_back({ aRequest,
                            attempt,
                            sequenceName(aRequest, attempt),
                            aRecord.open->message->replyTo });
  aRecord.open.reset();
  --this->openCount;
  this->deadlines.remove(aRequest);
  this->retire(aRequest, aRecord);
}

void
StepLedger::endAttempt(const RequestId& aRequest, std::uint32_t aAttempt)
{
  if (Record* record = this->find(aRequest)) {
    this->raiseFence(aRequest, *record, aAttempt + 1);
  }
}

void
StepLedger::retire(const RequestId& aRequest, const Record& aRecord)
{
  if (aRecord.open || (aRecord.plain && aRecord.plain->inProgress)) {
    return;
  }
  const Duration life =
    aRecord.finished ? this->limits.finishedLife : this->limits.tombstoneLife;
  this->lives.set(aRequest, this->awake + life);
}

void
StepLedger::advanceAwake(TimePoint aNow)
{
  // A process that was suspended resumes with old frames in its socket buffers,
  // and by the clock all its tombstones have expired. If they were forgotten
  // first, a fenced call could run. So time during a suspension does not count.
  if (this->lastExpire) {
    const Duration gap = aNow - *this->lastExpire;
    this->awake += std::clamp(gap, Duration{ 0 }, this->limits.maxTick);
  }
  this->lastExpire = aNow;
}

} // namespace poplartrack
