#pragma once

#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/store/PlatformLike.h"

namespace poplartrack::standins {

/** The instance list, shown with a lag. */
class InstanceHistory
{
public:
  void set(std::vector<InstanceInfo> aList, TimePoint aNow)
  {
    this->lists.emplace_back(aNow, std::move(aList));
    if (this->lists.size() > kKept) {
      this->lists.pop_front();
    }
  }

  void freeze(bool aFrozen, TimePoint aNow)
  {
    if (!aFrozen) {
      this->frozenAt.reset();
    } else if (!this->frozenAt) {
      this->frozenAt = aNow;
    }
  }

  /** The list as it was the lag ago; empty when there was none. */
  [[nodiscard]] std::vector<InstanceInfo> read(TimePoint aNow,
                                               Duration aLag) const
  {
    const TimePoint as = this->frozenAt.value_or(aNow) - aLag;
    for (auto at = this->lists.rbegin(); at != this->lists.rend(); ++at) {
      if (at->first <= as) {
        return at->second;
      }
    }
    return {};
  }

private:
  static constexpr std::size_t kKept = 256;

  std::deque<std::pair<TimePoint, std::vector<InstanceInfo>>> lists;
  std::optional<TimePoint> frozenAt;
};

} // namespace poplartrack::standins
