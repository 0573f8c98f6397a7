#include "poplartrack/http/HeadCheck.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <limits>

#include "HeaderText.h"

namespace poplartrack {
namespace {

constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kLastStatus = 599;

constexpr int kHttp10 = 10;
constexpr int kHttp11 = 11;

bool
isControl(char aCharacter)
{
  constexpr char kDelete = '\x7f';
  constexpr unsigned char kFirstPrinted = 0x20;
  return (static_cast<unsigned char>(aCharacter) < kFirstPrinted &&
          aCharacter != '\t') ||
         aCharacter == kDelete;
}

bool
hasControl(std::string_view aText)
{
  return std::any_of(aText.begin(), aText.end(), isControl);
}

/** Returns a number that is written in digits alone and fits a signed 64-bit
 * integer, which the libraries count bodies in. */
std::optional<std::uint64_t>
parseDigits(std::string_view aText)
{
  constexpr std::uint64_t kMost = std::numeric_limits<std::int64_t>::max();
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc{} || stop != end || number > kMost) {
    return std::nullopt;
  }
  return number;
}

} // namespace

HeadFlaw
HeadCheck::onStatus(int aVersion, int aStatus, std::string_view aReason)
{
  *this = HeadCheck{};
  this->version = aVersion;
  this->parsedStatus = aStatus;
  if ((aVersion != kHttp10 && aVersion != kHttp11) || hasControl(aReason)) {
    return HeadFlaw::StatusLine;
  }
  const bool isStatus = aStatus >= kFirstStatus && aStatus <= kLastStatus &&
                        aStatus != kSwitchingProtocols;
  return isStatus ? HeadFlaw::None : HeadFlaw::Status;
}

void
HeadCheck::onRequest(int aVersion)
{
  *this = HeadCheck{};
  this->version = aVersion;
  this->isRequest = true;
}

HeadFlaw
HeadCheck::onField(std::string_view aName, std::string_view aValue)
{
  if (const HeadFlaw flaw = flawOfField(aName, aValue);
      flaw != HeadFlaw::None) {
    return flaw;
  }
  if (equalsIgnoringCase(aName, "content-length")) {
    return this->onLength(aValue);
  }
  if (equalsIgnoringCase(aName, "transfer-encoding")) {
    return this->onCoding(aValue);
  }
  return HeadFlaw::None;
}

/** Takes the length of the body. The same number may stand there more than
 * once. */
HeadFlaw
HeadCheck::onLength(std::string_view aValue)
{
  std::string_view rest = aValue;
  while (true) {
    const std::size_t comma = rest.find(',');
    const auto number = parseDigits(trimBlanks(rest.substr(0, comma)));
    if (!number || this->length.value_or(*number) != *number) {
      return HeadFlaw::ContentLength;
    }
    this->length = number;
    if (comma == std::string_view::npos) {
      break;
    }
    rest.remove_prefix(comma + 1);
  }
  return this->chunked ? HeadFlaw::TransferEncoding : HeadFlaw::None;
}

/** Takes transfer codings. Those of a request are judged together at its end.
 * An answer may have none but chunks: no request asks for another one, and
 * whoever passes the body on would leave the other one on it. */
HeadFlaw
HeadCheck::onCoding(std::string_view aValue)
{
  if (this->isRequest) {
    this->chunked = true;
    std::string_view rest = aValue;
    while (true) {
      const std::size_t comma = rest.find(',');
      this->codings.emplace_back(trimBlanks(rest.substr(0, comma)));
      if (comma == std::string_view::npos) {
        return HeadFlaw::None;
      }
      rest.remove_prefix(comma + 1);
    }
  }
  const bool isValid = this->version == kHttp11 && !this->chunked &&
                       !this->length && equalsIgnoringCase(aValue, "chunked");
  this->chunked = true;
  return isValid ? HeadFlaw::None : HeadFlaw::TransferEncoding;
}

HeadFlaw
HeadCheck::onEnd() const
{
  if (this->codings.empty()) {
    return HeadFlaw::None;
  }
  const auto isChunks = [](const std::string& aCoding) {
    return equalsIgnoringCase(aCoding, "chunked");
  };
  const auto isCoding = [](std::string_view aCoding) {
    return isToken(trimBlanks(aCoding.substr(0, aCoding.find(';'))));
  };
  const auto last = std::prev(this->codings.end());
  const bool hasEnd = this->version == kHttp11 && !this->length &&
                      isChunks(*last) &&
                      std::none_of(this->codings.begin(), last, isChunks) &&
                      std::all_of(this->codings.begin(), last, isCoding);
  if (!hasEnd) {
    return HeadFlaw::TransferEncoding;
  }
  return this->codings.size() == 1 ? HeadFlaw::None : HeadFlaw::UnknownCoding;
}

HeadFlaw
checkStatusLine(HeadCheck& aCheck, std::string_view aLine)
{
  constexpr std::string_view kStart = "HTTP/1.";
  constexpr std::size_t kVersionEnd = kStart.size() + 1;
  constexpr std::size_t kStatusAt = kVersionEnd + 1;
  constexpr std::size_t kStatusEnd = kStatusAt + 3;
  if (!aLine.starts_with(kStart) || aLine.size() < kStatusEnd ||
      aLine[kVersionEnd] != ' ' ||
      (aLine.size() > kStatusEnd && aLine[kStatusEnd] != ' ')) {
    return HeadFlaw::StatusLine;
  }
  const auto minor = parseDigits(aLine.substr(kStart.size(), 1));
  const auto status =
    parseDigits(aLine.substr(kStatusAt, kStatusEnd - kStatusAt));
  if (!minor || !status) {
    return HeadFlaw::StatusLine;
  }
  return aCheck.onStatus(kHttp10 + static_cast<int>(*minor),
                         static_cast<int>(*status),
                         aLine.substr(kStatusEnd));
}

HeadFlaw
flawOfField(std::string_view aName, std::string_view aValue)
{
  if (!isToken(aName)) {
    return HeadFlaw::FieldName;
  }
  return hasControl(aValue) ? HeadFlaw::FieldValue : HeadFlaw::None;
}

bool
hasFoldedLine(std::string_view aLines)
{
  std::string_view rest = aLines;
  while (!rest.empty() && !rest.starts_with("\r\n")) {
    if (isBlank(rest.front())) {
      return true;
    }
    const std::size_t end = rest.find('\n');
    if (end == std::string_view::npos) {
      return false;
    }
    rest.remove_prefix(end + 1);
  }
  return false;
}

} // namespace poplartrack
