#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "poplartrack/base/Result.h"

namespace poplartrack {

/** An IPv4 address and port; instances reach each other by IP numbers. */
struct Address
{
  std::string host;
  std::uint16_t port = 0;

  // The linter takes the zero that a defaulted <=> compares with for a null.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Address&, const Address&) = default;
};

/** "127.0.0.1:8080". */
std::string
toText(const Address& aAddress);

/** Parses "A.B.C.D:PORT"; BadSettings names what is wrong. */
Result<Address>
addressFromText(std::string_view aText);

} // namespace poplartrack
