// Plain calls at a simulated entry.

#include "harness/SimEntry.h"

#include <utility>

namespace poplartrack::harness {
namespace {

constexpr const char* kAccount = "caller";
/** Time between claim and dispatch, in which the entry may be frozen. */
constexpr Duration kDispatchDelay = std::chrono::milliseconds{ 3 };
constexpr int kFenceTries = 1;
constexpr Duration kClaimRetryPause = std::chrono::milliseconds{ 250 };

} // namespace

void
SimEntry::takePlain(const Record& aRecord, const RequestId& aId)
{
  const SimCall& asked = aRecord->call;
  const TimePoint now = this->parts.events.now();
  PlainSpec spec;
  spec.request = aId;
  spec.service = asked.service;
  spec.operation = asked.operation;
  spec.body = asked.body;
  spec.idempotent = asked.idempotent;
  spec.deadline = now + asked.deadline;
  auto run = PlainRun::create(spec, {});
  const auto call = std::make_shared<ServiceCall>(
    ServiceCall{ aId, std::move(run).value(), aRecord, {}, {} });
  if (asked.idempotent || asked.key.empty()) {
    this->startPlain(call);
    return;
  }
  this->claimKey(call,
                 { kAccount,
                   asked.key,
                   bodyDigest(asked.service, asked.operation, asked.body),
                   toText(aId) },
                 ClaimWait{ spec.deadline });
}

void
SimEntry::claimKey(const ServicePtr& aCall,
                   const ClaimRequest& aRequest,
                   ClaimWait aWait)
{
  const TimePoint now = this->parts.events.now();
  const ClaimVerdict verdict =
    IdempotencyClaim{ this->parts.platform }.claim(aRequest);
  if (const auto pause = aWait.pauseAfter(verdict, now)) {
    this->parts.network.after(
      this->name, *pause, [this, aCall, aRequest, aWait] {
        this->claimKey(aCall, aRequest, aWait);
      });
  } else if (const auto* replay = std::get_if<ClaimReplay>(&verdict)) {
    aCall->record->answers.push_back(
      { true, replay->body, {}, RunState::Ran, now });
  } else if (const auto* refused = std::get_if<ClaimRefused>(&verdict)) {
    aCall->record->answers.push_back(
      { false, {}, refused->error, refused->ran, now });
  } else {
    aCall->claim = std::get<ClaimHeld>(verdict);
    this->startPlain(aCall);
  }
}

void
SimEntry::startPlain(const ServicePtr& aCall)
{
  this->services[aCall->id] = aCall;
  this->parts.network.after(this->name, kDispatchDelay, [this, aCall] {
    this->apply(aCall, aCall->run.start(this->parts.events.now()));
  });
}

void
SimEntry::apply(const ServicePtr& aCall,
                const std::vector<PlainAction>& aActions)
{
  for (const PlainAction& action : aActions) {
    this->execute(aCall, action);
  }
  this->wakeLater(aCall);
}

void
SimEntry::execute(const ServicePtr& aCall, const PlainAction& aAction)
{
  const auto now = [this] { return this->parts.events.now(); };
  if (const auto* need = std::get_if<NeedEndpoint>(&aAction)) {
    const auto target =
      this->chooseService(aCall->record->call.service, need->avoid);
    this->apply(aCall,
                target ? aCall->run.onEndpoint(need->attempt, *target, now())
                       : aCall->run.onNoEndpoint(
                           need->attempt, fail(ErrorKind::NoRoute), now()));
  } else if (const auto* send = std::get_if<SendPlain>(&aAction)) {
    const std::uint32_t attempt = send->message.attempt;
    this->parts.peers.call<PlainReply>(
      this->name,
      send->endpoint,
      send->message,
      Duration{ static_cast<std::int64_t>(send->message.remainingMicros) },
      [this, aCall, attempt, now](const TypedResult<PlainReply>& aReply) {
        this->apply(aCall,
                    aCall->run.onPlainReply(
                      attempt, aReply.outcome, aReply.reply, now()));
      });
  } else if (const auto* fence = std::get_if<SendFence>(&aAction)) {
    this->parts.peers.callRepeatedly<FenceReply>(
      this->name,
      fence->endpoint,
      fence->message,
      kFenceTries,
      [this, aCall, sent = *fence, now](const TypedResult<FenceReply>& aReply) {
        this->apply(
          aCall,
          aCall->run.onFenceReply(sent, aReply.outcome, aReply.reply, now()));
      });
  } else if (const auto* answer = std::get_if<Answer>(&aAction)) {
    this->endPlain(*aCall, { true, answer->body, {}, RunState::Ran, now() });
  } else if (const auto* end = std::get_if<GiveUp>(&aAction)) {
    this->endPlain(*aCall, { false, {}, end->error, end->ran, now() });
  }
}

void
SimEntry::endPlain(ServiceCall& aCall, const SimAnswer& aAnswer)
{
  aCall.record->answers.push_back(aAnswer);
  if (!aCall.claim) {
    return;
  }
  const ClaimHeld& held = *aCall.claim;
  ClaimEnd end = unknownClaim(held);
  if (aAnswer.complete) {
    end = answeredClaim(held, 200, aAnswer.body);
  } else if (aAnswer.ran == RunState::NotRun) {
    end = releasedClaim(held);
  }
  this->claimEnds.write(std::move(end), this->parts.events.now());
}

void
SimEntry::retryClaimEnds()
{
  this->claimEnds.retry(this->parts.events.now());
  this->parts.network.after(
    this->name, kClaimRetryPause, [this] { this->retryClaimEnds(); });
}

void
SimEntry::wakeLater(const ServicePtr& aCall)
{
  const std::optional<TimePoint> wake = aCall->run.nextWake();
  if (!wake || aCall->wake == wake) {
    return;
  }
  aCall->wake = wake;
  this->parts.network.after(
    this->name, *wake - this->parts.events.now(), [this, aCall] {
      aCall->wake.reset();
      this->apply(aCall, aCall->run.onTick(this->parts.events.now()));
    });
}

std::optional<PlainTarget>
SimEntry::chooseService(const std::string& aService,
                        const std::set<std::string>& aAvoid)
{
  std::vector<const Seen*> fits;
  for (const auto& [side, one] : this->seen) {
    if (one.reply.service == aService && !one.reply.leaving &&
        one.failures < kFailuresUntilGone && !aAvoid.contains(side)) {
      fits.push_back(&one);
    }
  }
  if (fits.empty()) {
    return std::nullopt;
  }
  const ProbeReply& chosen = this->parts.random.pick(fits)->reply;
  return PlainTarget{ chosen.endpoint, chosen.incarnation, chosen.endpoint };
}

} // namespace poplartrack::harness
