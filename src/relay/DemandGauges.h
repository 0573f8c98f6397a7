#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace poplartrack {

/**
 * The gauges that show what callers of each availability zone ask. A zone keeps
 * its gauge, so that no gauge shows an old value: it is 0 while its zone asks
 * nothing. The number of gauges is bounded; zones beyond it have none. Not
 * thread-safe.
 */
class DemandGauges
{
public:
  /** Most zones with a gauge of their own. */
  static constexpr std::size_t kMaxGauges = 16;

  /** Returns the values of all gauges, by metric name.
   *
   * @param aDemand requests a second, by zone; empty on a relay that does not
   * know the demand of all zones
   */
  const std::map<std::string, double>& update(
    const std::map<std::string, double>& aDemand);

private:
  std::map<std::string, double> values;
};

} // namespace poplartrack
