#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>
#include <vector>

#include <malloc.h>

namespace poplartrack::bench {

constexpr int kRepeats = 5;

/** One measured size. */
struct Sample
{
  double size = 0;
  double value = 0;
};

inline std::size_t
liveBytes()
{
  return mallinfo2().uordblks;
}

/** The least of a few timings, microseconds a call: what the code costs when
 * nothing else runs on its core. */
inline double
microsPerCall(int aCalls, const std::function<void()>& aCall)
{
  double least = 1e18;
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < aCalls; ++i) {
      aCall();
    }
    const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - start;
    least = std::min(least, took.count() / aCalls);
  }
  return least;
}

/** Prints the samples and their least-squares line. */
inline void
printFit(const char* aTitle,
         const char* aSize,
         const char* aUnit,
         const std::vector<Sample>& aSamples)
{
  double meanSize = 0;
  double meanValue = 0;
  for (const Sample& sample : aSamples) {
    meanSize += sample.size / static_cast<double>(aSamples.size());
    meanValue += sample.value / static_cast<double>(aSamples.size());
  }
  double both = 0;
  double square = 0;
  for (const Sample& sample : aSamples) {
    both += (sample.size - meanSize) * (sample.value - meanValue);
    square += (sample.size - meanSize) * (sample.size - meanSize);
  }
  const double slope = both / square;
  const double base = meanValue - slope * meanSize;
  double worst = 0;
  std::printf("%s\n", aTitle);
  for (const Sample& sample : aSamples) {
    worst =
      std::max(worst, std::abs(sample.value - base - slope * sample.size));
    std::printf(
      "  %6.0f %-12s %10.3f %s\n", sample.size, aSize, sample.value, aUnit);
  }
  std::printf("  fit: %.3f + %.6f x %s; largest residual %.3f %s\n",
              base,
              slope,
              aSize,
              worst,
              aUnit);
}

} // namespace poplartrack::bench
