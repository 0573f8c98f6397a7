#include "poplartrack/base/JsonDepth.h"

#include <algorithm>
#include <cstddef>

namespace poplartrack {

int
jsonDepth(std::string_view aText)
{
  int depth = 0;
  int deepest = 0;
  bool inString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char letter = aText[i];
    if (inString) {
      if (letter == '\\') {
        ++i;
      } else if (letter == '"') {
        inString = false;
      }
      continue;
    }
    if (letter == '"') {
      inString = true;
    } else if (letter == '{' || letter == '[') {
      deepest = std::max(deepest, ++depth);
    } else if (letter == '}' || letter == ']') {
      --depth;
    }
  }
  return deepest;
}

} // namespace poplartrack
