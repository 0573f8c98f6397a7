#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplartrack {

/** What a configuration says of client accounts. */
enum class AccountList : std::uint8_t
{
  /** It declares no accounts: no request needs a key. */
  Absent,
  /** It declares accounts, maybe none or without keys, and all were read. */
  Complete,
  /** It declares accounts, but some of them or of their keys cannot be read. An
   * unknown key may be one of those. */
  Partial,
};

constexpr std::array<std::string_view, 3> kAccountListNames{ "absent",
                                                             "complete",
                                                             "partial" };
static_assert(kAccountListNames.size() ==
              static_cast<std::size_t>(AccountList::Partial) + 1);

/** Returns the name of a value, for logs. */
constexpr std::string_view
nameOf(AccountList aList)
{
  return kAccountListNames[static_cast<std::size_t>(aList)];
}

} // namespace poplartrack
