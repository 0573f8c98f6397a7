/**
 * Calls of the store and rows read by the list of contacts, by the number of
 * relays: when all start at once on an empty store, when all start again, and
 * when each restarts alone. Simulated time, so the figures are exact and the
 * same every run. Reads of the configuration and of the replica list, one and
 * one for each 500 replicas, are made by contacts only; they are not counted
 * here.
 */
#include <array>
#include <cstdio>

#include "unit/relay/FleetStart.h"

namespace {

using namespace poplartrack;
using relaytest::FleetStart;

constexpr std::array kRelays{ 20, 100, 437, 1'000, 2'000 };
constexpr Duration kObserved = std::chrono::seconds{ 4 };

/** Prints what the latest phase cost each relay. */
void
report(const char* aPhase, const FleetStart& aFleet)
{
  const auto relays = static_cast<double>(aFleet.relays.size());
  std::printf("%-10s %6zu %9.2f %9.2f %12.1f %9zu\n",
              aPhase,
              aFleet.relays.size(),
              static_cast<double>(aFleet.rows.reads) / relays,
              static_cast<double>(aFleet.rows.writes) / relays,
              static_cast<double>(aFleet.rows.rowsRead) / relays,
              aFleet.rows.size());
}

} // namespace

int
main()
{
  std::printf("%-10s %6s %9s %9s %12s %9s\n",
              "start",
              "relays",
              "reads",
              "writes",
              "rows read",
              "contacts");
  for (const int relays : kRelays) {
    FleetStart fleet{ relays };
    fleet.run(kObserved);
    report("first", fleet);
    fleet.restartAll();
    fleet.run(kObserved);
    report("all again", fleet);
    fleet.restartAll();
    fleet.runOneByOne();
    report("rolling", fleet);
  }
  return 0;
}
