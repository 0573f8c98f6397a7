#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "poplartrack/base/LayerRange.h"

namespace poplartrack {

/** Counts how many endpoints hold each layer of each model version. The caller
 * adds only what is confirmed. */
class CopyCount
{
public:
  /** Counts one more copy of the layers aHolds. */
  void add(const std::string& aModel,
           const std::string& aVersion,
           const LayerRange& aHolds);
  /** Counts one copy less of layers that were added before. */
  void remove(const std::string& aModel,
              const std::string& aVersion,
              const LayerRange& aHolds);
  /** Returns the number of copies of one layer; 0 for an unknown model. */
  [[nodiscard]] std::uint32_t copies(const std::string& aModel,
                                     const std::string& aVersion,
                                     std::uint32_t aLayer) const;
  /** Returns whether each layer in [0, aLayers) has at least one copy. */
  [[nodiscard]] bool coversAll(const std::string& aModel,
                               const std::string& aVersion,
                               std::uint32_t aLayers) const;

private:
  /** Copies of each layer, by model and version. */
  std::map<std::pair<std::string, std::string>, std::vector<std::uint32_t>>
    counts;
};

} // namespace poplartrack
