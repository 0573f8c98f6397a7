#include "poplartrack/base/RequestId.h"

#include <charconv>
#include <random>

#include <xxhash.h>

namespace poplartrack {
namespace {

constexpr std::size_t kHexDigitsPerHalf = 16;
constexpr int kHexBase = 16;

void
appendHex(std::string& aText, std::uint64_t aValue)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kTopNibble = 60;
  for (int shift = kTopNibble; shift >= 0; shift -= 4) {
    aText += kDigits[(aValue >> static_cast<unsigned>(shift)) & 0xFU];
  }
}

std::optional<std::uint64_t>
parseHex(std::string_view aText)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value, kHexBase);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

} // namespace

std::string
toText(const RequestId& aId)
{
  std::string text;
  text.reserve(2 * kHexDigitsPerHalf);
  appendHex(text, aId.high);
  appendHex(text, aId.low);
  return text;
}

std::optional<RequestId>
requestIdFromText(std::string_view aText)
{
  if (aText.size() != 2 * kHexDigitsPerHalf) {
    return std::nullopt;
  }
  const auto high = parseHex(aText.substr(0, kHexDigitsPerHalf));
  const auto low = parseHex(aText.substr(kHexDigitsPerHalf));
  if (!high || !low) {
    return std::nullopt;
  }
  return RequestId{ *high, *low };
}

RequestId
randomRequestId()
{
  thread_local std::random_device source;
  const auto draw = [] {
    constexpr unsigned kHalf = 32;
    return (static_cast<std::uint64_t>(source()) << kHalf) | source();
  };
  return RequestId{ draw(), draw() };
}

RequestId
requestIdForKey(std::string_view aAccount, std::string_view aKey)
{
  std::string text{ aAccount };
  // A zero byte cannot stand in an account's name, so no two pairs collide.
  text += '\0';
  text += aKey;
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return RequestId{ hash.high64, hash.low64 };
}

} // namespace poplartrack
