#include "poplartrack/admit/FairShare.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <limits>

namespace poplartrack {
namespace {

/** No account that asks gets less than this part of the mean served fraction,
 * unless kMaxFloorCost does not allow it. */
constexpr double kMinOfMeanServed = 0.25;
/** Most that the shares raised for this take from the others, as a fraction of
 * the capacity. Accounts with usual demand must keep 0.97 of what they had
 * while another one asks for ten times its usual amount. */
constexpr double kMaxFloorCost = 0.02;

constexpr double kUnbounded = std::numeric_limits<double>::infinity();

/** Returns the level at which the claim gets all of its demand. */
double
fullLevelOf(const ShareClaim& aClaim)
{
  return aClaim.demand / aClaim.weight;
}

/** Returns the level without raised shares. Reorders the claims. */
double
maxMinLevel(double aCapacity, std::vector<ShareClaim>& aClaims)
{
  auto first = aClaims.begin();
  auto last = aClaims.end();
  // Demand of the claims that are known to be met, and weight of those that
  // are known not to be.
  double met = 0;
  double unmetWeight = 0;
  while (first != last) {
    const auto middle = first + std::distance(first, last) / 2;
    std::nth_element(first,
                     middle,
                     last,
                     [](const ShareClaim& aLeft, const ShareClaim& aRight) {
                       return fullLevelOf(aLeft) < fullLevelOf(aRight);
                     });
    double demand = met;
    for (auto claim = first; claim != middle + 1; ++claim) {
      demand += claim->demand;
    }
    double weight = unmetWeight;
    for (auto claim = middle + 1; claim != last; ++claim) {
      weight += claim->weight;
    }
    if (demand + weight * fullLevelOf(*middle) <= aCapacity) {
      met = demand;
      first = middle + 1;
    } else {
      unmetWeight = weight + middle->weight;
      last = middle;
    }
  }
  return unmetWeight > 0 ? std::max(0.0, aCapacity - met) / unmetWeight
                         : kUnbounded;
}

/** Returns the mean over the accounts that ask of the part of its demand that
 * each gets. */
double
meanServed(const std::vector<ShareClaim>& aClaims, double aLevel)
{
  double sum = 0;
  for (const ShareClaim& claim : aClaims) {
    sum += std::min(1.0, claim.weight * aLevel / claim.demand);
  }
  return aClaims.empty() ? 0 : sum / static_cast<double>(aClaims.size());
}

/** Returns what raised shares take from the others. */
double
floorCost(const std::vector<ShareClaim>& aClaims,
          double aLevel,
          double aMinServed)
{
  double cost = 0;
  for (const ShareClaim& claim : aClaims) {
    cost += std::max(0.0, aMinServed * claim.demand - claim.weight * aLevel);
  }
  return cost;
}

/** Returns the largest value of FairShare::minServed up to aWanted that costs
 * at most aMaxCost. */
double
affordableMinServed(const std::vector<ShareClaim>& aClaims,
                    double aLevel,
                    double aWanted,
                    double aMaxCost)
{
  if (floorCost(aClaims, aLevel, aWanted) <= aMaxCost) {
    return aWanted;
  }
  // Bisection to 1/4,096 of aWanted.
  constexpr int kSteps = 12;
  double low = 0;
  double high = aWanted;
  for (int step = 0; step < kSteps; ++step) {
    const double middle = (low + high) / 2;
    const bool affordable = floorCost(aClaims, aLevel, middle) <= aMaxCost;
    (affordable ? low : high) = middle;
  }
  return low;
}

} // namespace

double
FairShare::of(const ShareClaim& aClaim) const
{
  return std::max(usableWeight(aClaim.weight) * this->level,
                  this->minServed * aClaim.demand);
}

double
usableWeight(double aDeclared)
{
  const bool usable = std::isfinite(aDeclared) && aDeclared > 0;
  return usable ? std::min(aDeclared, kMaxShareWeight) : 1;
}

double
unboundedLevel(double aCapacity, double aWeight)
{
  return aWeight > 0 ? aCapacity / aWeight : kUnbounded;
}

FairShare
divideCapacity(double aCapacity, std::vector<ShareClaim> aClaims)
{
  std::erase_if(aClaims, [](const ShareClaim& aClaim) {
    return !std::isfinite(aClaim.demand) || aClaim.demand <= 0;
  });
  for (ShareClaim& claim : aClaims) {
    claim.weight = usableWeight(claim.weight);
  }
  FairShare share;
  share.level = maxMinLevel(aCapacity, aClaims);
  if (!std::isfinite(share.level)) {
    return share;
  }
  const double wanted = kMinOfMeanServed * meanServed(aClaims, share.level);
  share.minServed = affordableMinServed(
    aClaims, share.level, wanted, kMaxFloorCost * aCapacity);
  double raised = 0;
  std::vector<ShareClaim> others;
  for (const ShareClaim& claim : aClaims) {
    const double floor = share.minServed * claim.demand;
    if (floor > claim.weight * share.level) {
      raised += floor;
    } else {
      others.push_back(claim);
    }
  }
  if (raised > 0) {
    share.level =
      std::min(share.level, maxMinLevel(aCapacity - raised, others));
  }
  return share;
}

} // namespace poplartrack
