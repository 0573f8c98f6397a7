#include "poplartrack/place/CopyCount.h"

namespace poplartrack {

void
CopyCount::add(const std::string& aModel,
               const std::string& aVersion,
               const LayerRange& aHolds)
{
  std::vector<std::uint32_t>& layers = this->counts[{ aModel, aVersion }];
  if (layers.size() < aHolds.to) {
    layers.resize(aHolds.to);
  }
  for (std::uint32_t at = aHolds.from; at < aHolds.to; ++at) {
    ++layers[at];
  }
}

void
CopyCount::remove(const std::string& aModel,
                  const std::string& aVersion,
                  const LayerRange& aHolds)
{
  std::vector<std::uint32_t>& layers = this->counts[{ aModel, aVersion }];
  for (std::uint32_t at = aHolds.from; at < aHolds.to; ++at) {
    --layers[at];
  }
}

std::uint32_t
CopyCount::copies(const std::string& aModel,
                  const std::string& aVersion,
                  std::uint32_t aLayer) const
{
  const auto found = this->counts.find({ aModel, aVersion });
  if (found == this->counts.end() || aLayer >= found->second.size()) {
    return 0;
  }
  return found->second[aLayer];
}

bool
CopyCount::coversAll(const std::string& aModel,
                     const std::string& aVersion,
                     std::uint32_t aLayers) const
{
  for (std::uint32_t at = 0; at < aLayers; ++at) {
    if (this->copies(aModel, aVersion, at) == 0) {
      return false;
    }
  }
  return true;
}

} // namespace poplartrack
