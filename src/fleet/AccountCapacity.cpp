#include "poplartrack/fleet/AccountCapacity.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "AccountRowRef.h"
#include "LargestRows.h"

namespace poplartrack {
namespace {

/** A relay that is silent for this long is dead or cut off, and its requests
 * end with it. */
constexpr Duration kPeerTimeout = std::chrono::seconds{ 2 };
/** A refusal shows that a service is short of capacity for this long. */
constexpr Duration kRefusalMemory = std::chrono::seconds{ 1 };
/** A division is kept for the longer of these times: a fixed one, and one for
 * each account in it. A division takes 0.2 µs for each account on a busy
 * machine: at most 0.4% of a core. */
constexpr Duration kDivideInterval = std::chrono::milliseconds{ 50 };
constexpr Duration kDivideIntervalPerAccount = std::chrono::microseconds{ 50 };
/** Interval of probes, which are searches for free capacity by requests beyond
 * their share: one round of the wait queue. */
constexpr Duration kProbeInterval = std::chrono::milliseconds{ 25 };
/** Capacity that is free for this long is wanted by no request within its
 * share: relays learn within 200 ms what another one has freed, and look for
 * it every 25 ms. */
constexpr Duration kFreeBeforeUse = std::chrono::milliseconds{ 250 };
/** Shares that differ from the use by less are equal: accounts that use exactly
 * their shares could otherwise all count as beyond them. */
constexpr double kRoundingTokens = 0.5;
/** Bounds of an account's weight, so that neither a faulty peer nor an estimate
 * from few requests gives one account everything or nothing. */
constexpr double kMinWeight = 0.125;
constexpr double kMaxWeight = 8;
/** After a longer time between two probes, it is not known whether the capacity
 * was free meanwhile. */
constexpr Duration kMaxProbeGap = std::chrono::milliseconds{ 100 };

/** Returns the fewest tokens of a row for one account with requests of the
 * service; infinite if there is none. */
double
smallestIn(const std::vector<AccountUse>& aRows, const std::string& aService)
{
  double smallest = std::numeric_limits<double>::infinity();
  for (const AccountUse& row : aRows) {
    const double demand = row.inUse + row.waiting;
    if (row.service == aService && row.account != 0 && demand > 0) {
      smallest = std::min(smallest, demand);
    }
  }
  return smallest;
}

/** Returns the median of the values above 0; 0 if there is none. */
double
medianOf(std::vector<double> aValues)
{
  std::erase_if(aValues, [](double aValue) { return aValue <= 0; });
  if (aValues.empty()) {
    return 0;
  }
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

} // namespace

void
AccountCapacity::changeOwn(const std::string& aService,
                           std::uint64_t aAccount,
                           const AccountTokens& aChange,
                           bool aAdd)
{
  if (aAdd) {
    Service& service = this->services[aService];
    for (AccountTokens* use : { &service.own[aAccount], &service.ownTotal }) {
      use->inUse += aChange.inUse;
      use->waiting += aChange.waiting;
      ++use->requests;
    }
    return;
  }
  const auto service = this->services.find(aService);
  if (service == this->services.end()) {
    return;
  }
  AccountTable& own = service->second.own;
  const auto found = own.find(aAccount);
  if (found == own.end()) {
    return;
  }
  for (AccountTokens* use : { &found->second, &service->second.ownTotal }) {
    // Rounding may leave a sum other than 0 when the last request ends.
    if (--use->requests == 0) {
      *use = AccountTokens{};
      continue;
    }
    use->inUse = std::max(0.0, use->inUse - aChange.inUse);
    use->waiting = std::max(0.0, use->waiting - aChange.waiting);
  }
  if (found->second.requests == 0) {
    own.erase(found);
  }
}

void
AccountCapacity::addUse(const std::string& aService,
                        std::uint64_t aAccount,
                        double aTokens)
{
  this->changeOwn(aService, aAccount, AccountTokens{ aTokens, 0 }, true);
}

void
AccountCapacity::removeUse(const std::string& aService,
                           std::uint64_t aAccount,
                           double aTokens)
{
  this->changeOwn(aService, aAccount, AccountTokens{ aTokens, 0 }, false);
}

void
AccountCapacity::addWaiting(const std::string& aService,
                            std::uint64_t aAccount,
                            double aTokens)
{
  this->changeOwn(aService, aAccount, AccountTokens{ 0, aTokens }, true);
}

void
AccountCapacity::removeWaiting(const std::string& aService,
                               std::uint64_t aAccount,
                               double aTokens)
{
  this->changeOwn(aService, aAccount, AccountTokens{ 0, aTokens }, false);
}

void
AccountCapacity::onRefused(const std::string& aService,
                           std::uint64_t aAccount,
                           TimePoint aNow)
{
  this->services[aService].refusal = RefusalRecord{ aAccount, aNow };
}

void
AccountCapacity::onAccepted(const std::string& aService,
                            std::uint64_t aAccount,
                            double aTokens,
                            TimePoint aNow)
{
  Service& service = this->services[aService];
  service.usual.onAccepted(aAccount, aTokens, isShort(service, aNow), aNow);
}

void
AccountCapacity::addRows(const std::string& aPeer,
                         const std::vector<AccountUse>& aRows)
{
  for (const AccountUse& row : aRows) {
    PeerAccounts& peerAccounts = this->services[row.service].peers;
    if (row.account == 0) {
      peerAccounts.addRest(aPeer, row, smallestIn(aRows, row.service));
    } else {
      peerAccounts.add(row);
    }
  }
}

void
AccountCapacity::removeRows(const std::string& aPeer,
                            const std::vector<AccountUse>& aRows)
{
  for (const AccountUse& row : aRows) {
    const auto found = this->services.find(row.service);
    if (found == this->services.end()) {
      continue;
    }
    if (row.account == 0) {
      found->second.peers.removeRest(aPeer, row);
    } else {
      found->second.peers.remove(row);
    }
  }
}

void
AccountCapacity::onPeer(const std::string& aPeer,
                        std::vector<AccountUse> aRows,
                        TimePoint aNow)
{
  const auto known = this->peers.find(aPeer);
  if (known != this->peers.end()) {
    this->removeRows(aPeer, known->second.rows);
    this->peers.erase(known);
  }
  if (!aRows.empty()) {
    this->addRows(aPeer, aRows);
    this->peers.emplace(aPeer, Peer{ std::move(aRows), aNow });
  }
}

void
AccountCapacity::expire(TimePoint aNow)
{
  std::erase_if(this->peers, [&](const auto& aEntry) {
    const bool silent = aNow - aEntry.second.receivedAt > kPeerTimeout;
    if (silent) {
      this->removeRows(aEntry.first, aEntry.second.rows);
    }
    return silent;
  });
  for (auto& [name, service] : this->services) {
    service.usual.advance(isShort(service, aNow), aNow);
  }
  std::erase_if(this->services, [aNow](const auto& aEntry) {
    const Service& service = aEntry.second;
    return service.own.empty() && service.peers.empty() &&
           service.usual.size() == 0 && !wasRefused(service, aNow);
  });
}

bool
AccountCapacity::wasRefused(const Service& aService, TimePoint aNow)
{
  return aService.refusal && aNow - aService.refusal->at <= kRefusalMemory;
}

bool
AccountCapacity::isShort(const Service& aService, TimePoint aNow)
{
  return aService.ownTotal.waiting > 0 || aService.peers.total().waiting > 0 ||
         wasRefused(aService, aNow);
}

bool
AccountCapacity::isShort(const std::string& aService, TimePoint aNow) const
{
  const auto found = this->services.find(aService);
  return found != this->services.end() && isShort(found->second, aNow);
}

AccountTokens
AccountCapacity::useOf(const Service& aService, std::uint64_t aAccount)
{
  AccountTokens sum;
  for (const AccountTable* table :
       { &aService.own, &aService.peers.byAccount() }) {
    const auto found = table->find(aAccount);
    if (found != table->end()) {
      sum.inUse += found->second.inUse;
      sum.waiting += found->second.waiting;
      sum.usual += found->second.usual;
    }
  }
  sum.usual += aService.usual.of(aAccount);
  return sum;
}

void
AccountCapacity::divide(Service& aService, TimePoint aNow)
{
  const Duration interval = std::max(
    kDivideInterval,
    kDivideIntervalPerAccount * static_cast<std::int64_t>(aService.accounts));
  if (aService.dividedAt && aNow - *aService.dividedAt < interval) {
    return;
  }
  aService.dividedAt = aNow;
  std::vector<ShareClaim> claims;
  std::vector<std::uint64_t> accounts;
  std::vector<double> usual;
  claims.reserve(aService.own.size() + aService.peers.size());
  accounts.reserve(claims.capacity());
  usual.reserve(claims.capacity());
  const auto add = [&](std::uint64_t aAccount) {
    const AccountTokens use = useOf(aService, aAccount);
    if (use.demand() > 0) {
      claims.push_back({ 1, use.demand() });
      accounts.push_back(aAccount);
      usual.push_back(use.usual);
    }
  };
  for (const auto& [account, use] : aService.own) {
    add(account);
  }
  for (const auto& [account, use] : aService.peers.byAccount()) {
    if (!aService.own.contains(account)) {
      add(account);
    }
  }
  const double median = medianOf(usual);
  aService.weights.clear();
  for (std::size_t i = 0; i < claims.size(); ++i) {
    if (usual[i] > 0) {
      claims[i].weight = std::clamp(usual[i] / median, kMinWeight, kMaxWeight);
      aService.weights.emplace(accounts[i], claims[i].weight);
    }
  }
  aService.accounts = claims.size();
  for (const auto& [peer, rest] : aService.peers.byRest()) {
    // Split into several claims, since the weight of one is bounded.
    const double parts = std::ceil(rest.weight / kMaxShareWeight);
    claims.insert(claims.end(),
                  static_cast<std::size_t>(parts),
                  ShareClaim{ rest.weight / parts, rest.demand / parts });
  }
  aService.share = divideCapacity(
    aService.ownTotal.inUse + aService.peers.total().inUse, std::move(claims));
}

AccountShare
AccountCapacity::accountShareOf(const std::string& aService,
                                std::uint64_t aAccount,
                                TimePoint aNow)
{
  AccountShare result;
  const auto found = this->services.find(aService);
  if (found == this->services.end() || !isShort(found->second, aNow)) {
    return result;
  }
  Service& service = found->second;
  divide(service, aNow);
  const AccountTokens use = useOf(service, aAccount);
  result.inUse = use.inUse;
  const auto weight = service.weights.find(aAccount);
  result.weight = weight == service.weights.end() ? 1 : weight->second;
  result.share = service.share.of({ result.weight, use.demand() });
  result.within = result.inUse <= result.share + kRoundingTokens;
  const auto own = service.own.find(aAccount);
  if (own != service.own.end() && use.demand() > result.share) {
    // Relays learn up to 200 ms later what others have started. If each let the
    // account use all that is left of its share, the account would exceed the
    // share by a multiple of what is left.
    const double part = own->second.demand() / use.demand();
    result.within = result.within &&
                    own->second.inUse <= result.share * part + kRoundingTokens;
  }
  return result;
}

bool
AccountCapacity::mayProbe(const std::string& aService, TimePoint aNow) const
{
  const auto found = this->services.find(aService);
  return found == this->services.end() ||
         aNow - found->second.probedAt >= kProbeInterval;
}

bool
AccountCapacity::onProbe(const std::string& aService,
                         bool aFound,
                         TimePoint aNow)
{
  Service& service = this->services[aService];
  if (!aFound || aNow - service.probedAt > kMaxProbeGap) {
    service.freeSince.reset();
  }
  service.probedAt = aNow;
  if (aFound && !service.freeSince) {
    service.freeSince = aNow;
  }
  return aFound && aNow - *service.freeSince >= kFreeBeforeUse;
}

std::vector<AccountUse>
AccountCapacity::rows(std::size_t aMaxRows, TimePoint aNow) const
{
  std::vector<AccountRowRef> named;
  std::size_t shortServices = 0;
  for (const auto& [name, service] : this->services) {
    if (!isShort(service, aNow)) {
      continue;
    }
    ++shortServices;
    for (const auto& [account, use] : service.own) {
      named.push_back(
        { &name, account, use.inUse, use.waiting, service.usual.of(account) });
    }
    for (const auto& [account, rate] : service.usual.rates()) {
      if (!service.own.contains(account)) {
        named.push_back({ &name, account, 0, 0, rate });
      }
    }
    if (service.ownTotal.waiting <= 0 && wasRefused(service, aNow)) {
      // The service is short of capacity although no request waits here. The
      // other relays learn this from a row with a waiting token.
      named.push_back({ &name, service.refusal->account, 0, 1, 0 });
    }
  }
  return largestRows(std::move(named), shortServices, aMaxRows);
}

std::size_t
AccountCapacity::contending(TimePoint aNow)
{
  std::size_t accounts = 0;
  for (auto& [name, service] : this->services) {
    if (isShort(service, aNow)) {
      divide(service, aNow);
      accounts += service.accounts;
    }
  }
  return accounts;
}

std::size_t
AccountCapacity::usualEntries() const
{
  std::size_t count = 0;
  for (const auto& [name, service] : this->services) {
    count += service.usual.size();
  }
  return count;
}

std::size_t
AccountCapacity::entries() const
{
  std::size_t count = 0;
  for (const auto& [name, service] : this->services) {
    count += service.own.size() + service.peers.size();
  }
  return count;
}

} // namespace poplartrack
