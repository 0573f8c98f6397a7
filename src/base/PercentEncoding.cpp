#include "poplartrack/base/PercentEncoding.h"

namespace poplartrack {
namespace {

bool
isUnreserved(char aLetter)
{
  return (aLetter >= 'a' && aLetter <= 'z') ||
         (aLetter >= 'A' && aLetter <= 'Z') ||
         (aLetter >= '0' && aLetter <= '9') || aLetter == '-' ||
         aLetter == '.' || aLetter == '_' || aLetter == '~';
}

} // namespace

std::string
percentEncode(std::string_view aText)
{
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(aText.size());
  for (const char letter : aText) {
    if (isUnreserved(letter)) {
      encoded += letter;
      continue;
    }
    const auto byte = static_cast<unsigned char>(letter);
    encoded += '%';
    encoded += kHexDigits[byte >> 4U];
    encoded += kHexDigits[byte & 0xFU];
  }
  return encoded;
}

} // namespace poplartrack
