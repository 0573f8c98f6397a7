#include "poplartrack/ledger/StepLedger.h"

#include <algorithm>

#include "poplartrack/ledger/ReceiptCheck.h"

namespace poplartrack {
namespace {

std::uint32_t
countOf(const RunStep& aStep)
{
  return static_cast<std::uint32_t>(aStep.inputs.size());
}

bool
sameAttempt(const OpenAttempt& aLeft, const OpenAttempt& aRight)
{
  return aLeft.replyTo == aRight.replyTo && aLeft.route == aRight.route &&
         aLeft.stage == aRight.stage &&
         aLeft.firstPosition == aRight.firstPosition &&
         aLeft.prefillTokens == aRight.prefillTokens &&
         aLeft.tokensWanted == aRight.tokensWanted;
}

const RouteStage&
ownStage(const OpenAttempt& aOpen)
{
  return aOpen.route[aOpen.stage];
}

/** Returns the position after the last one that the attempt may run. */
std::uint64_t
endPosition(const OpenAttempt& aOpen)
{
  // The last token is generated, but not fed back.
  return std::uint64_t{ aOpen.firstPosition } + aOpen.prefillTokens +
         aOpen.tokensWanted - 1;
}

} // namespace

std::string
sequenceName(const RequestId& aRequest, std::uint32_t aAttempt)
{
  return toText(aRequest) + "-" + std::to_string(aAttempt);
}

StepLedger::StepLedger(LedgerLimits aLimits,
                       std::string aEndpoint,
                       std::uint64_t aIncarnation)
  : limits(aLimits)
  , endpoint(std::move(aEndpoint))
  , ownIncarnation(aIncarnation)
{
}

Result<StepLedger>
StepLedger::create(LedgerLimits aLimits,
                   std::string aEndpoint,
                   std::uint64_t aIncarnation)
{
  if (aLimits.tombstoneLife < aLimits.maxDeadline + aLimits.maxFrameAge) {
    return fail(ErrorKind::BadSettings,
                "tombstoneLife must reach maxDeadline plus maxFrameAge");
  }
  if (aLimits.finishedLife < aLimits.maxFrameAge) {
    return fail(ErrorKind::BadSettings, "finishedLife must reach maxFrameAge");
  }
  if (aLimits.maxTombstones < aLimits.maxAttempts) {
    return fail(ErrorKind::BadSettings, "maxTombstones must reach maxAttempts");
  }
  if (aEndpoint.empty()) {
    return fail(ErrorKind::BadSettings, "the endpoint has no name");
  }
  return StepLedger{ aLimits, std::move(aEndpoint), aIncarnation };
}

std::optional<Error>
StepLedger::checkOpen(const OpenAttempt& aOpen) const
{
  if (aOpen.attempt == 0 || aOpen.attempt >= FenceRequest::kFenceAll) {
    return fail(ErrorKind::Malformed, "the attempt's number is out of range");
  }
  if (aOpen.prefillTokens == 0 || aOpen.tokensWanted == 0) {
    return fail(ErrorKind::Malformed, "the attempt wants nothing");
  }
  if (!routeCovers(aOpen.route, aOpen.layers)) {
    return fail(ErrorKind::Malformed, "the route does not cover the model");
  }
  if (aOpen.stage >= aOpen.route.size() ||
      ownStage(aOpen).endpoint != this->endpoint) {
    return fail(ErrorKind::Malformed, "the stage is not this endpoint's");
  }
  // A restarted endpoint has lost its KV and a restarted side its ledger: a
  // route chosen before could continue on neither.
  if (ownStage(aOpen).incarnation != this->ownIncarnation) {
    return fail(ErrorKind::WrongIncarnation);
  }
  return std::nullopt;
}

std::optional<Error>
StepLedger::checkNewWork(std::uint64_t aRemainingMicros) const
{
  // The side itself rejects new work while it drains: an entry that was cut off
  // or has just started may not know that it does.
  if (this->isLeaving) {
    return fail(ErrorKind::Leaving);
  }
  if (aRemainingMicros == 0) {
    return fail(ErrorKind::DeadlineExceeded);
  }
  // Tombstones are kept for as long as the longest deadline needs.
  if (aRemainingMicros >
      static_cast<std::uint64_t>(this->limits.maxDeadline.count())) {
    return fail(ErrorKind::BadDeadline, "longer than tombstones are kept for");
  }
  if (this->openCount >= this->limits.maxAttempts) {
    return fail(ErrorKind::Overloaded, "too many attempts are open");
  }
  return std::nullopt;
}

Refusal
StepLedger::open(const OpenAttempt& aOpen, TimePoint aNow)
{
  if (const auto error = this->checkOpen(aOpen)) {
    return Refusal::of(*error);
  }
  Record* record = this->find(aOpen.request);
  if (record != nullptr && aOpen.attempt < record->fencedBelow) {
    return Refusal::of(fail(ErrorKind::FencedAttempt));
  }
  if (record != nullptr && record->open &&
      record->open->message->attempt == aOpen.attempt) {
    return sameAttempt(*record->open->message, aOpen)
             ? Refusal::none()
             : Refusal::of(
                 fail(ErrorKind::FencedAttempt, "open with another route"));
  }
  if (record != nullptr) {
    // The entry has replaced the earlier attempt, whether or not this side can
    // accept the new one.
    this->raiseFence(aOpen.request, *record, aOpen.attempt);
  }
  if (const auto error = this->checkNewWork(aOpen.remainingMicros)) {
    return Refusal::of(*error);
  }
  record = this->findOrAdd(aOpen.request);
  if (record == nullptr) {
    return Refusal::of(fail(ErrorKind::Overloaded, "no room for a tombstone"));
  }
  const TimePoint deadline =
    aNow + Duration{ static_cast<std::int64_t>(aOpen.remainingMicros) };
  record->fencedBelow = aOpen.attempt;
  record->finished = false;
  record->open = OpenState{ std::make_shared<const OpenAttempt>(aOpen),
                            aOpen.firstPosition,
                            deadline };
  ++this->openCount;
  this->deadlines.set(aOpen.request, deadline);
  this->lives.remove(aOpen.request);
  return Refusal::none();
}

std::optional<Error>
StepLedger::checkStep(const OpenState& aOpen,
                      const RunStep& aStep,
                      TimePoint aNow)
{
  const OpenAttempt& message = *aOpen.message;
  // After a gap, layers would run on KV that lacks positions, and every later
  // token would be wrong. Only the next position may run.
  if (aStep.position != aOpen.nextPosition) {
    return fail(ErrorKind::OutOfOrder, "not the next position");
  }
  const bool isFirst = aStep.position == message.firstPosition;
  if (countOf(aStep) != (isFirst ? message.prefillTokens : 1)) {
    return fail(ErrorKind::OutOfOrder, "wrong number of inputs");
  }
  if (std::uint64_t{ aStep.position } + countOf(aStep) > endPosition(message)) {
    return fail(ErrorKind::OutOfOrder, "past the last token wanted");
  }
  if (!receiptFollows(message.route, message.stage, aStep.receipt)) {
    return fail(ErrorKind::OutOfOrder, "the stages before did not all run");
  }
  // No caller waits for it any more.
  if (aNow >= aOpen.deadline || aStep.remainingMicros == 0) {
    return fail(ErrorKind::DeadlineExceeded);
  }
  return std::nullopt;
}

RunNow
StepLedger::runNow(const OpenState& aOpen, const RunStep& aStep, TimePoint aNow)
{
  const OpenAttempt& message = *aOpen.message;
  const RouteStage& own = ownStage(message);
  RunNow run;
  run.attempt = aOpen.message;
  run.sequence = sequenceName(message.request, message.attempt);
  run.layers = own.runs;
  run.isLastStage = message.stage + 1 == message.route.size();
  run.nextStage =
    run.isLastStage ? message.route.front() : message.route[message.stage + 1];
  run.isLastToken =
    std::uint64_t{ aStep.position } + countOf(aStep) == endPosition(message);
  run.receipt = aStep.receipt;
  run.receipt.push_back({ own.endpoint, own.incarnation, own.runs });
  const auto left = std::min<std::uint64_t>(
    aStep.remainingMicros,
    static_cast<std::uint64_t>((aOpen.deadline - aNow).count()));
  run.deadline = aNow + Duration{ static_cast<std::int64_t>(left) };
  return run;
}

StepVerdict
StepLedger::onStep(const RunStep& aStep, TimePoint aNow)
{
  Record* record = this->find(aStep.request);
  if (record == nullptr) {
    return Refuse{ fail(ErrorKind::UnknownAttempt), false };
  }
  // A stage that was suspended resumes with steps of an attempt that has been
  // replaced. They are always rejected, whatever their position.
  if (aStep.attempt < record->fencedBelow) {
    return Refuse{ fail(ErrorKind::FencedAttempt), record->everRan };
  }
  if (!record->open || record->open->message->attempt != aStep.attempt) {
    return Refuse{ fail(ErrorKind::UnknownAttempt), record->everRan };
  }
  OpenState& open = *record->open;
  if (aStep.layer != ownStage(*open.message).runs.from) {
    return Refuse{ fail(ErrorKind::OutOfOrder, "another stage's layer"),
                   record->everRan };
  }
  if (aStep.inputs.empty()) {
    return Refuse{ fail(ErrorKind::Malformed, "no inputs"), record->everRan };
  }
  if (std::uint64_t{ aStep.position } + countOf(aStep) <= open.nextPosition) {
    return AlreadyTaken{};
  }
  if (const auto error = checkStep(open, aStep, aNow)) {
    return Refuse{ *error, record->everRan };
  }
  open.nextPosition += countOf(aStep);
  // Recorded before the endpoint is called: whatever happens from here on, the
  // side never reports that the step did not run.
  record->everRan = true;
  return runNow(open, aStep, aNow);
}

bool
StepLedger::mayDispatch(const RequestId& aRequest,
                        std::uint32_t aAttempt,
                        TimePoint aNow) const
{
  const auto found = this->records.find(aRequest);
  if (found == this->records.end()) {
    return false;
  }
  const Record& record = found->second;
  if (aAttempt < record.fencedBelow) {
    return false;
  }
  if (record.open && record.open->message->attempt == aAttempt) {
    return aNow < record.open->deadline;
  }
  return record.plain && record.plain->inProgress &&
         record.plain->attempt == aAttempt && aNow < record.plain->deadline;
}

StepOutcome
StepLedger::onStepDone(const RequestId& aRequest,
                       std::uint32_t aAttempt,
                       std::uint32_t aPosition,
                       std::uint32_t aCount,
                       TimePoint aNow)
{
  const Record* record = this->find(aRequest);
  if (record == nullptr || !record->open ||
      record->open->message->attempt != aAttempt) {
    return StepOutcome::Drop;
  }
  const bool wasTaken =
    std::uint64_t{ aPosition } + aCount <= record->open->nextPosition;
  return wasTaken && aNow < record->open->deadline ? StepOutcome::PassOn
                                                   : StepOutcome::Drop;
}

} // namespace poplartrack
