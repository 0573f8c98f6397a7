#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/AccountList.h"
#include "poplartrack/fleet/EngineProfile.h"
#include "poplartrack/fleet/RelayRoute.h"

namespace poplartrack {

/** A service that requests are forwarded to. */
struct RelayService
{
  std::string name;
  /** Set only for services whose replicas hold layers of a model. */
  std::optional<EngineProfile> engine;
};

/** Limits on what a caller may send. */
struct CallerLimits
{
  std::size_t headerBytes = 16384;
  std::size_t bodyBytes = 1U << 20U;
  Duration headerTimeout = std::chrono::seconds{ 3 };
  Duration idleTimeout = std::chrono::seconds{ 15 };
};

/** A client account as the operator declared it. */
struct RelayAccount
{
  std::string name;
  /** Overrides the route's priority. */
  std::optional<int> priority;
};

/** One accepted version of the operator's configuration; immutable once
 * published. */
struct RelayConfig
{
  std::uint64_t version = 0;
  /** The document that it was decoded from, to be handed to other relays. */
  std::string text;
  /** By host, the longest prefix first. */
  std::map<std::string, std::vector<RelayRoute>, std::less<>> routes;
  std::map<std::string, RelayService, std::less<>> services;
  CallerLimits limits;
  /** What the document says of client accounts. Requests need a key unless the
   * document is known to declare none. */
  AccountList accountList = AccountList::Complete;
  std::vector<RelayAccount> accounts;
  /** Maps an API key to its index in accounts. */
  std::unordered_map<std::string, std::size_t> keys;

  /** Returns the route of a request, or null. aPath has no query. */
  [[nodiscard]] const RelayRoute* routeFor(std::string_view aHost,
                                           std::string_view aPath) const;
  /** Whether routes that are not open accept only requests with a known key.
   * This also holds while no account has a key. */
  [[nodiscard]] bool requiresKeys() const
  {
    return this->accountList != AccountList::Absent;
  }
  /** Returns the account that holds the key, or null. */
  [[nodiscard]] const RelayAccount* accountFor(const std::string& aKey) const;
  /** Returns the service of this name, or null. */
  [[nodiscard]] const RelayService* service(std::string_view aName) const;
  /** Sorts each host's routes by prefix length, as routeFor() requires. */
  void sortRoutes();
};

} // namespace poplartrack
