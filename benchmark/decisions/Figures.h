#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace poplartrack::bench {

/** What one run gave, over its measured time. */
struct Figures
{
  double offeredPerSecond = 0;
  double boundPerSecond = 0;
  double goodPerSecond = 0;
  /** Good answers over what bound and offer allow together. */
  double goodOverBound = 0;
  double firstTokenP95 = 0;
  double firstTokenP99 = 0;
  double gapP95 = 0;
  double refusedPart = 0;
  double failedPart = 0;
  /** Attempts over requests let in. */
  double amplification = 1;
  /** Part of the prefills that found their prefix cached. */
  double hitPart = 0;
  /** Good answers of each second, from the start. */
  std::vector<double> goodBySecond;
};

/** The value below which this part of them lies; reorders them. */
inline double
quantile(std::vector<double>& aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto nth =
    aValues.begin() + static_cast<std::ptrdiff_t>(
                        aPart * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), nth, aValues.end());
  return *nth;
}

} // namespace poplartrack::bench
