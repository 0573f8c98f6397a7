#include "poplartrack/route/ZoneTable.h"

namespace poplartrack {

ZoneTable::ZoneTable(const RoutePolicy& aPolicy,
                     const std::string& aZone,
                     const std::string& aRegion)
  : policy(aPolicy)
  , names{ Name{ aZone, aRegion } }
{
}

std::uint32_t
ZoneTable::numberOf(const std::string& aZone, const std::string& aRegion)
{
  for (std::uint32_t i = 0; i < this->size(); ++i) {
    if (this->names[i].zone == aZone && this->names[i].region == aRegion) {
      return i;
    }
  }
  this->names.push_back(Name{ aZone, aRegion });
  return this->size() - 1;
}

double
ZoneTable::link(std::uint32_t aFrom, std::uint32_t aTo) const
{
  if (aFrom == aTo) {
    return static_cast<double>(this->policy.sameZoneLink.count());
  }
  const bool sameRegion = this->names[aFrom].region == this->names[aTo].region;
  return static_cast<double>(sameRegion ? this->policy.sameRegionLink.count()
                                        : this->policy.otherRegionLink.count());
}

void
ZoneTable::computeHops()
{
  this->width = this->size();
  this->hops.resize(static_cast<std::size_t>(this->width) * this->width);
  const double handling = static_cast<double>(this->policy.hopOverhead.count());
  for (std::uint32_t from = 0; from < this->width; ++from) {
    for (std::uint32_t to = 0; to < this->width; ++to) {
      this->hops[from * this->width + to] = handling + this->link(from, to);
    }
  }
}

} // namespace poplartrack
