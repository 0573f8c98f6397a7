#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Count, sum, and running estimates of the 50th, 95th and 99th percentile;
 * constant memory whatever the number of observations. */
class LatencySummary
{
public:
  LatencySummary()
    : median(boost::accumulators::quantile_probability = kMedian)
    , high(boost::accumulators::quantile_probability = kHigh)
    , highest(boost::accumulators::quantile_probability = kHighest)
  {
  }

  void add(Duration aValue)
  {
    const double seconds =
      std::chrono::duration_cast<std::chrono::duration<double>>(aValue).count();
    this->median(seconds);
    this->high(seconds);
    this->highest(seconds);
    this->total += seconds;
    ++this->observations;
  }

  [[nodiscard]] std::uint64_t count() const { return this->observations; }
  [[nodiscard]] double sum() const { return this->total; }
  [[nodiscard]] double p50() const
  {
    return boost::accumulators::p_square_quantile(this->median);
  }
  [[nodiscard]] double p95() const
  {
    return boost::accumulators::p_square_quantile(this->high);
  }
  [[nodiscard]] double p99() const
  {
    return boost::accumulators::p_square_quantile(this->highest);
  }

private:
  static constexpr double kMedian = 0.5;
  static constexpr double kHigh = 0.95;
  static constexpr double kHighest = 0.99;
  using Quantile = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

  Quantile median;
  Quantile high;
  Quantile highest;
  double total = 0;
  std::uint64_t observations = 0;
};

} // namespace poplartrack
