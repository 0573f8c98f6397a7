#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Error.h"
#include "poplartrack/fleet/RelayConfig.h"

namespace poplartrack {

/** What the gate needs to know of a request. */
struct GateRequest
{
  std::string_view host;
  /** Path with its query. */
  std::string_view target;
  std::string apiKey;
  std::optional<Duration> deadline;
};

/** A request that may be forwarded. */
struct Admitted
{
  const RelayRoute* route = nullptr;
  /** Null on an open route that came without a known key. */
  const RelayAccount* account = nullptr;
  /** Whether it may be sent only while the configuration is known to be
   * fresh. */
  bool keyed = false;
  /** How long the caller is kept waiting at most. */
  Duration patience{ 0 };
};

/** Bounds on the age of the configuration. */
struct GatePolicy
{
  /** A request with a key is sent only while the configuration was known to
   * be the newest this long ago. */
  Duration keyAge = std::chrono::milliseconds{ 3'800 };
  /** Up to this age "no such route" and "no such key" are certain enough to
   * say. */
  Duration denyAge = std::chrono::milliseconds{ 3'800 };
};

/**
 * Whether a request may be forwarded under a configuration of a certain age.
 * Pure. Errors: NoConfiguration, NotFound (no route), Unauthorized.
 */
std::variant<Admitted, Error>
admitRequest(const RelayConfig* aConfig,
             Duration aConfigAge,
             const GatePolicy& aPolicy,
             const GateRequest& aRequest);

} // namespace poplartrack
