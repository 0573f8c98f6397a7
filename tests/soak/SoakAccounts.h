#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace poplartrack::soak {

/** A key of each client account. Without contention there is only the first
 * account. */
constexpr std::array<std::string_view, 4> kAccountKeys{ "key-1",
                                                        "key-3",
                                                        "key-4",
                                                        "key-5" };

/** The first accounts may flood the relays. The last one never has more than
 * one request at a time. */
constexpr std::size_t kFloodAccounts = kAccountKeys.size() - 1;
constexpr std::string_view kModestKey = kAccountKeys.back();

} // namespace poplartrack::soak
