#include "DemandGauges.h"

#include <algorithm>
#include <cctype>

namespace poplartrack {
namespace {

/** Returns the metric name of a zone's gauge. Characters that metric names
 * cannot have become underscores. */
std::string
metricName(const std::string& aZone)
{
  std::string name = "zone_demand_milli_" + aZone;
  std::replace_if(
    name.begin(),
    name.end(),
    [](unsigned char aLetter) { return std::isalnum(aLetter) == 0; },
    '_');
  return name;
}

} // namespace

const std::map<std::string, double>&
DemandGauges::update(const std::map<std::string, double>& aDemand)
{
  for (auto& [name, perSecond] : this->values) {
    perSecond = 0;
  }
  for (const auto& [zone, perSecond] : aDemand) {
    const std::string name = metricName(zone);
    if (this->values.contains(name) || this->values.size() < kMaxGauges) {
      this->values[name] += perSecond;
    }
  }
  return this->values;
}

} // namespace poplartrack
