#include "harness/SimEntry.h"

#include <utility>

namespace poplartrack::harness {
namespace {

constexpr Duration kProbeInterval = std::chrono::milliseconds{ 250 };
constexpr Duration kCallTimeout = std::chrono::milliseconds{ 500 };
constexpr int kFenceTries = 3;
constexpr int kRouteTries = 30;
/** Tries of a route without the endpoints to avoid; they are a last resort. */
constexpr int kRouteTriesWithoutAvoided = 25;

RunPolicy
runPolicy()
{
  RunPolicy policy;
  policy.firstTokenBase = std::chrono::milliseconds{ 60 };
  policy.tokenGap = std::chrono::milliseconds{ 20 };
  return policy;
}

} // namespace

SimEntry::SimEntry(SimParts& aParts,
                   std::string aName,
                   SimModel aModel,
                   const std::vector<std::string>& aSides)
  : parts(aParts)
  , name(std::move(aName))
  , model(std::move(aModel))
  , sides(aSides)
  , claimEnds([this](const ClaimEnd& aEnd) {
    return IdempotencyClaim{ this->parts.platform }.end(aEnd);
  })
{
  this->parts.peers.listen(
    this->name,
    [this](const std::string& aFrame,
           const std::function<void(std::string)>& aRespond) {
      this->onFrame(aFrame, aRespond);
    });
  this->probeAll();
  this->retryClaimEnds();
}

RequestId
SimEntry::freshId()
{
  return RequestId{ this->parts.random.next(), this->parts.random.next() };
}

void
SimEntry::take(const Record& aRecord)
{
  const RequestId id = this->freshId();
  aRecord->request = toText(id);
  if (aRecord->call.isPlain()) {
    this->takePlain(aRecord, id);
  } else {
    this->takeModel(aRecord, id);
  }
}

void
SimEntry::onFrame(const std::string& aFrame,
                  const std::function<void(std::string)>& aRespond)
{
  const TimePoint now = this->parts.events.now();
  if (kindOf(aFrame).value() == MessageKind::TokenReady) {
    const TokenReady token = decode<TokenReady>(aFrame).value();
    const auto found = this->models.find(token.request);
    if (found == this->models.end()) {
      aRespond(
        encode(TokenReply{ Refusal::of(fail(ErrorKind::UnknownAttempt)) }));
      return;
    }
    const ModelPtr call = found->second;
    const TokenVerdict verdict = call->run.onToken(token, now);
    aRespond(encode(TokenReply{ verdict.reply }));
    this->apply(call, verdict.actions);
    return;
  }
  const StageTrouble trouble = decode<StageTrouble>(aFrame).value();
  aRespond(encode(TroubleReply{}));
  const auto found = this->models.find(trouble.request);
  if (found != this->models.end()) {
    const ModelPtr call = found->second;
    this->apply(call, call->run.onTrouble(trouble, now));
  }
}

void
SimEntry::takeModel(const Record& aRecord, const RequestId& aId)
{
  const TimePoint now = this->parts.events.now();
  RequestSpec spec;
  spec.request = aId;
  spec.model = this->model.name;
  spec.modelVersion = this->model.version;
  spec.layers = this->model.layers;
  spec.prompt = aRecord->call.prompt;
  spec.tokensWanted = aRecord->call.tokens;
  spec.deadline = now + aRecord->call.deadline;
  spec.replyTo = this->name;
  auto run = RequestRun::create(spec, runPolicy(), now);
  const auto call = std::make_shared<ModelCall>(
    ModelCall{ std::move(run).value(), aRecord, {} });
  this->models[aId] = call;
  this->apply(call, call->run.start(now));
}

void
SimEntry::apply(const ModelPtr& aCall, const std::vector<RunAction>& aActions)
{
  for (const RunAction& action : aActions) {
    this->execute(aCall, action);
  }
  this->wakeLater(aCall);
}

void
SimEntry::execute(const ModelPtr& aCall, const RunAction& aAction)
{
  const auto now = [this] { return this->parts.events.now(); };
  if (const auto* need = std::get_if<NeedRoute>(&aAction)) {
    const std::optional<Route> route = this->chooseRoute(need->avoid);
    this->apply(
      aCall,
      route ? aCall->run.onRoute(need->attempt, *route, now())
            : aCall->run.onNoRoute(need->attempt,
                                   fail(ErrorKind::NoRoute, "nothing covers"),
                                   now()));
  } else if (const auto* open = std::get_if<SendOpen>(&aAction)) {
    const std::uint32_t attempt = open->message.attempt;
    const std::uint32_t stage = open->message.stage;
    this->parts.peers.call<OpenReply>(
      this->name,
      open->endpoint,
      open->message,
      kCallTimeout,
      [this, aCall, attempt, stage, now](const TypedResult<OpenReply>& aReply) {
        this->apply(aCall,
                    aCall->run.onOpenReply(
                      attempt, stage, aReply.outcome, aReply.reply, now()));
      });
  } else if (const auto* step = std::get_if<SendFirstStep>(&aAction)) {
    const std::uint32_t attempt = step->message.attempt;
    this->parts.peers.call<StepReply>(
      this->name,
      step->endpoint,
      step->message,
      kCallTimeout,
      [this, aCall, attempt, now](const TypedResult<StepReply>& aReply) {
        this->apply(aCall,
                    aCall->run.onFirstStepReply(
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
  } else if (const auto* token = std::get_if<DeliverToken>(&aAction)) {
    aCall->record->delivered.push_back(token->token);
  } else if (std::holds_alternative<Complete>(aAction)) {
    aCall->record->answers.push_back({ true, {}, {}, RunState::Ran, now() });
  } else if (const auto* end = std::get_if<GiveUp>(&aAction)) {
    aCall->record->answers.push_back(
      { false, {}, end->error, end->ran, now() });
  }
}

void
SimEntry::wakeLater(const ModelPtr& aCall)
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

std::optional<Route>
SimEntry::chooseRoute(const std::set<std::string>& aAvoid)
{
  for (int i = 0; i < kRouteTries; ++i) {
    const bool mayAvoided = i >= kRouteTriesWithoutAvoided;
    Route route;
    std::set<std::string> used;
    std::uint32_t covered = 0;
    while (covered < this->model.layers) {
      std::vector<const Seen*> fits;
      for (const auto& [side, one] : this->seen) {
        const LayerRange& holds = one.reply.holds;
        const bool fit = one.failures < kFailuresUntilGone &&
                         !one.reply.leaving && holds.from <= covered &&
                         covered < holds.to && !used.contains(side) &&
                         (mayAvoided || !aAvoid.contains(side));
        if (fit) {
          fits.push_back(&one);
        }
      }
      if (fits.empty()) {
        break;
      }
      const ProbeReply& chosen = this->parts.random.pick(fits)->reply;
      const LayerRange runs{ covered, chosen.holds.to };
      route.push_back(
        { chosen.endpoint, chosen.incarnation, chosen.endpoint, runs });
      used.insert(chosen.endpoint);
      covered = runs.to;
    }
    if (covered == this->model.layers) {
      return route;
    }
  }
  return std::nullopt;
}

void
SimEntry::probeAll()
{
  for (const std::string& side : this->sides) {
    this->parts.peers.call<ProbeReply>(
      this->name,
      side,
      Probe{ this->name, this->name },
      kProbeInterval,
      [this, side](const TypedResult<ProbeReply>& aReply) {
        this->onProbe(side, aReply);
      });
  }
  this->parts.network.after(
    this->name, kProbeInterval, [this] { this->probeAll(); });
}

void
SimEntry::onProbe(const std::string& aSide,
                  const TypedResult<ProbeReply>& aReply)
{
  const auto known = this->seen.find(aSide);
  if (aReply.outcome != CallOutcome::Replied) {
    if (known != this->seen.end() &&
        ++known->second.failures == kFailuresUntilGone) {
      this->endpointGone(aSide);
    }
    return;
  }
  if (aReply.reply.endpoint != aSide) {
    return;
  }
  const bool restarted =
    known != this->seen.end() &&
    known->second.reply.incarnation != aReply.reply.incarnation;
  this->seen[aSide] = { aReply.reply, 0 };
  if (restarted) {
    this->endpointGone(aSide);
  }
}

void
SimEntry::endpointGone(const std::string& aSide)
{
  const TimePoint now = this->parts.events.now();
  for (const auto& [id, call] : std::map{ this->models }) {
    this->apply(call, call->run.onEndpointGone(aSide, now));
  }
  for (const auto& [id, call] : std::map{ this->services }) {
    this->apply(call, call->run.onEndpointGone(aSide, now));
  }
}

} // namespace poplartrack::harness
