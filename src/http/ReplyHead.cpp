#include "ReplyHead.h"

#include "LowerCase.h"

namespace poplartrack {
namespace {

/** Most bytes of header lines of a reply, with interim replies and trailers. */
constexpr std::size_t kMaxHeadBytes = std::size_t{ 64 } * 1024;

std::string_view
trim(std::string_view aText)
{
  constexpr std::string_view kBlanks = " \t\r\n";
  const std::size_t first = aText.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kBlanks) - first + 1);
}

} // namespace

bool
ReplyHead::take(std::string_view aLine)
{
  this->bytes += aLine.size();
  if (this->bytes > kMaxHeadBytes) {
    return false;
  }
  if (aLine.starts_with("HTTP/")) {
    // A new status line, as after "100 Continue".
    this->restart();
    return true;
  }
  if (aLine == "\r\n" || aLine == "\n") {
    this->end();
    return true;
  }
  const std::size_t colon = aLine.find(':');
  if (colon != std::string_view::npos) {
    this->values[lowerCase(aLine.substr(0, colon))] =
      std::string{ trim(aLine.substr(colon + 1)) };
  }
  return true;
}

void
ReplyHead::restart()
{
  this->values.clear();
  this->ended = false;
  this->chunked = false;
}

void
ReplyHead::end()
{
  if (this->ended) {
    return;
  }
  this->ended = true;
  const auto coding = this->values.find("transfer-encoding");
  this->chunked =
    coding != this->values.end() &&
    lowerCase(coding->second).find("chunked") != std::string::npos;
}

} // namespace poplartrack
