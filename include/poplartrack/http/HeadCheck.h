#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace poplartrack {

/** Why bytes are not the head of an answer. */
enum class HeadFlaw : std::uint8_t
{
  None,
  /** It is no line "HTTP/1.x STATUS REASON". */
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
  /** The body is transferred in another way than in chunks, or has a length,
   * too. */
  TransferEncoding,
  /** It exceeds the limit of its reader. */
  TooLarge,
};

/** The texts of HeadFlaw, in its order, as they stand in details of errors. */
constexpr std::array<const char*, 9> kHeadFlawTexts{
  "",
  "the reply has no valid status line",
  "the reply's status is none of HTTP",
  "the name of a field of the reply is invalid",
  "the value of a field of the reply is invalid",
  "a line of the reply's head is folded",
  "the reply's length is invalid",
  "the reply's transfer coding is invalid",
  "the reply's head is over the limit",
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
 * Judges whether a head is that of an HTTP/1.1 answer, as RFC 9110 and RFC 9112
 * define it. All readers of answers ask it, whichever library parses for them:
 * each library takes some heads that are none, and their bytes would reach
 * callers as an answer.
 */
class HeadCheck
{
public:
  /** Begins a head. aVersion: 11 for HTTP/1.1. */
  HeadFlaw onStatus(int aVersion, int aStatus, std::string_view aReason);
  /** Takes a field whose value has no blanks around it. Fields after the head
   * are not to be passed here; see flawOfField(). */
  HeadFlaw onField(std::string_view aName, std::string_view aValue);

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
  bool chunked = false;
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
