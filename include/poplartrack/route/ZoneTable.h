#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "poplartrack/route/RoutePolicy.h"

namespace poplartrack {

/**
 * Maps the availability zones of one decision to small indexes and holds the
 * cost of a hop between each two of them, in microseconds. Index 0 is the
 * entry's own zone.
 */
class ZoneTable
{
public:
  ZoneTable(const RoutePolicy& aPolicy,
            const std::string& aZone,
            const std::string& aRegion);

  /** Returns the zone's index; a new zone gets the next one. */
  std::uint32_t numberOf(const std::string& aZone, const std::string& aRegion);
  /** Returns the cost of a hop: link time and processing time. */
  [[nodiscard]] double hop(std::uint32_t aFrom, std::uint32_t aTo) const
  {
    return this->hops[aFrom * this->width + aTo];
  }
  /** Returns the one-way link time alone. */
  [[nodiscard]] double link(std::uint32_t aFrom, std::uint32_t aTo) const;
  /** Computes the hop costs. Must be called after the last numberOf() and
   * before hop(). */
  void computeHops();
  [[nodiscard]] std::uint32_t size() const
  {
    return static_cast<std::uint32_t>(this->names.size());
  }

private:
  /** Zone names are unique only within a region. */
  struct Name
  {
    std::string zone;
    std::string region;
  };

  RoutePolicy policy;
  std::vector<Name> names;
  std::vector<double> hops;
  std::uint32_t width = 0;
};

} // namespace poplartrack
