#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <optional>
#include <span>
#include <string>
#include <utility>

namespace poplartrack {

/** A frame that is being written as the body of an HTTP/2 stream. */
class FrameSource
{
public:
  FrameSource() = default;
  explicit FrameSource(std::string aFrame)
    : frame(std::move(aFrame))
  {
  }

  /** Copies the next bytes; aQueued is the connection's count of queued bytes
   * before the DATA frame that will carry them. */
  std::size_t read(std::span<std::uint8_t> aRoom, std::uint64_t aQueued)
  {
    const std::size_t size =
      std::min(aRoom.size(), this->frame.size() - this->given);
    std::memcpy(aRoom.data(), this->frame.data() + this->given, size);
    this->given += size;
    if (this->given == this->frame.size()) {
      this->lastFrameAt = aQueued;
    }
    return size;
  }

  /** Returns whether the last bytes have been read. */
  [[nodiscard]] bool ended() const { return this->lastFrameAt.has_value(); }

  /** Whether a byte of the DATA frame that ends the stream can have reached
   * the peer, when the kernel has taken aSent bytes of the connection. */
  [[nodiscard]] bool endMayHaveLeft(std::uint64_t aSent) const
  {
    return this->lastFrameAt && aSent > *this->lastFrameAt;
  }

private:
  std::string frame;
  std::size_t given = 0;
  std::optional<std::uint64_t> lastFrameAt;
};

} // namespace poplartrack
