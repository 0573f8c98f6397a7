#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace poplartrack {

/** Bytes that are queued for a socket, with counts of all that were queued and
 * all that the kernel has accepted: a call whose last bytes are beyond the
 * second count has certainly not been sent. */
class SendBuffer
{
public:
  enum class State : std::uint8_t
  {
    Empty,
    /** The kernel accepts no more for now. */
    Blocked,
    /** The connection is closed. */
    Broken,
  };

  void append(std::string_view aBytes);
  /** Writes as much as the kernel accepts. */
  State flush(int aFd);

  [[nodiscard]] std::size_t pending() const
  {
    return this->bytes.size() - this->offset;
  }
  [[nodiscard]] std::uint64_t queuedBytes() const
  {
    return this->sent + this->pending();
  }
  [[nodiscard]] std::uint64_t sentBytes() const { return this->sent; }

private:
  std::string bytes;
  std::size_t offset = 0;
  std::uint64_t sent = 0;
};

} // namespace poplartrack
