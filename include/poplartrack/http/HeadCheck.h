#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplartrack {

/** Why bytes are not the head of a request or of an answer. */
enum class HeadFlaw : std::uint8_t
{
  None,
  /** It is no line "HTTP/1.x STATUS REASON", or another version of HTTP. */
  StatusLine,
  /** The status is outside 100 to 599, or 101: nobody asks for a change of the
   * protocol. */
  Status,
  /** The name of a field is empty, or has a character that no name may have,
   * such as a blank. */
  FieldName,
  /** The value of a field has a control character. */
  FieldValue,
  /** A line continues the one before it. */
  FoldedLine,
  /** The length of the body is no number, or there are several. */
  ContentLength,
  /** The transfer codings don't end with one of chunks, so nothing tells where
   * the body ends; or it has a length, too. */
  TransferEncoding,
  /** The body of a request comes in chunks, under a coding that is not decoded.
   */
  UnknownCoding,
  /** It exceeds the limit of its reader. */
  TooLarge,
};

/** The texts of HeadFlaw, in its order, as they stand in details of errors. */
constexpr std::array<const char*, 10> kHeadFlawTexts{
  "",
  "the first line is invalid",
  "the status is none of HTTP",
  "the name of a field is invalid",
  "the value of a field is invalid",
  "a line of the head is folded",
  "the length of the body is invalid",
  "the transfer coding is invalid",
  "the transfer coding is unknown",
  "the head is over the limit",
};
static_assert(kHeadFlawTexts.size() ==
              static_cast<std::size_t>(HeadFlaw::TooLarge) + 1);

/** Returns the text of a flaw; empty for None. */
constexpr const char*
textOf(HeadFlaw aFlaw)
{
  return kHeadFlawTexts[static_cast<std::size_t>(aFlaw)];
}

/**
 * Judges whether a head is that of an HTTP/1.1 request or answer, as RFC 9110
 * and RFC 9112 define it. All readers ask it, whichever library parses for
 * them: each library takes some heads that are none. The bytes of such an
 * answer would reach callers; the body of such a request could be taken for the
 * next one.
 */
class HeadCheck
{
public:
  /** Begins the head of an answer. aVersion: 11 for HTTP/1.1. */
  HeadFlaw onStatus(int aVersion, int aStatus, std::string_view aReason);
  /** Begins the head of a request. */
  void onRequest(int aVersion);
  /** Takes a field whose value has no blanks around it. Fields after the head
   * are not to be passed here; see flawOfField(). */
  HeadFlaw onField(std::string_view aName, std::string_view aValue);
  /** Ends the head: judges what only all of its fields show. */
  [[nodiscard]] HeadFlaw onEnd() const;

  [[nodiscard]] int status() const { return this->parsedStatus; }
  /** Whether the body comes in chunks. */
  [[nodiscard]] bool isChunked() const { return this->chunked; }
  /** The length that the head announces for the body, in bytes. */
  [[nodiscard]] std::optional<std::uint64_t> contentLength() const
  {
    return this->length;
  }

private:
  HeadFlaw onLength(std::string_view aValue);
  HeadFlaw onCoding(std::string_view aValue);

  int version = 0;
  int parsedStatus = 0;
  bool isRequest = false;
  bool chunked = false;
  /** The transfer codings of a request, in their order. */
  std::vector<std::string> codings;
  std::optional<std::uint64_t> length;
};

/** Judges a status line without its line end, and begins the head with it. */
HeadFlaw
checkStatusLine(HeadCheck& aCheck, std::string_view aLine);

/** Judges the name and the value of a field of a head, or after a body. */
HeadFlaw
flawOfField(std::string_view aName, std::string_view aValue);

/** Whether one of these lines of a head continues the one before it. The bytes
 * begin with a line; what follows the empty line is no head. */
bool
hasFoldedLine(std::string_view aLines);

} // namespace poplartrack
