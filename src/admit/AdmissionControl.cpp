#include "poplartrack/admit/AdmissionControl.h"

#include <algorithm>
#include <utility>

namespace poplartrack {
namespace {

/** Returns what is wrong with the policy; empty if nothing is. */
std::string
checkPolicy(const AdmissionPolicy& aPolicy)
{
  if (aPolicy.lowestLimit < 1 || aPolicy.highestLimit < aPolicy.lowestLimit) {
    return "admission policy: limits out of order or below 1";
  }
  if (aPolicy.decrease <= 0 || aPolicy.decrease >= 1) {
    return "admission policy: decrease is not between 0 and 1";
  }
  if (aPolicy.reservedShare < 0 || aPolicy.reservedShare > 1) {
    return "admission policy: reservedShare is outside 0 to 1";
  }
  if (aPolicy.longestRetryAfter < aPolicy.shortestRetryAfter) {
    return "admission policy: longestRetryAfter is below the shortest";
  }
  return {};
}

SharePolicy
sharePolicyOf(const AdmissionPolicy& aPolicy)
{
  SharePolicy policy;
  policy.reserved = aPolicy.reservedShare;
  return policy;
}

/** Returns the tokens that a request is charged on admission. */
std::uint32_t
tokenCost(const AdmitQuery& aQuery)
{
  return aQuery.promptTokens + aQuery.tokensWanted;
}

/** Returns the expected time to the last token. */
Duration
expectedTime(const AdmitQuery& aQuery)
{
  const std::uint32_t laterTokens = std::max(aQuery.tokensWanted, 1U) - 1;
  return aQuery.expectedFirstToken + laterTokens * aQuery.expectedPerToken;
}

/** Returns the queue wait per token, relative to the target wait that keeps
 * engines busy. Above 1 means overload. */
double
pressureOf(const AdmitQuery& aQuery, const AdmissionPolicy& aPolicy)
{
  const Duration run = aQuery.expectedPerToken - aQuery.expectedWait;
  const double target =
    std::max(1.0, aPolicy.targetWait * static_cast<double>(run.count()));
  return static_cast<double>(aQuery.expectedWait.count()) / target;
}

} // namespace

Result<AdmissionControl>
AdmissionControl::create(const AdmissionPolicy& aPolicy, std::uint64_t aSeed)
{
  std::string problem = checkPolicy(aPolicy);
  if (!problem.empty()) {
    return fail(ErrorKind::BadSettings, std::move(problem));
  }
  return AdmissionControl(aPolicy, aSeed);
}

AdmissionControl::AdmissionControl(const AdmissionPolicy& aPolicy,
                                   std::uint64_t aSeed)
  : policy(aPolicy)
  , accountShares(sharePolicyOf(aPolicy))
  , retryAfter(aPolicy, aSeed)
{
}

void
AdmissionControl::configure(const Configuration& aConfiguration, TimePoint aNow)
{
  std::erase_if(this->accounts, [&aConfiguration](const auto& aEntry) {
    return !aConfiguration.accounts.contains(aEntry.first);
  });
  for (const auto& [name, spec] : aConfiguration.accounts) {
    Account& account = this->accounts[name];
    account.spec = spec;
    account.hash = accountHash(name);
    this->applyShare(account, aNow);
  }
  std::erase_if(this->gates, [&aConfiguration](const auto& aEntry) {
    return !aConfiguration.models.contains(aEntry.first) &&
           aEntry.second.inFlight() == 0;
  });
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    this->floors[i] = aConfiguration.priorities[i].floorShare;
  }
}

void
AdmissionControl::applyShare(Account& aAccount, TimePoint aNow)
{
  const AccountSpec& spec = aAccount.spec;
  const double share = this->accountShares.shareOf(aAccount.hash, aNow);
  const double requests = share * spec.requestsPerSecond;
  const double tokens = share * spec.tokensPerSecond;
  aAccount.requests.configure(requests, requests * spec.burstSeconds, aNow);
  aAccount.tokens.configure(tokens, tokens * spec.burstSeconds, aNow);
}

