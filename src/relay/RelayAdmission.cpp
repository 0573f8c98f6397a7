// The way of a request in: what it says, whether it is served at all, and what
// of it goes on to a replica.

#include <algorithm>
#include <array>
#include <charconv>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** What is taken for the time of a caller that names none, until its route is
 * known: it bounds only when a refused one is told to come back. */
constexpr Duration kUsualPatience = std::chrono::seconds{ 10 };

/** A relay that has just started lets requests wait this long for the
 * configuration and the list of replicas; reading both takes 0.2 s on the
 * smallest instance. Callers give a request up that is not read after a second.
 */
constexpr Duration kStartPatience = std::chrono::milliseconds{ 700 };

std::optional<std::int64_t>
numberIn(std::optional<std::string_view> aText)
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

int
urgencyOf(const Exchange& aExchange)
{
  constexpr int kLeastUrgent = 9;
  const bool own =
    aExchange.account != nullptr && aExchange.account->priority.has_value();
  const int urgency =
    own ? *aExchange.account->priority : aExchange.route->priority;
  return std::clamp(urgency, 0, kLeastUrgent);
}

const Fingerprint&
contentOf(Exchange& aExchange)
{
  if (!aExchange.content) {
    const bool known = aExchange.account != nullptr;
    aExchange.content =
      fingerprintOf({ known ? aExchange.account->name : std::string_view{},
                      aExchange.head.headers.find("host").value_or(""),
                      aExchange.head.method,
                      aExchange.head.target,
                      aExchange.body });
  }
  return *aExchange.content;
}

void
RelayLoop::Impl::beginExchange(CallerConnection& aCaller, MessageHead aHead)
{
  auto owned = std::make_unique<Exchange>();
  Exchange& exchange = *owned;
  exchange.id = this->nextId++;
  exchange.caller = aCaller.id;
  exchange.body = aCaller.parser->takeBody();
  exchange.head = std::move(aHead);
  exchange.arrived = this->now;
  exchange.lastProgress = this->now;
  const HeaderList& headers = exchange.head.headers;
  exchange.requestId =
    std::string{ headers.find(this->names.requestId).value_or("") };
  if (const auto deadline = numberIn(headers.find(this->names.deadline))) {
    exchange.deadline = std::chrono::milliseconds{ *deadline };
  }
  exchange.giveUpAt = this->now + exchange.deadline.value_or(kUsualPatience);
  aCaller.exchange = exchange.id;
  aCaller.closeWhenAnswered = !aCaller.parser->keep_alive();
  this->exchanges.emplace(exchange.id, std::move(owned));
  this->shared.called = true;
  ++this->openCount;
  this->admit(exchange);
}

/** Whether a request that came right after the start waits for what the relay
 * needs to know. Refused, it would have spent its caller's one return: after
 * all relays died, callers come back to relays that have just started. */
bool
RelayLoop::Impl::waitsForStart(const Exchange& aExchange)
{
  this->refreshReplicas();
  const bool knows =
    this->shared.config.read() != nullptr && !this->view->replicas.empty();
  return !knows && this->now - this->startedAt < kStartPatience &&
         this->now - aExchange.arrived < kStartPatience;
}

/** Decides whether the request is served, and starts its first attempt. */
void
RelayLoop::Impl::admit(Exchange& aExchange)
{
  if (this->waitsForStart(aExchange)) {
    this->timers.arm(aExchange.id, this->now + kWaitRetryInterval);
    return;
  }
  const HeaderList& headers = aExchange.head.headers;
  aExchange.config = this->shared.config.read();
  const bool proper =
    aExchange.head.version == 11 && headers.count("host") == 1 &&
    !aExchange.requestId.empty() && headers.count(this->names.requestId) == 1 &&
    aExchange.head.target.starts_with('/');
  if (!proper) {
    this->refuse(
      aExchange, Error{ ErrorKind::BadRequest, "host, id or path" }, true);
    return;
  }
  if (this->shared.refusing) {
    this->refuse(aExchange, Error{ ErrorKind::Draining, "stopping" }, true);
    return;
  }
  const GateRequest asked{ *headers.find("host"),
                           aExchange.head.target,
                           std::string{
                             headers.find(this->names.apiKey).value_or("") },
                           aExchange.deadline };
  const auto verdict = admitRequest(
    aExchange.config.get(), this->configProof(), this->gate, asked);
  if (const Error* error = std::get_if<Error>(&verdict)) {
    this->refuse(aExchange, *error, true);
    return;
  }
  const Admitted& admitted = std::get<Admitted>(verdict);
  aExchange.route = admitted.route;
  aExchange.account = admitted.account;
  aExchange.keyed = admitted.keyed;
  aExchange.giveUpAt = aExchange.arrived + admitted.patience;
  aExchange.service = this->pickService(aExchange);
  this->budgetOf(aExchange).onRequest(this->now);
  aExchange.need = this->needOf(aExchange);
  if (const auto last = numberIn(headers.find(this->names.lastEventId))) {
    aExchange.lastEvent = static_cast<std::uint64_t>(*last);
  }
  this->dispatch(aExchange);
}

ConfigProof
RelayLoop::Impl::configProof() const
{
  return ConfigProof{ this->shared.freshness.age(), this->shared.storeFails };
}

bool
RelayLoop::Impl::fresh(const Exchange& aExchange) const
{
  return isUsable(this->configProof(), this->gate, aExchange.keyed);
}

std::string
RelayLoop::Impl::requestHead(const Exchange& aExchange,
                             const AttemptTarget& aTarget) const
{
  const MessageHead& head = aExchange.head;
  const RelayHeaderNames& own = this->names;
  const auto replaced = [&](std::string_view aName) {
    const std::array<std::string_view, 8> kOwn{
      own.apiKey, own.account, own.deadline,     own.expectReplica,
      own.path,   own.urgency, "content-length", "expect"
    };
    return std::any_of(kOwn.begin(), kOwn.end(), [&](std::string_view aOne) {
      return sameToken(aOne, aName);
    });
  };
  const bool resumed = aExchange.lastEvent && aExchange.answering;
  std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
  const auto add = [&text](std::string_view aName, std::string_view aValue) {
    text.append(aName).append(": ").append(aValue).append("\r\n");
  };
  for (const auto& [name, value] : head.headers.all()) {
    if (replaced(name) || isHopByHop(head.headers, name) ||
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
