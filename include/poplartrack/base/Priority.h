#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace poplartrack {

/** How urgent a request is; lower values go first. Append only. */
enum class Priority : std::uint8_t
{
  High,
  Normal,
  Low,
};

constexpr std::size_t kPriorityCount = 3;
constexpr std::array<std::string_view, kPriorityCount> kPriorityNames{
  "high",
  "normal",
  "low",
};

/** "high", "normal" or "low". */
constexpr std::string_view
nameOf(Priority aPriority)
{
  return kPriorityNames[static_cast<std::size_t>(aPriority)];
}

/** The priority with this name, if there is one. */
constexpr std::optional<Priority>
priorityFromName(std::string_view aName)
{
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    if (kPriorityNames[i] == aName) {
      return static_cast<Priority>(i);
    }
  }
  return std::nullopt;
}

} // namespace poplartrack
