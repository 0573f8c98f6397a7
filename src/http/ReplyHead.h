#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace poplartrack {

/** The head of a reply, built from its lines as they arrive. Interim replies
 * come before it, and its trailers after it. */
class ReplyHead
{
public:
  /** Takes a line with its line end. Returns false if the lines so far exceed
   * the limit. */
  bool take(std::string_view aLine);

  /** Whether the empty line that ends the head has arrived. */
  [[nodiscard]] bool isComplete() const { return this->ended; }
  /** Whether the head announces a body in chunks. */
  [[nodiscard]] bool isChunked() const { return this->chunked; }
  /** Fields of the head and its trailers. Names are in lower case. */
  [[nodiscard]] const std::map<std::string, std::string>& fields() const
  {
    return this->values;
  }

private:
  void restart();
  void end();

  std::map<std::string, std::string> values;
  /** Bytes of all lines: of interim replies, the reply and its trailers. */
  std::size_t bytes = 0;
  bool ended = false;
  bool chunked = false;
};

} // namespace poplartrack
