#include "poplartrack/admit/AccountShares.h"

#include <algorithm>
#include <cmath>
#include <map>

#include <xxhash.h>

namespace poplartrack {
namespace {

constexpr double kDemandUnit = 1000;
constexpr double kShareUnit = 65535;
/** Demand below this part of the limit is not worth a message. */
constexpr double kLeastDemand = 0.5 / kDemandUnit;
/** Time constant of the smoothed demand. */
constexpr double kSmoothMicros = 1e6;

double
fade(Duration aPassed)
{
  const auto passed =
    static_cast<double>(std::max<std::int64_t>(0, aPassed.count()));
  return std::exp(-passed / kSmoothMicros);
}

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
  std::erase_if(this->formerLists,
                [aNow](const FormerList& aList) { return aNow >= aList.ends; });
  this->formerLists.push_back(
    FormerList{ std::move(this->entries), aNow + this->policy.ownerHolds });
  this->entries = std::move(aEntries);
  std::erase_if(this->owned, [this](const auto& aEntry) {
    return this->ownerOf(aEntry.first) != this->self;
  });
}

namespace {

const std::string&
ownerAmong(const std::vector<std::string>& aEntries, std::uint64_t aAccount)
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
  return ownerAmong(this->entries, aAccount);
}

/**
 * An entry that takes over an account knows nothing of what the owner before
 * granted: were it to grant at once, the limit would be given out twice. Once
 * ownerHolds has passed, every old grant has ended. Accounts that stay with
 * their owner are granted without a pause.
 */
bool
AccountShares::ownedThroughout(std::uint64_t aAccount, TimePoint aNow) const
{
  if (this->ownerOf(aAccount) != this->self) {
    return false;
  }
  return std::all_of(this->formerLists.begin(),
                     this->formerLists.end(),
                     [this, aAccount, aNow](const FormerList& aList) {
                       return aNow >= aList.ends ||
                              ownerAmong(aList.entries, aAccount) == this->self;
                     });
}

double
AccountShares::reservedEach() const
{
  return this->policy.reserved / static_cast<double>(this->entries.size());
}

void
AccountShares::onDemand(std::uint64_t aAccount,
                        double aSecondsOfLimit,
                        TimePoint aNow)
{
  constexpr double kMicrosPerSecond = 1e6;
  Local& local = this->locals[aAccount];
  local.demand *= fade(aNow - local.lastDemand);
  local.demand += aSecondsOfLimit * kMicrosPerSecond / kSmoothMicros;
  local.lastDemand = aNow;
}

double
AccountShares::shareOf(std::uint64_t aAccount, TimePoint aNow)
{
  if (this->entries.size() == 1) {
    return 1;
  }
  const auto found = this->locals.find(aAccount);
  if (found == this->locals.end() || aNow >= found->second.shareEnds) {
    return this->reservedEach();
  }
  return this->reservedEach() + found->second.share;
}

std::vector<DemandList>
AccountShares::demands(TimePoint aNow)
{
  std::erase_if(this->locals, [this, aNow](const auto& aEntry) {
    const Local& local = aEntry.second;
    return aNow - local.lastDemand > this->policy.demandFor &&
           aNow >= local.shareEnds;
  });
  std::map<std::string, std::vector<ShareDemand>> byOwner;
  for (const auto& [account, local] : this->locals) {
    const double demand = local.demand * fade(aNow - local.lastDemand);
    if (demand < kLeastDemand) {
      continue;
    }
    const double units = std::min(kShareUnit, std::ceil(demand * kDemandUnit));
    byOwner[this->ownerOf(account)].push_back(
      ShareDemand{ account, static_cast<std::uint16_t>(units) });
  }
  std::vector<DemandList> lists;
  for (auto& [owner, wanted] : byOwner) {
    if (owner == this->self) {
      this->onGrants(this->grant(this->self, wanted, aNow), aNow);
      continue;
    }
    lists.push_back(DemandList{ owner, std::move(wanted) });
  }
  return lists;
}

std::vector<ShareGrant>
AccountShares::grant(const std::string& aEntry,
                     const std::vector<ShareDemand>& aDemands,
                     TimePoint aNow)
{
  std::vector<ShareGrant> grants;
  this->dropEnded(aNow);
  for (const ShareDemand& demand : aDemands) {
    if (!this->ownedThroughout(demand.account, aNow)) {
      continue;
    }
    const double share = this->grantOne(
      this->owned[demand.account], aEntry, demand.demand / kDemandUnit, aNow);
    grants.push_back(ShareGrant{
      demand.account, static_cast<std::uint16_t>(share * kShareUnit) });
  }
  return grants;
}

void
AccountShares::dropEnded(TimePoint aNow)
{
  const auto ended = [aNow](const LiveGrant& aGrant) {
    return aNow >= aGrant.ends;
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
AccountShares::grantOne(std::vector<Holder>& aHolders,
                        const std::string& aEntry,
                        double aDemand,
                        TimePoint aNow) const
{
  const double pool = 1 - this->policy.reserved;
  double othersDemand = 0;
  double othersShare = 0;
  Holder* mine = nullptr;
  for (Holder& holder : aHolders) {
    if (holder.entry == aEntry) {
      mine = &holder;
      continue;
    }
    othersDemand += holder.demand;
    othersShare += holder.largestGrant();
  }
  if (mine == nullptr) {
    mine = &aHolders.emplace_back();
    mine->entry = aEntry;
  }
  // The part that follows demand, but never more than the others leave. A
  // smaller grant may reach its entry late or never: so each grant counts at
  // its full size until its own end, and the sum cannot pass the pool.
  const double fair = pool * aDemand / std::max(aDemand + othersDemand, 1e-9);
  const double share = std::max(0.0, std::min(fair, pool - othersShare));
  mine->demand = aDemand;
  mine->grants.push_back(LiveGrant{ share, aNow + this->policy.ownerHolds });
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
                        TimePoint aAsked)
{
  for (const ShareGrant& grant : aGrants) {
    Local& local = this->locals[grant.account];
    // Answers may cross: an older one must not bring back a larger share.
    if (aAsked < local.askedAt) {
      continue;
    }
    local.askedAt = aAsked;
    local.share = grant.share / kShareUnit;
    local.shareEnds = aAsked + this->policy.grantFor;
  }
}

std::size_t
AccountShares::accountsKnown() const
{
  return this->locals.size() + this->owned.size();
}

} // namespace poplartrack
