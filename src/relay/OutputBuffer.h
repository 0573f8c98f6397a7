#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace poplartrack {

/** Bytes that wait for a socket to accept them. */
class OutputBuffer
{
public:
  void append(std::string aBytes)
  {
    if (this->empty()) {
      this->bytes = std::move(aBytes);
      this->sent = 0;
      return;
    }
    this->bytes.append(aBytes);
  }
  [[nodiscard]] std::string_view unsent() const
  {
    return std::string_view{ this->bytes }.substr(this->sent);
  }
  [[nodiscard]] bool empty() const { return this->sent == this->bytes.size(); }
  /** Number of bytes in memory, those that were sent included. */
  [[nodiscard]] std::size_t held() const { return this->bytes.size(); }
  /** Drops the first aCount of the unsent bytes. Memory is released in large
   * steps: moving the rest of a large answer for each write would take longer
   * than writing it. */
  void consume(std::size_t aCount)
  {
    this->sent += aCount;
    if (this->empty()) {
      this->clear();
    } else if (this->sent >= kMinRelease &&
               this->sent >= this->bytes.size() / 2) {
      this->bytes = this->bytes.substr(this->sent);
      this->sent = 0;
    }
  }
  void clear()
  {
    this->bytes = {};
    this->sent = 0;
  }

private:
  static constexpr std::size_t kMinRelease = std::size_t{ 64 } * 1024;

  std::string bytes;
  /** How many of the bytes were sent. */
  std::size_t sent = 0;
};

} // namespace poplartrack
