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

/** How far the configuration that a relay has can be trusted. */
struct ConfigProof
{
  /** How long ago it was known to be the newest. */
  Duration age{ 0 };
  /** The store did not answer the latest look at it. */
  bool storeFails = false;
};

/** Bounds on the age of the configuration. */
struct GatePolicy
{
  /** While nothing says that the store is away, a configuration that was known
   * to be the newest longer ago is not used: a look at it hangs, and a newer
   * one may have been in force for that long. */
  Duration maxConfigAge = std::chrono::milliseconds{ 1'700 };
  /** A request with a key is sent only while the configuration was known to
   * be the newest this long ago. */
  Duration maxKeyAge = std::chrono::milliseconds{ 3'800 };
  /** Up to this age "no such route" and "no such key" are certain enough to
   * say. */
  Duration maxDenyAge = std::chrono::milliseconds{ 3'800 };
};

/**
 * Whether a request may be sent under the configuration that its relay has.
 *
 * A relay whose look at the store failed is cut off, or the store is away, and
 * serves on for as long as a key that was taken away may work. One whose look
 * hangs without an error believes itself in touch, and the deadline for a new
 * configuration binds it: its connection had fallen silent, and 3.3 s after the
 * operator's acknowledgement, bound 3 s, it sent a request with a key that the
 * others had long refused.
 */
[[nodiscard]] bool
isUsable(const ConfigProof& aProof, const GatePolicy& aPolicy, bool aKeyed);

/**
 * Whether a request may be forwarded under a configuration of a certain age.
 * Pure. Errors: NoConfiguration, NotFound (no route), Unauthorized.
 */
std::variant<Admitted, Error>
admitRequest(const RelayConfig* aConfig,
             const ConfigProof& aProof,
             const GatePolicy& aPolicy,
             const GateRequest& aRequest);

} // namespace poplartrack
