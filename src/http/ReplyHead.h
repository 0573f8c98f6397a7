#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "poplartrack/http/HeadCheck.h"

namespace poplartrack {

/** The head of a reply, built from its lines as they arrive. Interim replies
 * come before it, and its trailers after it. */
class ReplyHead
{
public:
  /** Takes a line with its line end. Returns why the lines so far are not those
   * of a reply. */
  HeadFlaw take(std::string_view aLine);

  /** Whether the empty line that ends the head has arrived. */
  [[nodiscard]] bool isComplete() const
  {
    return this->place == Place::AfterHead;
  }
  /** Whether the head announces a body in chunks. */
  [[nodiscard]] bool isChunked() const { return this->check.isChunked(); }
  /** The length that the head announces for the body, in bytes. */
  [[nodiscard]] std::optional<std::uint64_t> contentLength() const
  {
    return this->check.contentLength();
  }
  /** Fields of the head and its trailers. Names are in lower case. */
  [[nodiscard]] const std::map<std::string, std::string>& fields() const
  {
    return this->values;
  }

private:
  /** What the next line is. */
  enum class Place : std::uint8_t
  {
    StatusLine,
    InHead,
    /** A trailer. */
    AfterHead,
  };

  HeadFlaw takeStatusLine(std::string_view aLine);
  HeadFlaw takeField(std::string_view aLine);
  void end();

  HeadCheck check;
  std::map<std::string, std::string> values;
  /** Bytes of all lines: of interim replies, the reply and its trailers. */
  std::size_t bytes = 0;
  Place place = Place::StatusLine;
};

} // namespace poplartrack
