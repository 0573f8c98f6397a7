#pragma once

#include <cstdint>

namespace poplartrack {

/** Whether the body of a reply must state where it ends, by a length or by
 * chunks. A body without either ends with its connection, and looks the same
 * when its sender stopped in the middle. */
enum class BodyFraming : std::uint8_t
{
  /** A body that ends with its connection does not count as received. */
  Required,
  /** A body that ends with its connection counts as whole unless the
   * connection was reset. */
  Optional
};

} // namespace poplartrack
