#include "poplartrack/fleet/UsualUse.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace poplartrack {
namespace {

using Seconds = std::chrono::duration<double>;

/** Time after which the weight of a request has fallen to 1/e. */
constexpr Seconds kAveragingTime = std::chrono::seconds{ 60 };
/** A relay that has seen less of a service underestimates what accounts use. A
 * rate from one second would be that of a few requests. */
constexpr Seconds kMinObserved = std::chrono::seconds{ 10 };
/** After a longer time without a call the process was suspended, and accepted
 * nothing. */
constexpr Duration kMaxGap = std::chrono::seconds{ 1 };
/** An account with less counts as one without history. */
constexpr double kMinRate = 1;
/** Largest scale: far from the limits of a double, and reached once in 14
 * minutes. */
constexpr double kMaxScale = 1e6;

} // namespace

void
UsualUse::advance(bool aShort, TimePoint aNow)
{
  const Duration passed = aNow - this->advancedAt.value_or(aNow);
  if (!aShort && !this->wasShort && passed > Duration{ 0 }) {
    const Seconds counted = std::min(passed, kMaxGap);
    const double weight = std::exp(-(counted / kAveragingTime));
    this->scale /= weight;
    this->observed =
      this->observed * weight + kAveragingTime.count() * (1 - weight);
    if (this->scale > kMaxScale) {
      this->rescale();
    }
  }
  this->wasShort = aShort;
  this->advancedAt = aNow;
}

void
UsualUse::onAccepted(std::uint64_t aAccount,
                     double aTokens,
                     bool aShort,
                     TimePoint aNow)
{
  this->advance(aShort, aNow);
  if (aShort || !std::isfinite(aTokens) || aTokens <= 0) {
    return;
  }
  this->tokens[aAccount] += aTokens * this->scale;
  if (this->tokens.size() > kMaxAccounts) {
    this->tokens.erase(
      std::min_element(this->tokens.begin(),
                       this->tokens.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second < aRight.second;
                       }));
  }
}

double
UsualUse::toRate(double aTokens) const
{
  const double rate =
    aTokens / this->scale / std::max(this->observed, kMinObserved.count());
  return rate >= kMinRate ? rate : 0;
}

double
UsualUse::of(std::uint64_t aAccount) const
{
  const auto found = this->tokens.find(aAccount);
  return found == this->tokens.end() ? 0 : this->toRate(found->second);
}

UsualUse::AccountRates
UsualUse::rates() const
{
  AccountRates all;
  all.reserve(this->tokens.size());
  for (const auto& [account, scaled] : this->tokens) {
    const double rate = this->toRate(scaled);
    if (rate > 0) {
      all.emplace_back(account, rate);
    }
  }
  return all;
}

/** Sets the scale to 1 and drops accounts that have become idle. */
void
UsualUse::rescale()
{
  std::erase_if(this->tokens, [this](const auto& aEntry) {
    return this->toRate(aEntry.second) <= 0;
  });
  for (auto& [account, scaled] : this->tokens) {
    scaled /= this->scale;
  }
  this->scale = 1;
}

} // namespace poplartrack
