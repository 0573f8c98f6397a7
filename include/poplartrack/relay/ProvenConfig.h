#pragma once

#include <memory>
#include <utility>

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/RelayConfig.h"

namespace poplartrack {

/** A configuration with the age of a proof that it is the newest. */
struct ProvenConfig
{
  /** Null if there is none yet. */
  std::shared_ptr<const RelayConfig> config;
  /** Duration::max() if there is no proof. */
  Duration proofAge = Duration::max();
};

/**
 * Reads a configuration and its proof while another thread puts newer ones in
 * force. The proof is read first: a newer configuration may then appear with an
 * older proof than its own, but no older one with a newer proof, which would
 * hide a revoked key. Writers put a configuration in force before they prove
 * it.
 */
template<typename ReadAge, typename ReadConfig>
ProvenConfig
readProven(ReadAge&& aReadAge, ReadConfig&& aReadConfig)
{
  const Duration proofAge = aReadAge();
  return ProvenConfig{ aReadConfig(), proofAge };
}

} // namespace poplartrack
