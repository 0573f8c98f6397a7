#include "poplartrack/retry/PromptParts.h"

#include <algorithm>
#include <cstddef>

namespace poplartrack {
namespace {

/** Most parts that are read of one list. */
constexpr std::size_t kMaxParts = 32;

std::string_view
trimmed(std::string_view aText)
{
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = aText.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kBlanks) - first + 1);
}

} // namespace

std::vector<std::string_view>
sharedPromptParts(std::string_view aList)
{
  std::vector<std::string_view> parts;
  std::size_t comma = aList.find(',');
  while (comma != std::string_view::npos && parts.size() < kMaxParts) {
    const std::string_view entry = aList.substr(0, comma);
    const std::string_view id = trimmed(entry.substr(0, entry.find(':')));
    if (!id.empty() &&
        std::find(parts.begin(), parts.end(), id) == parts.end()) {
      parts.push_back(id);
    }
    aList.remove_prefix(comma + 1);
    comma = aList.find(',');
  }
  return parts;
}

} // namespace poplartrack
