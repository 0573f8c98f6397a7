#pragma once

#include <vector>

namespace poplartrack {

/** Largest weight of an account. */
constexpr double kMaxShareWeight = 1'000;

/** What one account asks for, in the unit of the capacity. */
struct ShareClaim
{
  double weight = 1;
  /** What it uses and what waits. */
  double demand = 0;
};

/** Division of a capacity over accounts. */
struct FairShare
{
  /** Share per unit of weight; infinite while the capacity covers all demand.
   */
  double level = 0;
  /** Least part of its demand that each account gets. */
  double minServed = 0;

  /** Returns the share of an account. */
  [[nodiscard]] double of(const ShareClaim& aClaim) const;
};

/** Returns the weight to use for a declared one: 1 if that is not positive or
 * not finite, at most kMaxShareWeight. */
double
usableWeight(double aDeclared);

/** Returns the level at which accounts that ask without bound use up the
 * capacity. aWeight is the sum of their weights. */
double
unboundedLevel(double aCapacity, double aWeight);

/**
 * Divides a capacity by weighted max-min fairness: each account gets its
 * demand, or its weight times the level if that is less. What an account does
 * not ask for is divided over the others.
 *
 * The shares of accounts with much demand are raised towards a quarter of the
 * mean served fraction. This takes at most a fiftieth of the capacity from the
 * others, so that an account that multiplies its demand hardly affects them.
 *
 * Takes time linear in the number of accounts. Demands that are negative or not
 * finite count as 0.
 */
FairShare
divideCapacity(double aCapacity, std::vector<ShareClaim> aClaims);

} // namespace poplartrack
