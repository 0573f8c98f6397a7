/**
 * Reads and writes a second that contenders for one lease cost the platform, by
 * their number; and the same when the holder dies each minute. Simulated time,
 * so the figures are exact and the same every run.
 */
#include <array>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "poplartrack/store/Lease.h"
#include "standins/lib/PlatformStandin.h"

namespace {

using namespace poplartrack;
using Platform = standins::PlatformStandin<ManualClock>;
using Contender = Lease<Platform, ManualClock>;

constexpr std::array kContenders{ 1, 2, 12, 46, 92, 370 };
constexpr int kSeconds = 600;
constexpr int kPollsPerSecond = 10;
constexpr int kDeathEverySeconds = 60;

/** Contenders for one lease, and the clock and platform that they share. */
struct Region
{
  ManualClock clock;
  Platform platform{ clock };
  std::vector<std::unique_ptr<Contender>> contenders;
  int started = 0;

  void start(std::size_t aAt)
  {
    LeaseSettings settings;
    settings.name = "placement";
    settings.holder = "run-" + std::to_string(++this->started);
    this->contenders[aAt] =
      std::make_unique<Contender>(this->platform, this->clock, settings);
  }

  void replaceHolder()
  {
    for (std::size_t i = 0; i < this->contenders.size(); ++i) {
      if (this->contenders[i]->held()) {
        this->start(i);
        return;
      }
    }
  }
};

void
measure(int aContenders, bool aDeaths)
{
  Region region;
  region.contenders.resize(static_cast<std::size_t>(aContenders));
  for (std::size_t i = 0; i < region.contenders.size(); ++i) {
    region.start(i);
  }
  int heldTicks = 0;
  for (int tick = 1; tick <= kSeconds * kPollsPerSecond; ++tick) {
    region.clock.advance(std::chrono::milliseconds{ 1'000 } / kPollsPerSecond);
    bool held = false;
    for (const auto& one : region.contenders) {
      one->poll();
      held = held || one->held().has_value();
    }
    heldTicks += held ? 1 : 0;
    if (aDeaths && tick % (kDeathEverySeconds * kPollsPerSecond) == 0) {
      region.replaceHolder();
    }
  }
  const standins::PlatformStats stats = region.platform.stats();
  std::printf("%10d %7s %9.2f %9.2f %10u %8.1f%%\n",
              aContenders,
              aDeaths ? "yes" : "no",
              static_cast<double>(stats.reads.total) / kSeconds,
              static_cast<double>(stats.writes.total) / kSeconds,
              stats.reads.peakSecond,
              100.0 * heldTicks / (kSeconds * kPollsPerSecond));
}

} // namespace

int
main()
{
  std::printf("contenders  deaths   reads/s  writes/s peak reads     held\n");
  for (const int contenders : kContenders) {
    measure(contenders, false);
    measure(contenders, true);
  }
  return 0;
}
