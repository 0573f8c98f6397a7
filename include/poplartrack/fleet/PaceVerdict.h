#pragma once

#include <cstdint>

namespace poplartrack {

/** What becomes of a request that the pace gate holds back. */
enum class PaceVerdict : std::uint8_t
{
  Wait,
  Refuse,
};

} // namespace poplartrack
