// Plain calls: run once; duplicates wait for the call in progress or get its
// answer again.

#include "poplartrack/ledger/StepLedger.h"

#include <xxhash.h>

namespace poplartrack {
namespace {

std::uint64_t
digestOf(const PlainCall& aCall)
{
  std::string text = aCall.service;
  text += '\0';
  text += aCall.operation;
  text += '\0';
  text += aCall.idempotent ? 'i' : 'n';
  text += aCall.body;
  return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::optional<Error>
StepLedger::checkPlain(const PlainCall& aCall) const
{
  if (aCall.attempt == 0 || aCall.attempt >= FenceRequest::kFenceAll) {
    return fail(ErrorKind::Malformed, "the attempt's number is out of range");
  }
  if (aCall.incarnation != this->ownIncarnation) {
    return fail(ErrorKind::WrongIncarnation);
  }
  return this->checkNewWork(aCall.remainingMicros);
}

PlainVerdict
StepLedger::onPlain(const PlainCall& aCall, TimePoint aNow)
{
  if (const Record* record = this->find(aCall.request)) {
    if (auto verdict = this->onKnownPlain(*record, aCall)) {
      return std::move(*verdict);
    }
  }
  if (auto error = this->checkPlain(aCall)) {
    return this->refusePlain(aCall, std::move(*error));
  }
  return this->startPlain(aCall, aNow);
}

std::optional<PlainVerdict>
StepLedger::onKnownPlain(const Record& aRecord, const PlainCall& aCall) const
{
  if (aCall.attempt < aRecord.fencedBelow) {
    return Refuse{ fail(ErrorKind::FencedAttempt), aRecord.everRan };
  }
  if (aRecord.plain && aRecord.plain->digest != digestOf(aCall)) {
    return Refuse{ fail(ErrorKind::BadRequest,
                        "another call has this request id"),
                   aRecord.everRan };
  }
  if (aRecord.plain && aRecord.plain->inProgress) {
    return Join{};
  }
  const bool hasReply = aRecord.plain && aRecord.plain->reply;
  const bool mayRunAgain =
    aCall.idempotent && (!hasReply || aRecord.plain->reply->refusal.refused);
  if (mayRunAgain || !aRecord.everRan) {
    return std::nullopt;
  }
  if (hasReply) {
    return Replay{ *aRecord.plain->reply };
  }
  // It reached the endpoint, and its answer is unknown or was not kept.
  return Refuse{ fail(ErrorKind::OutcomeUnknown), true };
}

PlainVerdict
StepLedger::startPlain(const PlainCall& aCall, TimePoint aNow)
{
  Record* record = this->findOrAdd(aCall.request);
  if (record == nullptr) {
    return Refuse{ fail(ErrorKind::Overloaded, "no room for a tombstone"),
                   false };
  }
  this->raiseFence(aCall.request, *record, aCall.attempt);
  PlainState state;
  state.attempt = aCall.attempt;
  state.digest = digestOf(aCall);
  state.ranBefore = record->everRan;
  state.deadline =
    aNow + Duration{ static_cast<std::int64_t>(aCall.remainingMicros) };
  record->plain = state;
  record->everRan = true;
  ++this->openCount;
  this->lives.remove(aCall.request);
  return RunPlain{ state.deadline };
}

Refuse
StepLedger::refusePlain(const PlainCall& aCall, Error aError)
{
  // Once this side has reported that a call that may not run twice did not run,
  // no duplicate of it may run, even if the drain is cancelled or there is room
  // again.
  Record* record = aCall.idempotent ? this->find(aCall.request)
                                    : this->findOrAdd(aCall.request);
  if (record == nullptr) {
    return Refuse{ std::move(aError), false };
  }
  if (!aCall.idempotent && aCall.attempt < FenceRequest::kFenceAll) {
    this->raiseFence(aCall.request, *record, aCall.attempt + 1);
    this->retire(aCall.request, *record);
  }
  return Refuse{ std::move(aError), record->everRan };
}

void
StepLedger::onPlainDone(const RequestId& aRequest,
                        std::uint32_t aAttempt,
                        PlainReply aReply,
                        TimePoint /*aNow*/)
{
  Record* record = this->find(aRequest);
  if (record == nullptr || !record->plain || !record->plain->inProgress ||
      record->plain->attempt != aAttempt) {
    return;
  }
  --this->openCount;
  PlainState& plain = *record->plain;
  plain.inProgress = false;
  if (!aReply.mayHaveRun) {
    // It never reached the endpoint, and duplicates of this attempt never will.
    record->everRan = plain.ranBefore;
    record->plain.reset();
    this->raiseFence(aRequest, *record, aAttempt + 1);
  } else if (aReply.body.size() <= this->limits.maxReplayBytes) {
    plain.reply = std::move(aReply);
  }
  this->retire(aRequest, *record);
}

} // namespace poplartrack
