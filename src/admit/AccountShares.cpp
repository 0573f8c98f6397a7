#include "poplartrack/admit/AccountShares.h"

#include <algorithm>
#include <cmath>
#include <map>

#include <xxhash.h>

namespace poplartrack {
namespace {

/** ShareDemand::demand that equals the whole limit. */
constexpr double kDemandUnit = 1000;
/** ShareGrant::share that equals the whole limit. */
constexpr double kShareUnit = 65535;
/** Demand below this fraction of the limit is not reported. */
constexpr double kMinDemand = 0.5 / kDemandUnit;
/** Time constant of the smoothed demand, microseconds. */
constexpr double kSmoothingMicros = 1e6;

/** Returns the factor by which demand decays over the given time. */
double
decay(Duration aPassed)
{
  const auto passed =
    static_cast<double>(std::max<std::int64_t>(0, aPassed.count()));
  return std::exp(-passed / kSmoothingMicros);
}

/** Returns the rendezvous hash; the entry with the highest one owns the
 * account.
 */
std::uint64_t
entryScore(const std::string& aEntry, std::uint64_t aAccount)
{
  return XXH3_64bits_withSeed(aEntry.data(), aEntry.size(), aAccount);
}

} // namespace

std::uint64_t
accountHash(std::string_view aAccount)
{
  return XXH3_64bits(aAccount.data(), aAccount.size());
}

AccountShares::AccountShares(const SharePolicy& aPolicy)
  : policy(aPolicy)
{
}

void
AccountShares::setEntries(std::string aSelf,
                          std::vector<std::string> aEntries,
                          TimePoint aNow)
{
  this->self = std::move(aSelf);
  if (std::find(aEntries.begin(), aEntries.end(), this->self) ==
      aEntries.end()) {
    aEntries.push_back(this->self);
  }
  std::sort(aEntries.begin(), aEntries.end());
  if (aEntries == this->entries) {
    return;
  }
  std::erase_if(this->previousLists, [aNow](const PreviousList& aList) {
    return aNow >= aList.endsAt;
  });
  this->previousLists.push_back(PreviousList{
    std::move(this->entries), aNow + this->policy.ownerGrantDuration });
  this->entries = std::move(aEntries);
  std::erase_if(this->owned, [this](const auto& aEntry) {
    return this->ownerOf(aEntry.first) != this->self;
  });
}

namespace {

/** Returns the owner of the account if aEntries are the live entries. */
const std::string&
ownerIn(const std::vector<std::string>& aEntries, std::uint64_t aAccount)
{
  const std::string* best = &aEntries.front();
  std::uint64_t bestScore = 0;
  for (const std::string& entry : aEntries) {
    const std::uint64_t score = entryScore(entry, aAccount);
    if (score >= bestScore) {
      bestScore = score;
      best = &entry;
    }
  }
  return *best;
}

} // namespace

const std::string&
AccountShares::ownerOf(std::uint64_t aAccount) const
{
  return ownerIn(this->entries, aAccount);
}

// An entry that takes over an account does not know the grants of the previous
// owner. If it granted at once, the limit would be granted twice. Once
// ownerGrantDuration has passed, all of those grants have ended. Accounts that
// stay with their owner are granted without interruption.
bool
AccountShares::mayGrant(std::uint64_t aAccount, TimePoint aNow) const
{
  if (this->ownerOf(aAccount) != this->self) {
    return false;
  }
  return std::all_of(this->previousLists.begin(),
                     this->previousLists.end(),
                     [this, aAccount, aNow](const PreviousList& aList) {
                       return aNow >= aList.endsAt ||
                              ownerIn(aList.entries, aAccount) == this->self;
                     });
}

double
AccountShares::reservedPerEntry() const
{
  return this->policy.reserved / static_cast<double>(this->entries.size());
}

void
AccountShares::onDemand(std::uint64_t aAccount,
                        double aSecondsOfLimit,
                        TimePoint aNow)
{
  constexpr double kMicrosPerSecond = 1e6;
  LocalAccount& local = this->localAccounts[aAccount];
  local.demand *= decay(aNow - local.lastDemand);
  local.demand += aSecondsOfLimit * kMicrosPerSecond / kSmoothingMicros;
  local.lastDemand = aNow;
}

double
AccountShares::shareOf(std::uint64_t aAccount, TimePoint aNow)
{
  if (this->entries.size() == 1) {
    return 1;
  }
  const auto found = this->localAccounts.find(aAccount);
  if (found == this->localAccounts.end() || aNow >= found->second.shareEnds) {
    return this->reservedPerEntry();
  }
  return this->reservedPerEntry() + found->second.share;
}

std::vector<DemandList>
AccountShares::demands(TimePoint aNow)
{
  std::erase_if(this->localAccounts, [this, aNow](const auto& aEntry) {
    const LocalAccount& local = aEntry.second;
    return aNow - local.lastDemand > this->policy.demandTimeout &&
           aNow >= local.shareEnds;
  });
  std::map<std::string, std::vector<ShareDemand>> byOwner;
  for (const auto& [account, local] : this->localAccounts) {
    const double demand = local.demand * decay(aNow - local.lastDemand);
    if (demand < kMinDemand) {
      continue;
    }
    const double units = std::min(kShareUnit, std::ceil(demand * kDemandUnit));
    byOwner[this->ownerOf(account)].push_back(
      ShareDemand{ account, static_cast<std::uint16_t>(units) });
  }
  std::vector<DemandList> lists;
  for (auto& [owner, accountDemands] : byOwner) {
    if (owner == this->self) {
      this->onGrants(this->grant(this->self, accountDemands, aNow), aNow);
      continue;
    }
    lists.push_back(DemandList{ owner, std::move(accountDemands) });
  }
  return lists;
}

std::vector<ShareGrant>
AccountShares::grant(const std::string& aEntry,
                     const std::vector<ShareDemand>& aDemands,
                     TimePoint aNow)
{
  std::vector<ShareGrant> grants;
  this->dropEndedGrants(aNow);
  for (const ShareDemand& demand : aDemands) {
    if (!this->mayGrant(demand.account, aNow)) {
      continue;
    }
    const double share = this->grantShare(
      this->owned[demand.account], aEntry, demand.demand / kDemandUnit, aNow);
    grants.push_back(ShareGrant{
      demand.account, static_cast<std::uint16_t>(share * kShareUnit) });
  }
  return grants;
}

void
AccountShares::dropEndedGrants(TimePoint aNow)
{
  const auto ended = [aNow](const LiveGrant& aGrant) {
    return aNow >= aGrant.endsAt;
  };
  for (auto& [account, holders] : this->owned) {
    for (Holder& holder : holders) {
      std::erase_if(holder.grants, ended);
    }
    std::erase_if(holders,
                  [](const Holder& aHolder) { return aHolder.grants.empty(); });
  }
  std::erase_if(this->owned,
                [](const auto& aOwned) { return aOwned.second.empty(); });
}

double
AccountShares::grantShare(std::vector<Holder>& aHolders,
                          const std::string& aEntry,
                          double aDemand,
                          TimePoint aNow) const
{
  const double pool = 1 - this->policy.reserved;
  double othersDemand = 0;
  double othersShare = 0;
  Holder* requester = nullptr;
  for (Holder& holder : aHolders) {
    if (holder.entry == aEntry) {
      requester = &holder;
      continue;
    }
    othersDemand += holder.demand;
    othersShare += holder.largestGrant();
  }
  if (requester == nullptr) {
    requester = &aHolders.emplace_back();
    requester->entry = aEntry;
  }
  // The share is proportional to demand, but never more than the other entries
  // leave. A later, smaller grant may reach its entry late or never, so each
  // grant counts in full until its own end, and the sum cannot exceed the pool.
  const double fair = pool * aDemand / std::max(aDemand + othersDemand, 1e-9);
  const double share = std::max(0.0, std::min(fair, pool - othersShare));
  requester->demand = aDemand;
  requester->grants.push_back(
    LiveGrant{ share, aNow + this->policy.ownerGrantDuration });
  return share;
}

double
AccountShares::Holder::largestGrant() const
{
  double largest = 0;
  for (const LiveGrant& grant : this->grants) {
    largest = std::max(largest, grant.share);
  }
  return largest;
}

void
AccountShares::onGrants(const std::vector<ShareGrant>& aGrants,
                        TimePoint aRequestedAt)
{
  for (const ShareGrant& grant : aGrants) {
    LocalAccount& local = this->localAccounts[grant.account];
    // Answers may arrive out of order: an older one must not restore a larger
    // share.
    if (aRequestedAt < local.grantRequestedAt) {
      continue;
    }
    local.grantRequestedAt = aRequestedAt;
    local.share = grant.share / kShareUnit;
    local.shareEnds = aRequestedAt + this->policy.grantDuration;
  }
}

std::size_t
AccountShares::accountsKnown() const
{
  return this->localAccounts.size() + this->owned.size();
}

} // namespace poplartrack
