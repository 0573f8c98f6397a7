/**
 * Datagrams and bytes of the status messages that a relay sends a second, by
 * the number of relays, with and without forwarding within the zones: at rest,
 * and while each relay's status changes all the time. Simulated time.
 */
#include <array>
#include <cstdio>

#include "unit/relay/StatusSpread.h"

namespace {

using namespace poplartrack;
using relaytest::SpreadOptions;
using relaytest::StatusSpread;

constexpr std::array<std::size_t, 4> kRelays{ 100, 437, 1'000, 2'000 };
constexpr Duration kSettling = std::chrono::seconds{ 2 };
constexpr int kRounds = 10;

/** Runs a settled fleet for two seconds and prints what a relay sent. */
void
measure(StatusSpread& aFleet, const SpreadOptions& aOptions, bool aChanges)
{
  aFleet.traffic = {};
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t i = 0; aChanges && i < aOptions.relays; ++i) {
      aFleet.change(i);
    }
    aFleet.run(StatusSpread::kInterval);
  }
  const double relaySeconds =
    static_cast<double>(aOptions.relays) * kRounds *
    std::chrono::duration<double>(StatusSpread::kInterval).count();
  const StatusSpread::Traffic& sent = aFleet.traffic;
  std::printf("%6zu %-8s %-8s %9.1f %9.2f %9.1f %9.2f\n",
              aOptions.relays,
              aOptions.forwards ? "forward" : "direct",
              aChanges ? "changing" : "rest",
              static_cast<double>(sent.messages) / relaySeconds,
              static_cast<double>(sent.bytes) / relaySeconds / 1'000,
              static_cast<double>(sent.zoneMessages) / relaySeconds,
              static_cast<double>(sent.zoneBytes) / relaySeconds / 1'000);
}

} // namespace

int
main()
{
  std::printf("%6s %-8s %-8s %9s %9s %9s %9s\n",
              "relays",
              "way",
              "status",
              "sent/s",
              "kB/s",
              "zones/s",
              "zones kB/s");
  for (const std::size_t relays : kRelays) {
    for (const bool forwards : { false, true }) {
      SpreadOptions options;
      options.relays = relays;
      options.forwards = forwards;
      StatusSpread fleet{ options };
      fleet.run(kSettling);
      measure(fleet, options, false);
      measure(fleet, options, true);
    }
  }
  return 0;
}
