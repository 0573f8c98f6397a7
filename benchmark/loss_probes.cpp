// Time of one check of a relay's streams for lost replicas:
//   build/loss_probes
// Each table gives the number of streams, with paths of 14 parts over 60
// replicas, and ends with the line fitted through its sizes. In the first, all
// streams make progress; in the second, a fifth of them are late.
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "decisions/Fit.h"
#include "poplartrack/fleet/StallSuspects.h"

namespace poplartrack::bench {
namespace {

constexpr TimePoint kNow{ std::chrono::hours{ 1 } };
constexpr std::size_t kParts = 14;
constexpr std::size_t kReplicas = 60;
constexpr std::size_t kSizes[] = { 15, 30, 60, 120, 240 };

std::vector<std::vector<PathPart>>
pathsOf(std::size_t aStreams)
{
  std::vector<std::vector<PathPart>> paths(aStreams);
  for (std::size_t stream = 0; stream < aStreams; ++stream) {
    for (std::size_t part = 0; part < kParts; ++part) {
      const std::size_t replica = (stream * 7 + part * 4) % kReplicas;
      paths[stream].push_back(
        PathPart{ "i-0a3ac221b5a6" + std::to_string(replica), {}, {} });
    }
  }
  return paths;
}

void
measure(const char* aTitle, bool aLost)
{
  constexpr int kCalls = 2'000;
  constexpr double kNanosPerMicro = 1'000;
  std::vector<Sample> samples;
  for (const std::size_t size : kSizes) {
    const auto paths = pathsOf(size);
    std::vector<StreamProgress> streams;
    for (const auto& path : paths) {
      const bool late = aLost && path.front().replica < "i-0a3ac221b5a62";
      const Duration age = std::chrono::milliseconds{ late ? 90 : 20 };
      streams.push_back(StreamProgress{
        path, kNow - age, std::chrono::milliseconds{ 40 }, true });
    }
    StallSuspects suspects;
    const double micros = microsPerCall(kCalls, [&] {
      if (suspects.check(streams, {}, kNow).late > size) {
        std::abort();
      }
    });
    samples.push_back(
      Sample{ static_cast<double>(size), micros * kNanosPerMicro });
  }
  printFit(aTitle, "streams", "ns", samples);
}

} // namespace
} // namespace poplartrack::bench

int
main()
{
  poplartrack::bench::measure("check, all streams progress", false);
  poplartrack::bench::measure("check, some streams are late", true);
  return 0;
}
