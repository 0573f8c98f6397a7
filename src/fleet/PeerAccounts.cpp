#include "poplartrack/fleet/PeerAccounts.h"

#include <algorithm>
#include <cmath>

namespace poplartrack {
namespace {

/** Most accounts that the rest of one peer's rows counts as. A division walks
 * them, and a faulty peer could report any number of tokens. */
constexpr double kMaxRestAccounts = 10'000;
/** Most tokens a second that one row adds, more than a relay can forward.
 * Larger sums would lose the small summands. */
constexpr double kMaxUsual = 1e9;

double
usableUsual(const AccountUse& aRow)
{
  return std::isfinite(aRow.usual) ? std::clamp(aRow.usual, 0.0, kMaxUsual) : 0;
}

} // namespace

void
PeerAccounts::add(const AccountUse& aRow)
{
  this->sum.inUse += aRow.inUse;
  this->sum.waiting += aRow.waiting;
  AccountTokens& tokens = this->accounts[aRow.account];
  tokens.inUse += aRow.inUse;
  tokens.waiting += aRow.waiting;
  tokens.usual += usableUsual(aRow);
  ++tokens.requests;
}

void
PeerAccounts::remove(const AccountUse& aRow)
{
  this->sum.inUse -= aRow.inUse;
  this->sum.waiting -= aRow.waiting;
  const auto found = this->accounts.find(aRow.account);
  if (found == this->accounts.end()) {
    return;
  }
  found->second.inUse -= aRow.inUse;
  found->second.waiting -= aRow.waiting;
  found->second.usual -= usableUsual(aRow);
  if (--found->second.requests == 0) {
    this->accounts.erase(found);
  }
}

void
PeerAccounts::addRest(const std::string& aPeer,
                      const AccountUse& aRow,
                      double aSmallest)
{
  this->sum.inUse += aRow.inUse;
  this->sum.waiting += aRow.waiting;
  const double demand = aRow.inUse + aRow.waiting;
  this->rests[aPeer] = ShareClaim{
    std::clamp(demand / std::max(1.0, aSmallest), 1.0, kMaxRestAccounts), demand
  };
}

void
PeerAccounts::removeRest(const std::string& aPeer, const AccountUse& aRow)
{
  this->sum.inUse -= aRow.inUse;
  this->sum.waiting -= aRow.waiting;
  this->rests.erase(aPeer);
}

} // namespace poplartrack
