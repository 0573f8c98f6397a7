#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

namespace poplartrack {

/** What a caller asks for, whatever id the request has: 128 bits of a
 * cryptographic hash, so that nobody can make a request that passes for
 * another one's. */
struct Fingerprint
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  // The linter takes the zero that a defaulted <=> compares with for a null.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Fingerprint&, const Fingerprint&) = default;
  MSGPACK_DEFINE(high, low);
};

/** What makes two requests the same. Valid only while its texts are. */
struct RequestContent
{
  /** Client account; empty where the route needs no key. */
  std::string_view account;
  std::string_view host;
  std::string_view method;
  /** Path and query. */
  std::string_view target;
  std::string_view body;
};

Fingerprint
fingerprintOf(const RequestContent& aContent);

/** 32 lower-case hex digits. */
std::string
toText(const Fingerprint& aFingerprint);

/** What toText wrote, or nothing when the text is no fingerprint. */
std::optional<Fingerprint>
fingerprintFromText(std::string_view aText);

} // namespace poplartrack
