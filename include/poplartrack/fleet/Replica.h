#pragma once

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/LayerRange.h"

namespace poplartrack {

/** One start of one endpoint, as it registered itself. A restarted endpoint is
 * another replica with another id, also where it registers under the name that
 * it had: it holds nothing of what the one before it held. */
struct Replica
{
  /** Names this start alone; see replicaId. */
  std::string id;
  /** The name under which it is registered. The next start of the endpoint may
   * have the same one. */
  std::string registeredAs;
  /** When it started, by its own clock, in ms since 1970; 0: it does not say.
   */
  std::uint64_t startedAtMs = 0;
  std::string service;
  Address address;
  std::string zone;
  /** Requests that it works on at once. */
  std::uint32_t slots = 1;
  /** It is leaving and takes no new work. */
  bool draining = false;
  /** Kind of accelerator; empty for a plain service. */
  std::string kind;
  /** Layers that it holds; nothing while it is empty. */
  std::optional<LayerRange> layers;
  /** Version of the weights in these layers. */
  std::int64_t weights = 0;

  friend bool operator==(const Replica&, const Replica&) = default;
};

/**
 * The id of one start of an endpoint. All that is known of a replica is kept
 * under its id: load, health, open orders, connections, what other relays tell.
 * Kept under the registered name, what was known of an endpoint's life before
 * its restart was taken for the new one's, which holds no layers and runs none
 * of the streams that were sent to the old one.
 *
 * @param aBorn 0: the name alone
 */
inline std::string
replicaId(const std::string& aRegisteredAs, std::uint64_t aBorn)
{
  if (aBorn == 0) {
    return aRegisteredAs;
  }
  // Ids travel in each word between relays: eight letters, not thirteen digits.
  constexpr int kBase = 36;
  std::array<char, 16> text{};
  const auto [end, error] =
    std::to_chars(text.data(), text.data() + text.size(), aBorn, kBase);
  return aRegisteredAs + "@" + std::string{ text.data(), end };
}

} // namespace poplartrack
