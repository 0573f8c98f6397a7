#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "soak/SoakCall.h"

namespace poplartrack::soak {

/** Changes of members of the desired state, each of which is undone later. */
enum class MemberChange : std::uint8_t
{
  KeysEmptied,
  KeysTakenOut,
  KeysMoved,
  AccountsEmptied,
  AccountsTakenOut,
  LimitRaised,
  LimitLowered,
  LimitEmptied,
  LimitsTakenOut,
  RouteTakenOut,
  RoutesEmptied,
};

constexpr std::array<std::string_view, 11> kMemberChangeNames{
  "keys emptied",       "keys taken out", "keys moved",     "accounts empty",
  "accounts taken out", "limit raised",   "limit lowered",  "limit emptied",
  "limits taken out",   "route gone",     "routes emptied",
};
static_assert(kMemberChangeNames.size() ==
              static_cast<std::size_t>(MemberChange::RoutesEmptied) + 1);

/** Limits on bodies in bytes: the usual one, a raised and a lowered one. */
constexpr std::size_t kUsualBody = 2'000;
constexpr std::size_t kRaisedBody = 8'000;
constexpr std::size_t kLoweredBody = 500;

/** What the operator declares, as far as it lets requests in. */
struct DesiredState
{
  /** When the store acknowledged it, in ms of the clock that counts suspension.
   */
  std::int64_t from = 0;
  /** Whether the document has the member with the accounts. */
  bool hasAccounts = true;
  /** Whether its accounts have the member with their keys. */
  bool hasKeys = true;
  /** Keys by account. */
  std::map<std::string, std::vector<std::string>> accounts;
  /** Whether the document has limits. */
  bool hasLimits = true;
  std::size_t bodyBytes = kUsualBody;
  std::set<RequestKind> routes{ RequestKind::Once,
                                RequestKind::Again,
                                RequestKind::Stream };
};

/** Changes a state as the operator does. */
inline void
apply(MemberChange aChange, DesiredState& aState)
{
  switch (aChange) {
    case MemberChange::KeysMoved: {
      std::vector<std::string> moved;
      for (auto& [name, keys] : aState.accounts) {
        moved.insert(moved.end(), keys.begin(), keys.end());
        keys.clear();
      }
      aState.accounts["heir"] = std::move(moved);
      break;
    }
    case MemberChange::KeysTakenOut:
      aState.hasKeys = false;
      [[fallthrough]];
    case MemberChange::KeysEmptied:
      for (auto& [name, keys] : aState.accounts) {
        keys.clear();
      }
      break;
    case MemberChange::AccountsEmptied:
      aState.accounts.clear();
      break;
    case MemberChange::AccountsTakenOut:
      aState.hasAccounts = false;
      break;
    case MemberChange::LimitRaised:
      aState.bodyBytes = kRaisedBody;
      break;
    case MemberChange::LimitLowered:
      aState.bodyBytes = kLoweredBody;
      break;
    case MemberChange::LimitEmptied:
      aState.bodyBytes = 0;
      break;
    case MemberChange::LimitsTakenOut:
      aState.hasLimits = false;
      break;
    case MemberChange::RouteTakenOut:
      aState.routes.erase(RequestKind::Again);
      break;
    case MemberChange::RoutesEmptied:
      aState.routes.clear();
      break;
  }
}

/** Whether a state lets a request in. */
inline bool
allows(const DesiredState& aState, const CallRecord& aCall)
{
  const auto holds = [&aCall](const auto& aAccount) {
    const auto& keys = aAccount.second;
    return std::find(keys.begin(), keys.end(), aCall.key) != keys.end();
  };
  const bool hasKey =
    !aState.hasAccounts ||
    std::any_of(aState.accounts.begin(), aState.accounts.end(), holds);
  const bool fits = !aState.hasLimits || aCall.bodyBytes <= aState.bodyBytes;
  return hasKey && fits && aState.routes.contains(aCall.kind);
}

} // namespace poplartrack::soak