std::variant<Admitted, Refused>
AdmissionControl::admit(const AdmitQuery& aQuery, TimePoint aNow)
{
  const auto found = this->accounts.find(aQuery.account);
  if (found == this->accounts.end()) {
    return Refused{ fail(ErrorKind::Unauthorized, "no such account"),
                    Duration{ 0 } };
  }
  Account& account = found->second;
  if (auto refused = this->checkAccount(account, aQuery, aNow)) {
    return *refused;
  }
  if (auto refused = this->checkDeadline(aQuery, aNow)) {
    return *refused;
  }
  if (!aQuery.model.empty()) {
    ModelGate& gate = this->gateOf(aQuery.model);
    if (aQuery.expectedPerToken > Duration{ 0 }) {
      gate.onPressure(pressureOf(aQuery, this->policy), aNow);
    }
    const std::string_view rejection = gate.check(
      aQuery.account, account.spec.weight, aQuery.priority, this->floors, aNow);
    if (!rejection.empty()) {
      return this->refuse(
        ErrorKind::Overloaded, std::string(rejection), Duration{ 0 }, aNow);
    }
    gate.enter(aQuery.account, aQuery.priority);
  }
  account.requests.take(1);
  account.tokens.take(tokenCost(aQuery));
  this->retryAfter.onAdmitted(aNow);
  const std::uint64_t ticket = this->nextTicket++;
  this->tickets.emplace(
    ticket,
    Ticket{ aQuery.account, aQuery.model, aQuery.priority, tokenCost(aQuery) });
  return Admitted{ ticket };
}

std::optional<Refused>
AdmissionControl::checkAccount(Account& aAccount,
                               const AdmitQuery& aQuery,
                               TimePoint aNow)
{
  const AccountSpec& spec = aAccount.spec;
  // Avoids a division by zero for an account with a limit of 0.
  constexpr double kMinRate = 1e-9;
  const double seconds =
    std::max(1 / std::max(spec.requestsPerSecond, kMinRate),
             tokenCost(aQuery) / std::max(spec.tokensPerSecond, kMinRate));
  this->accountShares.onDemand(aAccount.hash, seconds, aNow);
  this->applyShare(aAccount, aNow);
  const Duration wait = std::max(aAccount.requests.timeUntilReady(aNow),
                                 aAccount.tokens.timeUntilReady(aNow));
  if (wait == Duration{ 0 }) {
    return std::nullopt;
  }
  return this->refuse(
    ErrorKind::AccountOverLimit, "the account's limit is used up", wait, aNow);
}

std::optional<Refused>
AdmissionControl::checkDeadline(const AdmitQuery& aQuery, TimePoint aNow)
{
  const Duration left = aQuery.deadline - aNow;
  const Duration expected = expectedTime(aQuery);
  const double needed =
    this->policy.deadlineMargin * static_cast<double>(expected.count());
  if (left > Duration{ 0 } && needed <= static_cast<double>(left.count())) {
    return std::nullopt;
  }
  return this->refuse(ErrorKind::DeadlineTooClose,
                      "expected to take " + std::to_string(expected.count()) +
                        " us, " + std::to_string(left.count()) + " us are left",
                      Duration{ 0 },
                      aNow);
}

Refused
AdmissionControl::refuse(ErrorKind aKind,
                         std::string aDetail,
                         Duration aMinRetryAfter,
                         TimePoint aNow)
{
  const Duration after = this->retryAfter.onRefused(aMinRetryAfter, aNow);
  return Refused{ fail(aKind, std::move(aDetail)), after };
}

void
AdmissionControl::finish(std::uint64_t aTicket,
                         std::uint32_t aUsedTokens,
                         bool aWhole,
                         TimePoint aNow)
{
  const auto found = this->tickets.find(aTicket);
  if (found == this->tickets.end()) {
    return;
  }
  const Ticket ticket = std::move(found->second);
  this->tickets.erase(found);
  const auto gate = this->gates.find(ticket.model);
  if (gate != this->gates.end()) {
    gate->second.leave(ticket.account, ticket.priority);
  }
  const auto account = this->accounts.find(ticket.account);
  const std::uint32_t used = aWhole ? aUsedTokens : 0;
  if (account != this->accounts.end() && used < ticket.charged) {
    account->second.tokens.ready(aNow);
    account->second.tokens.refund(ticket.charged - used);
  }
}

void
AdmissionControl::onQueueDelay(const std::string& aModel,
                               Duration aDelay,
                               TimePoint aNow)
{
  this->gateOf(aModel).onPressure(
    static_cast<double>(aDelay.count()) /
      static_cast<double>(this->policy.targetDelay.count()),
    aNow);
}

ModelGate&
AdmissionControl::gateOf(const std::string& aModel)
{
  return this->gates.try_emplace(aModel, this->policy).first->second;
}

std::uint32_t
AdmissionControl::inFlight(const std::string& aModel) const
{
  const auto gate = this->gates.find(aModel);
  return gate == this->gates.end() ? 0 : gate->second.inFlight();
}

double
AdmissionControl::limit(const std::string& aModel) const
{
  const auto gate = this->gates.find(aModel);
  return gate == this->gates.end() ? this->policy.initialLimit
                                   : gate->second.limit();
}

} // namespace poplartrack
