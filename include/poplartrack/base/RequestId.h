#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

namespace poplartrack {

/** Names one accepted request everywhere: 128 bits, 32 hex digits as text. */
struct RequestId
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  // The linter takes the zero that a defaulted <=> compares with for a null.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const RequestId&, const RequestId&) = default;
  MSGPACK_DEFINE(high, low);
};

/** 32 lower-case hex digits. */
std::string
toText(const RequestId& aId);

/** The id that toText wrote, or nothing when the text is no id. */
std::optional<RequestId>
requestIdFromText(std::string_view aText);

/** A fresh id from the system's random source. */
RequestId
randomRequestId();

/**
 * The id of every attempt under one idempotency key of one client account, at
 * whichever entry it arrives. A side's ledger thereby sees repeats as one
 * request.
 */
RequestId
requestIdForKey(std::string_view aAccount, std::string_view aKey);

} // namespace poplartrack

template<>
struct std::hash<poplartrack::RequestId>
{
  std::size_t operator()(const poplartrack::RequestId& aId) const noexcept
  {
    return aId.high ^ (aId.low * 0x9E3779B97F4A7C15ULL);
  }
};
