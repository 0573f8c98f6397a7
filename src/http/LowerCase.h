#pragma once

#include <string>
#include <string_view>

namespace poplartrack {

/** Returns a text with its ASCII letters in lower case. */
inline std::string
lowerCase(std::string_view aText)
{
  std::string lower{ aText };
  for (char& letter : lower) {
    if (letter >= 'A' && letter <= 'Z') {
      letter = static_cast<char>(letter - 'A' + 'a');
    }
  }
  return lower;
}

} // namespace poplartrack
