#pragma once

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/LayerRange.h"

namespace poplartrack {

/** One incarnation of an endpoint, as it registered itself. A restarted
 * endpoint is another replica with another id, even under the same registered
 * name, because it holds none of the layers that it held before. */
struct Replica
{
  /** Identifies this incarnation; see replicaId(). */
  std::string id;
  /** The name under which it is registered. The endpoint's next incarnation may
   * use the same name. */
  std::string registeredAs;
  /** Start time by its own clock, in ms since 1970; 0 if it reports none. */
  std::uint64_t startedAtMs = 0;
  std::string service;
  Address address;
  std::string zone;
  /** Requests that it processes at once. */
  std::uint32_t slots = 1;
  /** Whether it drains and takes no new work. */
  bool draining = false;
  /** Kind of accelerator; empty for a plain service. */
  std::string kind;
  /** Layers that it holds; nullopt while it holds none. */
  std::optional<LayerRange> layers;
  /** Version of the weights in these layers. */
  std::int64_t weights = 0;

  friend bool operator==(const Replica&, const Replica&) = default;
};

/**
 * Returns the id of one incarnation of an endpoint. Everything known of a
 * replica is kept under its id: load, health, open orders, connections and what
 * other relays report. If it were kept under the registered name, what was
 * known of an endpoint before a restart would be applied to the new
 * incarnation, which holds no layers and runs none of the streams that were
 * sent to the old one.
 *
 * @param aStartedAtMs start time of the incarnation; 0 returns the name alone
 */
inline std::string
replicaId(const std::string& aRegisteredAs, std::uint64_t aStartedAtMs)
{
  if (aStartedAtMs == 0) {
    return aRegisteredAs;
  }
  // Ids are part of every status message: base 36 takes eight letters, decimal
  // thirteen digits.
  constexpr int kBase = 36;
  std::array<char, 16> text{};
  const auto [end, error] =
    std::to_chars(text.data(), text.data() + text.size(), aStartedAtMs, kBase);
  return aRegisteredAs + "@" + std::string{ text.data(), end };
}

} // namespace poplartrack
