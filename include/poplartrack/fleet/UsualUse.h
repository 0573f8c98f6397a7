#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/**
 * Estimates what each client account usually asks of one model service: tokens
 * a second of the requests that this relay accepted, averaged over 60 s.
 *
 * Time during which the service is short of capacity does not count, and
 * neither do the requests accepted in it. Otherwise a burst would raise the
 * share of its own account. Pure; not thread-safe.
 */
class UsualUse
{
public:
  using AccountRates = std::vector<std::pair<std::uint64_t, double>>;

  /** Most accounts that are kept; beyond this, the one with the least use is
   * dropped. */
  static constexpr std::size_t kMaxAccounts = 1'024;

  /** Records that time has passed. To be called at least once a second.
   * @param aShort The service is short of capacity. */
  void advance(bool aShort, TimePoint aNow);
  /** Records an accepted request. */
  void onAccepted(std::uint64_t aAccount,
                  double aTokens,
                  bool aShort,
                  TimePoint aNow);

  /** Returns tokens a second; 0 if the account has no history. */
  [[nodiscard]] double of(std::uint64_t aAccount) const;
  /** Returns the accounts that have a history, in no order. */
  [[nodiscard]] AccountRates rates() const;
  /** Returns the number of accounts that are kept. */
  [[nodiscard]] std::size_t size() const { return this->tokens.size(); }

private:
  [[nodiscard]] double toRate(double aTokens) const;
  void rescale();

  /** Tokens by account. Each request is multiplied by the scale at its time;
   * the scale grows by e in 60 s, so that older requests weigh less. */
  std::unordered_map<std::uint64_t, double> tokens;
  double scale = 1;
  /** Seconds that the estimates cover, those long ago weighing less. */
  double observed = 0;
  std::optional<TimePoint> advancedAt;
  bool wasShort = false;
};

} // namespace poplartrack
