#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

namespace poplartrack {

/** Identifies the content of a request, whatever its request id: 128 bits of a
 * cryptographic hash, so that nobody can construct a request with the
 * fingerprint of another one. */
struct Fingerprint
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  // The linter takes the zero that a defaulted <=> compares with for a null
  // pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Fingerprint&, const Fingerprint&) = default;
  MSGPACK_DEFINE(high, low);
};

/** The parts of a request that its fingerprint covers. Refers to the caller's
 * strings and is valid only as long as they are. */
struct RequestContent
{
  /** Client account; empty where the route needs no key. */
  std::string_view account;
  std::string_view host;
  std::string_view method;
  /** Path and query. */
  std::string_view target;
  std::string_view body;
  /** The parts of the prompt, as the request lists them. */
  std::string_view promptParts{};
};

/** Returns the fingerprint of a request. */
Fingerprint
fingerprintOf(const RequestContent& aContent);

/** Returns the fingerprint of a part of a prompt, whoever sends it. */
Fingerprint
fingerprintOfPart(std::string_view aPart);

/** Returns the fingerprint of a part in the requests of one client account. */
Fingerprint
fingerprintOfPart(std::string_view aPart, std::string_view aAccount);

/** Returns the fingerprint as 32 lower-case hex digits. */
std::string
toText(const Fingerprint& aFingerprint);

/** Parses the output of toText. Returns nullopt if the text is not a
 * fingerprint. */
std::optional<Fingerprint>
fingerprintFromText(std::string_view aText);

} // namespace poplartrack
