#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "poplartrack/fleet/PathFinder.h"

namespace poplartrack::fleettest {

/** Max-flow over availability zones and layers: the most requests that replicas
 * can have in flight at once, if each runs all layers that it holds. */
class LayerFlow
{
public:
  LayerFlow(const EngineProfile& aProfile,
            const std::vector<Replica>& aReplicas,
            const std::map<std::string, double>& aDemand)
  {
    const double tokens = aProfile.meanPromptTokens + aProfile.meanAnswerTokens;
    std::size_t zone = 0;
    std::map<std::string, std::size_t> zones;
    for (const auto& [name, requests] : aDemand) {
      zones.emplace(name, zone++);
    }
    const std::size_t columns = aProfile.layers + 1;
    this->sink = 1 + zones.size() * columns;
    this->room.assign(this->sink + 1, std::vector<double>(this->sink + 1, 0));
    for (const auto& [name, index] : zones) {
      const std::size_t start = 1 + index * columns;
      this->room[0][start] = aDemand.at(name);
      this->room[start + aProfile.layers][this->sink] = kUnbounded;
      for (const auto& [other, otherIndex] : zones) {
        for (std::size_t layer = 0; layer < columns && other != name; ++layer) {
          this->room[start + layer][1 + otherIndex * columns + layer] =
            kUnbounded;
        }
      }
    }
    for (const Replica& replica : aReplicas) {
      if (!replica.layers) {
        continue;
      }
      const double each = tokenLayerCapacity(aProfile, replica) /
                          (tokens * replica.layers->size());
      for (auto i = replica.layers->from; i < replica.layers->to; ++i) {
        const std::size_t at = 1 + zones.at(replica.zone) * columns + i;
        this->room[at][at + 1] += each;
      }
    }
  }

  /** Returns the requests in flight; the flow is used up by it. */
  double solve()
  {
    double total = 0;
    while (true) {
      std::vector<std::size_t> from(this->room.size(), this->room.size());
      std::vector<std::size_t> queue{ 0 };
      for (std::size_t i = 0; i < queue.size(); ++i) {
        for (std::size_t to = 1; to < this->room.size(); ++to) {
          if (from[to] == this->room.size() &&
              this->room[queue[i]][to] > kLeast) {
            from[to] = queue[i];
            queue.push_back(to);
          }
        }
      }
      if (from[this->sink] == this->room.size()) {
        return total;
      }
      double more = kUnbounded;
      for (std::size_t at = this->sink; at != 0; at = from[at]) {
        more = std::min(more, this->room[from[at]][at]);
      }
      for (std::size_t at = this->sink; at != 0; at = from[at]) {
        this->room[from[at]][at] -= more;
        this->room[at][from[at]] += more;
      }
      total += more;
    }
  }

private:
  static constexpr double kUnbounded = 1e9;
  static constexpr double kLeast = 1e-9;
  std::size_t sink = 0;
  std::vector<std::vector<double>> room;
};

} // namespace poplartrack::fleettest
