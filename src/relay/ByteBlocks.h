#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace poplartrack {

/** A queue of bytes in blocks. Appending copies nothing that is held already,
 * so that a large message takes little more memory than its size. */
class ByteBlocks
{
public:
  ByteBlocks() = default;
  explicit ByteBlocks(std::string aBytes) { this->append(std::move(aBytes)); }

  void append(std::string_view aBytes);
  void append(std::string aBytes);
  void append(ByteBlocks aBytes);

  /** Number of bytes in the queue. */
  [[nodiscard]] std::size_t size() const { return this->total; }
  [[nodiscard]] bool empty() const { return this->total == 0; }
  /** Number of bytes in memory, those included that were consumed and are not
   * released yet. */
  [[nodiscard]] std::size_t held() const { return this->total + this->used; }
  /** Returns the first bytes, as many as lie together. Valid until the next
   * change. */
  [[nodiscard]] std::string_view front() const;

  /** Removes the first aCount bytes, at most those of front(). */
  void consume(std::size_t aCount);
  /** Removes all bytes and returns them in one string. */
  std::string takeJoined();
  void clear();

private:
  static constexpr std::size_t kBlockBytes = std::size_t{ 256 } * 1024;

  std::vector<std::string> blocks;
  /** Number of bytes that are not consumed. */
  std::size_t total = 0;
  /** Number of consumed bytes of the first block. */
  std::size_t used = 0;
};

} // namespace poplartrack
