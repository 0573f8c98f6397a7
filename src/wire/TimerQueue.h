#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Deadlines by key, at most one for each key. */
class TimerQueue
{
public:
  /** Sets the key's deadline; replaces an earlier one. */
  void arm(std::uint64_t aKey, TimePoint aAt)
  {
    this->cancel(aKey);
    this->order.emplace(aAt, aKey);
    this->armed.emplace(aKey, aAt);
  }

  void cancel(std::uint64_t aKey)
  {
    const auto found = this->armed.find(aKey);
    if (found == this->armed.end()) {
      return;
    }
    this->order.erase({ found->second, aKey });
    this->armed.erase(found);
  }

  /** Returns the earliest deadline. */
  [[nodiscard]] std::optional<TimePoint> next() const
  {
    if (this->order.empty()) {
      return std::nullopt;
    }
    return this->order.begin()->first;
  }

  /** Removes and returns one key whose deadline has passed. */
  std::optional<std::uint64_t> popDue(TimePoint aNow)
  {
    if (this->order.empty() || this->order.begin()->first > aNow) {
      return std::nullopt;
    }
    const std::uint64_t key = this->order.begin()->second;
    this->cancel(key);
    return key;
  }

private:
  std::set<std::pair<TimePoint, std::uint64_t>> order;
  std::unordered_map<std::uint64_t, TimePoint> armed;
};

} // namespace poplartrack
