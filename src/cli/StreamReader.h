#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace poplartrack {

/**
 * Reads a streamed answer line by line. A stream is whole only when its end
 * line has come and counts exactly the tokens that came: a cut stream can
 * never pass for a whole answer.
 */
class StreamReader
{
public:
  /** Takes more bytes; gives the tokens that became complete. */
  std::vector<std::uint32_t> feed(std::string_view aBytes);

  [[nodiscard]] bool whole() const;
  [[nodiscard]] const std::vector<std::uint32_t>& tokens() const
  {
    return this->received;
  }
  /** The end line's facts, or the failure's. */
  [[nodiscard]] const nlohmann::json& last() const { return this->lastLine; }
  [[nodiscard]] bool failed() const { return this->hasFailed; }

private:
  void takeLine(const std::string& aLine, std::vector<std::uint32_t>& aFresh);

  std::string partial;
  std::vector<std::uint32_t> received;
  nlohmann::json lastLine;
  bool hasEnd = false;
  bool hasFailed = false;
  bool broken = false;
};

} // namespace poplartrack
