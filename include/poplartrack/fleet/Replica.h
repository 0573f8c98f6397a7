#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/LayerRange.h"

namespace poplartrack {

/** One start of one endpoint, as it registered itself. A restarted endpoint is
 * another replica with another id. */
struct Replica
{
  std::string id;
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

} // namespace poplartrack
