// The shares of client accounts in the capacity of a model service that is
// short of it.

#include <algorithm>
#include <cmath>
#include <limits>

#include "RelayLoopImpl.h"
#include "poplartrack/admit/AccountShares.h"

namespace poplartrack {
namespace {

/** Returns the hash of the account of a request. All requests without an
 * account count as one account, whose name is empty. */
std::uint64_t
accountOf(const Exchange& aExchange)
{
  const std::uint64_t hash =
    accountHash(aExchange.account == nullptr ? std::string_view{}
                                             : aExchange.account->name);
  // In status messages, 0 stands for accounts without a row.
  return hash == 0 ? 1 : hash;
}

bool
usesModel(const Exchange& aExchange)
{
  return aExchange.service != nullptr && aExchange.service->engine.has_value();
}

std::uint32_t
toRowTokens(double aTokens)
{
  constexpr double kMost = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(std::ceil(aTokens), kMost));
}

} // namespace

/** Counts the tokens that the request reserves as its account's use. Those of
 * the first start of a request that has not waited for capacity also count as
 * usual use. */
void
RelayLoop::Impl::countUse(Exchange& aExchange)
{
  this->uncountUse(aExchange);
  if (this->settings.load.accountShares && usesModel(aExchange)) {
    const std::uint64_t account = accountOf(aExchange);
    aExchange.countedUse = aExchange.reservedTokens;
    this->accounts.addUse(
      aExchange.service->name, account, *aExchange.countedUse);
    if (!aExchange.usualDecided) {
      aExchange.usualDecided = true;
      this->accounts.onAccepted(
        aExchange.service->name, account, *aExchange.countedUse, this->now);
    }
  }
}

void
RelayLoop::Impl::uncountUse(Exchange& aExchange)
{
  if (aExchange.countedUse) {
    this->accounts.removeUse(
      aExchange.service->name, accountOf(aExchange), *aExchange.countedUse);
    aExchange.countedUse.reset();
  }
}

/** Counts a queued request as its account's waiting demand if it waits for
 * capacity. One that waits for the retry budget does not. */
void
RelayLoop::Impl::countWaiting(Exchange& aExchange)
{
  if (!aExchange.lacksCapacity) {
    this->uncountWaiting(aExchange);
    return;
  }
  if (this->settings.load.accountShares && usesModel(aExchange) &&
      !aExchange.countedWaiting) {
    aExchange.usualDecided = true;
    aExchange.countedWaiting = aExchange.need.prompt + aExchange.need.answer;
    this->accounts.addWaiting(
      aExchange.service->name, accountOf(aExchange), *aExchange.countedWaiting);
  }
}

void
RelayLoop::Impl::uncountWaiting(Exchange& aExchange)
{
  if (aExchange.countedWaiting) {
    this->accounts.removeWaiting(
      aExchange.service->name, accountOf(aExchange), *aExchange.countedWaiting);
    aExchange.countedWaiting.reset();
  }
}

/** Returns an error if the account of the request is beyond its share. A
 * started stream may always continue. */
std::optional<Error>
RelayLoop::Impl::checkShare(Exchange& aExchange)
{
  const bool wasBeyond = aExchange.beyondShare;
  aExchange.beyondShare = false;
  if (!this->settings.load.accountShares || aExchange.answering) {
    return std::nullopt;
  }
  const AccountShare share = this->accounts.accountShareOf(
    aExchange.service->name, accountOf(aExchange), this->now);
  if (share.within) {
    return std::nullopt;
  }
  aExchange.beyondShare = true;
  const std::int64_t inUse = std::llround(share.inUse);
  const std::int64_t most = std::llround(share.share);
  if (!wasBeyond) {
    this->shared.metrics.count("requests_beyond_share_total");
    LogLine line{ LogPart::Path, "beyond_share" };
    line.with("id", aExchange.requestId);
    line.with("in_use_tokens", inUse);
    line.with("share_tokens", most);
    line.with("weight_milli", toMilliRate(share.weight));
    line.with("needs_tokens",
              std::llround(aExchange.need.prompt + aExchange.need.answer));
    this->shared.log.write(line);
  }
  return Error{ ErrorKind::Overloaded,
                "the account uses " + std::to_string(inUse) +
                  " tokens, its share is " + std::to_string(most) };
}

