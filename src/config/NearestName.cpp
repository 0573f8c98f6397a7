#include "poplartrack/config/NearestName.h"

#include <algorithm>
#include <numeric>

namespace poplartrack {
namespace {

/** In bytes. Longer names get no suggestion, which bounds the work. */
constexpr std::size_t kMaxNameLength = 64;

/** Returns the Levenshtein distance of two strings. */
std::size_t
levenshteinDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < aRight.size(); ++j) {
      const std::size_t replaced = diagonal + (aLeft[i] == aRight[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({ replaced, row[j] + 1, row[j + 1] + 1 });
    }
  }
  return row.back();
}

} // namespace

std::string
nearestName(std::string_view aName, const std::vector<std::string>& aKnown)
{
  if (aName.size() > kMaxNameLength) {
    return {};
  }
  std::string nearest;
  std::size_t bestDistance = std::max<std::size_t>(aName.size() / 3, 1) + 1;
  for (const std::string& known : aKnown) {
    const std::size_t distance = levenshteinDistance(aName, known);
    if (distance < bestDistance) {
      bestDistance = distance;
      nearest = known;
    }
  }
  return nearest;
}

} // namespace poplartrack
