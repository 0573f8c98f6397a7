#pragma once

#include <algorithm>
#include <string_view>

namespace poplartrack {

/** Whether a text is a token, as methods and the names of fields are (RFC 9110,
 * 5.6.2). */
inline bool
isToken(std::string_view aText)
{
  const auto isAllowed = [](char aCharacter) {
    constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
    return (aCharacter >= '0' && aCharacter <= '9') ||
           (aCharacter >= 'a' && aCharacter <= 'z') ||
           (aCharacter >= 'A' && aCharacter <= 'Z') ||
           kMarks.find(aCharacter) != std::string_view::npos;
  };
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), isAllowed);
}

constexpr bool
isBlank(char aCharacter)
{
  return aCharacter == ' ' || aCharacter == '\t';
}

/** Whether two texts are the same but for the case of ASCII letters. */
inline bool
equalsIgnoringCase(std::string_view aOne, std::string_view aOther)
{
  const auto lower = [](char aCharacter) {
    const bool isUpper = aCharacter >= 'A' && aCharacter <= 'Z';
    return isUpper ? static_cast<char>(aCharacter - 'A' + 'a') : aCharacter;
  };
  return std::equal(
    aOne.begin(),
    aOne.end(),
    aOther.begin(),
    aOther.end(),
    [lower](char aLeft, char aRight) { return lower(aLeft) == lower(aRight); });
}

/** Returns a text without the blanks around it. */
inline std::string_view
trimBlanks(std::string_view aText)
{
  while (!aText.empty() && isBlank(aText.front())) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && isBlank(aText.back())) {
    aText.remove_suffix(1);
  }
  return aText;
}

} // namespace poplartrack
