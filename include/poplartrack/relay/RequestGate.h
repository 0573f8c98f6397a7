#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Error.h"
#include "poplartrack/fleet/RelayConfig.h"

namespace poplartrack {

/** The parts of a request that decide on its admission. */
struct GateRequest
{
  std::string_view host;
  /** Path with query string. */
  std::string_view target;
  std::string apiKey;
  /** The time that the caller gives for the answer; empty: not given. */
  std::optional<Duration> deadline;
  /** Size of a body that was received before there was a configuration with a
   * limit for it, in bytes; 0 if its limit held. */
  std::size_t unlimitedBody = 0;
};

/** A request that may be forwarded, with the configuration that applies. */
struct AdmittedRequest
{
  const RelayRoute* route = nullptr;
  /** Null when the route is open and the request has no known key. */
  const RelayAccount* account = nullptr;
  /** The route accepts only requests with a key. Such a request is sent only
   * while the configuration is at most GatePolicy::maxKeyAge old, since its key
   * may have been revoked. */
  bool requiresKey = false;
  /** The caller's deadline or the route's timeout, whichever is shorter. */
  Duration timeout{ 0 };
};

/** How recently a relay proved that its configuration is the newest. */
struct ConfigProof
{
  /** Time since the configuration was last proved to be the newest. */
  Duration age{ 0 };
  /** The latest poll of the store failed. */
  bool storeFails = false;
};

/** Bounds on the age of the freshness proof; see ConfigProof::age. */
struct GatePolicy
{
  /** An older configuration is not used unless the latest poll of the store
   * failed. Without a failure the poll hangs, and a newer configuration may
   * have been in force for that long. */
  Duration maxConfigAge = std::chrono::milliseconds{ 1'700 };
  /** A request that requires a key is sent only while the configuration is at
   * most this old. */
  Duration maxKeyAge = std::chrono::milliseconds{ 3'800 };
  /** An unknown route or key, or a size over the limit, is answered with 404,
   * 401, 413 or 431 only while the configuration is at most this old. */
  Duration maxDenyAge = std::chrono::milliseconds{ 3'800 };
};

/**
 * Returns whether a request may be sent under the relay's configuration.
 *
 * When the latest poll of the store failed, the relay is cut off or the store
 * is unavailable. The relay then continues to serve for as long as a revoked
 * key may work (maxKeyAge). When a poll hangs without an error, the relay takes
 * itself for connected, and the shorter deadline for a new configuration
 * applies (maxConfigAge). Without this bound, a relay whose connection had
 * fallen silent sent a request with a revoked key 3.3 s after the revocation
 * was acknowledged to the operator, where the bound is 3 s.
 */
[[nodiscard]] bool
isUsable(const ConfigProof& aProof,
         const GatePolicy& aPolicy,
         bool aRequiresKey);

/** Returns whether a request may be denied because of the configuration, with
 * an answer after which callers don't repeat it. */
[[nodiscard]] bool
mayDeny(const ConfigProof& aProof, const GatePolicy& aPolicy);

/**
 * Decides whether a request may be forwarded. Without a configuration (aConfig
 * is null), or with one too old to decide by, the error is NoConfiguration.
 * Pure. Errors: NoConfiguration, TooLarge, NotFound (no route), Unauthorized.
 */
std::variant<AdmittedRequest, Error>
admitRequest(const RelayConfig* aConfig,
             const ConfigProof& aProof,
             const GatePolicy& aPolicy,
             const GateRequest& aRequest);

} // namespace poplartrack
