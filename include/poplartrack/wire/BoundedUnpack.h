#pragma once

#include <cstddef>
#include <string_view>

#include <msgpack.hpp>

namespace poplartrack {

/** Deepest nesting of any message between the system's own processes. */
constexpr std::size_t kMaxMessageDepth = 16;

/** Unpacks the MessagePack object that begins at a position and moves the
 * position behind it. Throws what the library throws if the object is cut off,
 * is nested too deep, or claims more elements than the bytes could hold. */
inline msgpack::object_handle
unpackBounded(std::string_view aBytes, std::size_t& aAt)
{
  // Five bytes can claim an array of four billion elements, for which the
  // library would reserve memory before it reads on. An element takes at least
  // one byte, so no valid array, map or string is longer than the bytes.
  const std::size_t most = aBytes.size();
  return msgpack::unpack(aBytes.data(),
                         aBytes.size(),
                         aAt,
                         nullptr,
                         nullptr,
                         { most, most, most, most, most, kMaxMessageDepth });
}

} // namespace poplartrack
