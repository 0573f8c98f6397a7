// Admission of a request: parsing its headers, deciding whether it is served,
// and building the head that is sent to a replica.

#include <algorithm>
#include <array>
#include <charconv>

#include "QueueWait.h"
#include "RelayLoopImpl.h"
#include "poplartrack/retry/PromptParts.h"

namespace poplartrack {
namespace {

/** Assumed deadline of a request that gives none, until its route is known. It
 * only limits the Retry-After of a request that is rejected before that. */
constexpr Duration kDefaultDeadline = std::chrono::seconds{ 10 };

/** Maximum wait of a request for the configuration and the replica list of a
 * relay that has just started. Reading both takes 0.2 s on the smallest
 * instance. Callers give up after 1 s if their request has not been read. */
constexpr Duration kMaxStartupWait = std::chrono::milliseconds{ 700 };

/** Parses a non-negative integer at the start of a header value. */
std::optional<std::int64_t>
parseCount(std::optional<std::string_view> aText)
{
  if (!aText) {
    return std::nullopt;
  }
  std::int64_t number = 0;
  const auto [stop, error] =
    std::from_chars(aText->data(), aText->data() + aText->size(), number);
  if (error != std::errc{} || number < 0) {
    return std::nullopt;
  }
  return number;
}

} // namespace

/** Returns the fingerprint of the content of a request. It does not depend on
 * the request id, so a repeated request has the same one. */
const Fingerprint&
RelayLoop::Impl::contentFingerprint(Exchange& aExchange) const
{
  if (!aExchange.content) {
    const bool hasAccount = aExchange.account != nullptr;
    const HeaderList& headers = aExchange.head.headers;
    aExchange.content =
      fingerprintOf({ hasAccount ? aExchange.account->name : std::string_view{},
                      headers.find("host").value_or(""),
                      aExchange.head.method,
                      aExchange.head.target,
                      aExchange.body,
                      headers.find(this->names.promptParts).value_or("") });
  }
  return *aExchange.content;
}

/** Returns the parts of the prompt that other requests may share. */
const std::vector<PromptPart>&
RelayLoop::Impl::promptParts(Exchange& aExchange) const
{
  if (!aExchange.parts) {
    const std::string_view account =
      aExchange.account != nullptr ? std::string_view{ aExchange.account->name }
                                   : std::string_view{};
    aExchange.parts.emplace();
    for (const std::string_view id : this->sharedPartIds(aExchange)) {
      aExchange.parts->push_back(
        PromptPart{ fingerprintOfPart(id), fingerprintOfPart(id, account) });
    }
  }
  return *aExchange.parts;
}

/** Returns the ids of these parts, as the request states them. */
std::vector<std::string_view>
RelayLoop::Impl::sharedPartIds(const Exchange& aExchange) const
{
  return sharedPromptParts(
    aExchange.head.headers.find(this->names.promptParts).value_or(""));
}

/** Starts the exchange of a request that was read to its end, and admits it. */
void
RelayLoop::Impl::beginExchange(CallerConnection& aCaller, MessageHead aHead)
{
  auto owned = std::make_unique<Exchange>();
  Exchange& exchange = *owned;
  exchange.id = this->nextId++;
  exchange.caller = aCaller.id;
  exchange.body = aCaller.parser->takeBody();
  exchange.unlimited = !aCaller.limits;
  exchange.head = std::move(aHead);
  exchange.arrived = this->now;
  exchange.lastProgress = this->now;
  const HeaderList& headers = exchange.head.headers;
  exchange.requestId =
    std::string{ headers.find(this->names.requestId).value_or("") };
  if (const auto deadline = parseCount(headers.find(this->names.deadline))) {
    exchange.deadline = std::chrono::milliseconds{ *deadline };
  }
  exchange.giveUpAt = this->now + exchange.deadline.value_or(kDefaultDeadline);
  aCaller.exchange = exchange.id;
  aCaller.closeWhenAnswered = !aCaller.parser->keep_alive();
  this->exchanges.emplace(exchange.id, std::move(owned));
  this->shared.receivedRequest = true;
  ++this->openCount;
  this->admit(exchange);
}

/**
 * Returns whether a request waits because the relay has just started and lacks
 * the configuration or the replica list. After all relays crashed, callers
 * retry at relays that have just started, and rejecting them would use up their
 * only retry.
 */
bool
RelayLoop::Impl::waitsForStart(const Exchange& aExchange)
{
  this->refreshReplicas();
  const bool isReady =
    this->shared.config.read() != nullptr && !this->view->replicas.empty();
  return !isReady && this->now - this->startedAt < kMaxStartupWait &&
         this->now - aExchange.arrived < kMaxStartupWait;
}

/** Rejects the request, or starts its first attempt. Called again after
 * kWaitRetryInterval while the request waits for the relay's start. */
void
RelayLoop::Impl::admit(Exchange& aExchange)
{
  if (this->waitsForStart(aExchange)) {
    this->timers.arm(aExchange.id, this->now + kWaitRetryInterval);
    return;
  }
  const HeaderList& headers = aExchange.head.headers;
  const ProvenConfig proven = this->provenConfig();
  aExchange.config = proven.config;
  const bool wellFormed =
    aExchange.head.version == 11 && headers.count("host") == 1 &&
    !aExchange.requestId.empty() && headers.count(this->names.requestId) == 1 &&
    aExchange.head.target.starts_with('/');
  if (!wellFormed) {
    this->refuse(
      aExchange, Error{ ErrorKind::BadRequest, "host, id or path" }, true);
    return;
  }
  if (this->shared.refusesRequests) {
    this->refuse(aExchange, Error{ ErrorKind::Draining, "stopping" }, true);
    return;
  }
  const GateRequest gateRequest{
    *headers.find("host"),
    aExchange.head.target,
    std::string{ headers.find(this->names.apiKey).value_or("") },
    aExchange.deadline,
    aExchange.unlimited ? aExchange.body.size() : 0
  };
  const auto decision =
    admitRequest(aExchange.config.get(),
                 ConfigProof{ proven.proofAge, this->shared.configPollFailed },
                 this->gate,
                 gateRequest);
  if (const Error* error = std::get_if<Error>(&decision)) {
    this->refuse(aExchange, *error, true);
    return;
  }
  const AdmittedRequest& admitted = std::get<AdmittedRequest>(decision);
  aExchange.route = admitted.route;
  aExchange.account = admitted.account;
  aExchange.keyed = admitted.requiresKey;
  aExchange.giveUpAt = aExchange.arrived + admitted.timeout;
  aExchange.service = pickService(aExchange);
  this->recognizeReturn(aExchange);
  this->budgetOf(aExchange).onRequest(this->now);
  aExchange.need = this->estimateTokenNeed(aExchange);
  this->recordDemand(aExchange);
  if (const auto last = parseCount(headers.find(this->names.lastEventId))) {
    aExchange.lastEvent = static_cast<std::uint64_t>(*last);
  }
  this->dispatch(aExchange);
}

/** Returns the configuration in force and the age of its proof. */
ProvenConfig
RelayLoop::Impl::provenConfig() const
{
  return readProven([this] { return this->shared.freshness.age(); },
                    [this] { return this->shared.config.read(); });
}

/** Returns whether the request may be sent now under the configuration. */
bool
RelayLoop::Impl::isConfigFresh(const Exchange& aExchange) const
{
  const ConfigProof proof{ this->shared.freshness.age(),
                           this->shared.configPollFailed };
  return isUsable(proof, this->gate, aExchange.keyed);
}

/** Formats the head of the request for a replica: the caller's without
 * hop-by-hop fields, plus the relay's own fields. */
std::string
RelayLoop::Impl::requestHead(const Exchange& aExchange,
                             const AttemptTarget& aTarget) const
{
  const MessageHead& head = aExchange.head;
  const RelayHeaderNames& own = this->names;
  const auto isReplaced = [&](std::string_view aName) {
    const std::array<std::string_view, 8> kReplaced{
      own.apiKey, own.account, own.deadline,     own.expectReplica,
      own.path,   own.urgency, "content-length", "expect"
    };
    return std::any_of(
      kReplaced.begin(), kReplaced.end(), [&](std::string_view aReplaced) {
        return sameToken(aReplaced, aName);
      });
  };
  const bool resumed = aExchange.lastEvent && aExchange.answering;
  std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
  const auto add = [&text](std::string_view aName, std::string_view aValue) {
    text.append(aName).append(": ").append(aValue).append("\r\n");
  };
  for (const auto& [name, value] : head.headers.all()) {
    if (isReplaced(name) || isHopByHop(head.headers, name) ||
        (resumed && sameToken(name, own.lastEventId))) {
      continue;
    }
    add(name, value);
  }
  constexpr std::int64_t kMicrosPerMs = 1000;
  add(own.deadline,
      std::to_string(
        std::max<std::int64_t>((aExchange.giveUpAt - this->now).count(), 0) /
        kMicrosPerMs));
  add(own.expectReplica, aTarget.registeredAs);
  if (aExchange.account != nullptr) {
    add(own.account, aExchange.account->name);
  }
  if (resumed) {
    add(own.lastEventId, std::to_string(*aExchange.lastEvent));
  }
  if (!aTarget.path.parts.empty()) {
    add(own.path, own.pathText(aTarget.path));
  }
  if (aExchange.service->engine) {
    add(own.urgency, std::to_string(urgencyOf(aExchange)));
  }
  if (!aExchange.body.empty() || head.headers.count("content-length") > 0 ||
      head.headers.count("transfer-encoding") > 0) {
    add("Content-Length", std::to_string(aExchange.body.size()));
  }
  text.append("\r\n");
  return text;
}

} // namespace poplartrack
