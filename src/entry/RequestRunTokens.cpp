// The tokens that a request run commits.

#include "poplartrack/entry/RequestRun.h"

#include "poplartrack/ledger/ReceiptCheck.h"

namespace poplartrack {

Refusal
RequestRun::checkToken(const TokenReady& aToken) const
{
  if (aToken.request != this->spec.request) {
    return Refusal::of(
      fail(ErrorKind::UnknownAttempt, "another request's token"));
  }
  // A stage that was suspended resumes and sends the token of an attempt that
  // has been replaced. If it were accepted, the caller could get a position
  // twice.
  if (!this->isRunning(aToken.attempt)) {
    return Refusal::of(fail(ErrorKind::FencedAttempt));
  }
  const std::uint64_t end =
    std::uint64_t{ this->spec.prompt.size() } + this->spec.tokensWanted;
  if (aToken.position < this->spec.prompt.size() || aToken.position >= end) {
    return Refusal::of(fail(ErrorKind::OutOfOrder, "no such token is wanted"));
  }
  // The route covers the model, so a receipt that matches it proves that each
  // layer ran once, in order, at the endpoints of this attempt.
  if (!receiptFollows(
        this->currentRoute, this->currentRoute.size(), aToken.receipt)) {
    return Refusal::of(
      fail(ErrorKind::OutOfOrder, "the receipt does not cover the model once"));
  }
  return Refusal::none();
}

TokenVerdict
RequestRun::onToken(const TokenReady& aToken, TimePoint aNow)
{
  TokenVerdict verdict{ this->checkToken(aToken), {} };
  if (verdict.reply.refused) {
    const bool concernsAttempt =
      aToken.request == this->spec.request && this->isRunning(aToken.attempt);
    if (concernsAttempt) {
      // The side drops the attempt when its token is rejected, so the attempt
      // cannot continue.
      verdict.actions = this->nextAttempt(RetryReason::StageTrouble, {}, aNow);
    }
    return verdict;
  }
  if (aToken.position < this->nextPosition()) {
    // A duplicate of a token that is already committed.
    return verdict;
  }
  // Calls may arrive out of order: a token waits for those before it.
  this->early.emplace(aToken.position, aToken.token);
  this->commitReady(aNow, verdict.actions);
  return verdict;
}

void
RequestRun::commitReady(TimePoint aNow, Actions& aActions)
{
  auto next = this->early.find(this->nextPosition());
  while (next != this->early.end()) {
    aActions.emplace_back(DeliverToken{
      static_cast<std::uint32_t>(this->tokens.size()), next->second });
    this->tokens.push_back(next->second);
    this->early.erase(next);
    this->pace.onToken(aNow);
    this->phase = Phase::Running;
    this->phaseEnd = aNow;
    next = this->early.find(this->nextPosition());
  }
  // The answer is complete only with all of its tokens.
  if (this->tokens.size() < this->spec.tokensWanted) {
    return;
  }
  this->phase = Phase::Ended;
  aActions.emplace_back(Complete{});
  this->fenceRoute(FenceRequest::kFenceAll, true, aActions);
}

} // namespace poplartrack
