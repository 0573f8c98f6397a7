#include "TomlGuard.h"

#include <string_view>

namespace poplartrack {
namespace {

constexpr unsigned char kFirstNonAscii = 0x80;

/** The kind of TOML string that the scan is inside of. */
enum class QuoteState : std::uint8_t
{
  None,
  Basic,
  Literal,
  MultiLineBasic,
  MultiLineLiteral,
};

bool
isMultiLine(QuoteState aState)
{
  return aState == QuoteState::MultiLineBasic ||
         aState == QuoteState::MultiLineLiteral;
}

std::string_view
closingDelimiter(QuoteState aState)
{
  switch (aState) {
    case QuoteState::Basic:
      return "\"";
    case QuoteState::Literal:
      return "'";
    case QuoteState::MultiLineBasic:
      return "\"\"\"";
    default:
      return "'''";
  }
}

/** Returns the kind of string that starts here; None if none does. */
QuoteState
stateAfterOpening(std::string_view aRest)
{
  if (aRest.starts_with("\"\"\"")) {
    return QuoteState::MultiLineBasic;
  }
  if (aRest.starts_with("'''")) {
    return QuoteState::MultiLineLiteral;
  }
  if (aRest.starts_with('"')) {
    return QuoteState::Basic;
  }
  return aRest.starts_with('\'') ? QuoteState::Literal : QuoteState::None;
}

/**
 * Scans one line and returns whether it has a non-ASCII byte outside of strings
 * and comments. aState carries multi-line strings from line to line.
 */
bool
hasUnquotedNonAscii(std::string_view aLine, QuoteState& aState)
{
  if (!isMultiLine(aState)) {
    aState = QuoteState::None;
  }
  std::size_t at = 0;
  while (at < aLine.size()) {
    const std::string_view rest = aLine.substr(at);
    if (aState == QuoteState::None) {
      if (rest.front() == '#') {
        return false;
      }
      if (static_cast<unsigned char>(rest.front()) >= kFirstNonAscii) {
        return true;
      }
      aState = stateAfterOpening(rest);
      at += aState == QuoteState::None ? 1 : closingDelimiter(aState).size();
      continue;
    }
    const bool hasEscapes =
      aState == QuoteState::Basic || aState == QuoteState::MultiLineBasic;
    if (hasEscapes && rest.front() == '\\') {
      at += 2;
    } else if (rest.starts_with(closingDelimiter(aState))) {
      at += closingDelimiter(aState).size();
      aState = QuoteState::None;
    } else {
      ++at;
    }
  }
  return false;
}

/** Returns whether a line starts with '[' or '[[' and no name follows. */
bool
isHeaderWithoutName(std::string_view aLine)
{
  constexpr std::string_view kWhitespace = " \t";
  constexpr std::string_view kNameStarts =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_\"'";
  auto at = aLine.find_first_not_of(kWhitespace);
  if (at == std::string_view::npos || aLine[at] != '[') {
    return false;
  }
  at = aLine.find_first_not_of(kWhitespace, at + 1);
  if (at != std::string_view::npos && aLine[at] == '[') {
    at = aLine.find_first_not_of(kWhitespace, at + 1);
  }
  return at == std::string_view::npos ||
         kNameStarts.find(aLine[at]) == std::string_view::npos;
}

/** Returns the length of the UTF-8 sequence at the start; 0 if invalid. */
std::size_t
utf8SequenceLength(std::string_view aText)
{
  const auto byte = [&](std::size_t aIndex) {
    return aIndex < aText.size() ? static_cast<unsigned char>(aText[aIndex])
                                 : 0U;
  };
  const auto isContinuation = [&](std::size_t aIndex) {
    return (byte(aIndex) & 0xC0U) == 0x80U;
  };
  const unsigned int first = byte(0);
  if (first < kFirstNonAscii) {
    return 1;
  }
  if (first >= 0xC2 && first <= 0xDF) {
    return isContinuation(1) ? 2 : 0;
  }
  if (first >= 0xE0 && first <= 0xEF) {
    const bool overlong = first == 0xE0 && byte(1) < 0xA0;
    const bool surrogate = first == 0xED && byte(1) > 0x9F;
    return isContinuation(1) && isContinuation(2) && !overlong && !surrogate
             ? 3
             : 0;
  }
  if (first >= 0xF0 && first <= 0xF4) {
    const bool overlong = first == 0xF0 && byte(1) < 0x90;
    const bool tooHigh = first == 0xF4 && byte(1) > 0x8F;
    return isContinuation(1) && isContinuation(2) && isContinuation(3) &&
               !overlong && !tooHigh
             ? 4
             : 0;
  }
  return 0;
}

bool
isUtf8(std::string_view aText)
{
  while (!aText.empty()) {
    const std::size_t length = utf8SequenceLength(aText);
    if (length == 0) {
      return false;
    }
    aText.remove_prefix(length);
  }
  return true;
}

} // namespace

std::optional<RejectedLine>
findRejectedLine(const std::vector<std::string>& aLines)
{
  QuoteState state = QuoteState::None;
  for (std::size_t i = 0; i < aLines.size(); ++i) {
    if (!isUtf8(aLines[i])) {
      return RejectedLine{ i, "the line is no UTF-8" };
    }
    const bool insideString = isMultiLine(state);
    if (hasUnquotedNonAscii(aLines[i], state)) {
      return RejectedLine{
        i, "letters beyond ASCII stand in quotes or comments only"
      };
    }
    if (!insideString && isHeaderWithoutName(aLines[i])) {
      return RejectedLine{ i, "a table header is [NAME]" };
    }
  }
  return std::nullopt;
}

} // namespace poplartrack