/** Chooses a target for a request beyond its account's share, which only gets
 * capacity that no request within its share takes or has been held back from
 * in this round. Returns aBeyond if there is none. */
Result<AttemptTarget>
RelayLoop::Impl::chooseBeyondShare(Exchange& aExchange, const Error& aBeyond)
{
  const std::string& service = aExchange.service->name;
  const Waiter waiter = this->waiterOf(aExchange);
  if (!this->accounts.mayProbe(service, this->now)) {
    return aBeyond;
  }
  if (const auto reason = this->waiting.knownFailure(waiter)) {
    return *reason == ErrorKind::NoRoute
             ? fail(ErrorKind::NoRoute, "a layer is held by no live replica")
             : aBeyond;
  }
  if (this->checkOrder(aExchange)) {
    return aBeyond;
  }
  Result<AttemptTarget> target = this->choose(aExchange);
  if (!target && aExchange.avoid.empty()) {
    this->waiting.onNoPath(waiter, target.error().kind);
  }
  const bool mayUse = this->accounts.onProbe(service, target.ok(), this->now);
  if (mayUse && target) {
    this->shared.metrics.count("starts_beyond_share_total");
    return this->admitByPace(aExchange, std::move(target.value()));
  }
  const bool lacksCapacity =
    !target && target.error().kind == ErrorKind::Overloaded;
  if (!target && !lacksCapacity) {
    return target;
  }
  return aBeyond;
}

/** Records the refusal of a request that has waited for capacity in vain. */
void
RelayLoop::Impl::countShareRefusal(const Exchange& aExchange)
{
  if (!this->settings.load.accountShares || !aExchange.lacksCapacity ||
      !usesModel(aExchange)) {
    return;
  }
  this->accounts.onRefused(
    aExchange.service->name, accountOf(aExchange), this->now);
  if (aExchange.beyondShare) {
    this->shared.metrics.count("refused_account_share_total");
  }
}

/** Adds what accounts use here of services that are short of capacity. */
void
RelayLoop::Impl::addAccounts(PeerStatus& aStatus) const
{
  for (const AccountUse& row :
       this->accounts.rows(kMaxAccountRows, this->now)) {
    aStatus.accounts.push_back(AccountRow{ row.service,
                                           row.account,
                                           toRowTokens(row.inUse),
                                           toRowTokens(row.waiting),
                                           toRowTokens(row.usual) });
  }
}

/** Takes over what accounts use at another relay. */
void
RelayLoop::Impl::onPeerAccounts(const PeerStatus& aStatus,
                                const std::string& aPeer)
{
  if (!this->settings.load.accountShares) {
    return;
  }
  std::vector<AccountUse> rows;
  rows.reserve(aStatus.accounts.size());
  for (const AccountRow& row : aStatus.accounts) {
    rows.push_back(AccountUse{ row.service,
                               row.account,
                               static_cast<double>(row.inUse),
                               static_cast<double>(row.waiting),
                               static_cast<double>(row.usual) });
  }
  this->accounts.onPeer(aPeer, std::move(rows), this->now);
}

/** Forgets relays that have ended, and updates the gauges. */
void
RelayLoop::Impl::refreshAccounts()
{
  if (!this->settings.load.accountShares) {
    return;
  }
  this->accounts.expire(this->now);
  this->shared.metrics.set(
    "accounts_contending",
    static_cast<std::int64_t>(this->accounts.contending(this->now)));
  this->shared.metrics.set(
    "accounts_with_usual_use",
    static_cast<std::int64_t>(this->accounts.usualEntries()));
}

} // namespace poplartrack
