#pragma once

#include <cstddef>
#include <future>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "soak/SoakRecord.h"
#include "soak/SoakWorld.h"

namespace poplartrack::scenarios {

/** Relays between callers and stand-in replicas: the world of the soak, with
 * faults that a scenario begins and ends instead of a seeded plan. */
class RelayWorld
{
public:
  /** @param aBuild the folder of the programs
   *  @param aFolder where settings and outputs go */
  RelayWorld(const std::string& aBuild,
             const std::string& aFolder,
             const soak::SoakSize& aSize);

  /** Begins or ends a fault of this name (SoakPlan.h). */
  void fault(const std::string& aName, std::size_t aWho, bool aBegins);
  /** Starts a request at a relay, from a caller of its own; gives its number.
   * @param aKind "once", "again" or "stream" */
  std::size_t begin(const std::string& aKind, std::size_t aRelay);
  /** Waits for the end of a request. */
  soak::CallRecord finish(std::size_t aCall);
  /** How often a replica has taken a request. */
  [[nodiscard]] std::size_t taken() const;
  /** What the judge of the soak finds. To be called when no request is in
   * progress. */
  [[nodiscard]] nlohmann::json verdict() const;

private:
  soak::SoakRecord record;
  soak::SoakWorld world;
  std::vector<std::shared_future<soak::CallRecord>> calls;
};

} // namespace poplartrack::scenarios
