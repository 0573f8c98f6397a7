#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

#include <boost/beast/http/basic_parser.hpp>

#include "ByteBlocks.h"
#include "poplartrack/http/HeadCheck.h"
#include "poplartrack/relay/HeaderList.h"

namespace poplartrack {

/** Why a message could not be parsed. */
enum class ParseProblem : std::uint8_t
{
  None,
  Malformed,
  HeadTooLarge,
  /** Too many bytes are neither head nor body: chunk sizes, chunk extensions,
   * trailers. */
  FramingTooLarge,
  BodyTooLarge,
  /** The body has a transfer coding that is not decoded. */
  UnknownCoding,
};

/** The start line and the header fields of a message. */
struct MessageHead
{
  /** Set for requests only. */
  std::string method;
  std::string target;
  /** Set for responses only. */
  int status = 0;
  std::string reason;
  /** HTTP version: 10 for HTTP/1.0, 11 for HTTP/1.1. */
  int version = 0;
  HeaderList headers;
};

/**
 * Incremental parser of one HTTP/1.1 message, based on Boost.Beast. All bytes
 * from callers and replicas pass through it. It rejects a message whose body
 * has no known end, or two: either could hide a second request in the body
 * (request smuggling). HeadCheck judges all heads, since Boost.Beast takes some
 * that are none.
 */
template<bool kIsRequest>
class MessageParser : public boost::beast::http::basic_parser<kIsRequest>
{
public:
  using ErrorCode = boost::beast::error_code;
  using Text = boost::beast::string_view;

  /** Limits are in bytes; for responses, a body limit of 0 means no limit. */
  MessageParser(std::size_t aHeadLimit, std::uint64_t aBodyLimit)
    : headLimit(aHeadLimit)
  {
    this->eager(true);
    constexpr std::size_t kLargest = std::numeric_limits<std::uint32_t>::max();
    this->header_limit(
      static_cast<std::uint32_t>(std::min(aHeadLimit, kLargest)));
    // With boost::none as the limit, Beast 1.74 rejects every body that has a
    // Content-Length: an empty optional compares less than any length.
    const bool isUnlimited = !kIsRequest && aBodyLimit == 0;
    this->body_limit(isUnlimited ? std::numeric_limits<std::uint64_t>::max()
                                 : aBodyLimit);
  }

  /** Parses aBytes up to the end of the message or an error. Returns the number
   * of bytes consumed. */
  std::size_t feed(std::string_view aBytes);
  /** Signals the end of the connection, which ends a body without a length. */
  void feedEnd();

  [[nodiscard]] ParseProblem problem() const { return this->parseProblem; }
  /** What is wrong with the head, where HeadCheck found it. */
  [[nodiscard]] HeadFlaw flaw() const { return this->headFlaw; }
  [[nodiscard]] const MessageHead& head() const { return this->parsedHead; }
  /** Returns and clears the body bytes parsed since the last call. */
  std::string takeBody() { return this->body.takeJoined(); }
  /** The same without joining the blocks of a large body. */
  ByteBlocks takeBodyBlocks() { return std::exchange(this->body, {}); }
  /** Number of body bytes that takeBody() would return. */
  [[nodiscard]] std::size_t unreadBytes() const { return this->body.size(); }
  /** Number of all body bytes so far. */
  [[nodiscard]] std::uint64_t bodyBytes() const { return this->bodyCount; }
  /** Number of all bytes so far, of which body is only a part. */
  [[nodiscard]] std::uint64_t consumedBytes() const { return this->consumed; }

private:
  void on_request_impl(boost::beast::http::verb,
                       Text aMethod,
                       Text aTarget,
                       int aVersion,
                       ErrorCode&) override
  {
    this->parsedHead.method.assign(aMethod.data(), aMethod.size());
    this->parsedHead.target.assign(aTarget.data(), aTarget.size());
    this->parsedHead.version = aVersion;
    this->check.onRequest(aVersion);
  }
  void on_response_impl(int aStatus,
                        Text aReason,
                        int aVersion,
                        ErrorCode& aError) override
  {
    this->parsedHead.status = aStatus;
    this->parsedHead.reason.assign(aReason.data(), aReason.size());
    this->parsedHead.version = aVersion;
    this->headFlaw =
      this->check.onStatus(aVersion, aStatus, this->parsedHead.reason);
    if (this->headFlaw != HeadFlaw::None) {
      aError = boost::beast::http::error::bad_status;
    }
  }
  void on_field_impl(boost::beast::http::field,
                     Text aName,
                     Text aValue,
                     ErrorCode& aError) override
  {
    if (this->headerDone) {
      return;
    }
    std::string name{ aName.data(), aName.size() };
    std::string value{ aValue.data(), aValue.size() };
    this->headFlaw = this->check.onField(name, value);
    if (this->headFlaw != HeadFlaw::None) {
      aError = boost::beast::http::error::bad_field;
    }
    this->parsedHead.headers.add(std::move(name), std::move(value));
  }
  void on_header_impl(ErrorCode& aError) override
  {
    this->headerDone = true;
    this->headFlaw = this->check.onEnd();
    if (this->headFlaw != HeadFlaw::None) {
      aError = boost::beast::http::error::bad_transfer_encoding;
    }
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         ErrorCode&) override
  {
  }
  std::size_t on_body_impl(Text aBody, ErrorCode&) override
  {
    return this->addBody(aBody);
  }
  void on_chunk_header_impl(std::uint64_t, Text, ErrorCode&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, Text aBody, ErrorCode&) override
  {
    return this->addBody(aBody);
  }
  void on_finish_impl(ErrorCode&) override {}

  std::size_t addBody(Text aBytes)
  {
    this->body.append(std::string_view{ aBytes.data(), aBytes.size() });
    this->bodyCount += aBytes.size();
    return aBytes.size();
  }
  /** Sets parseProblem unless the parser only needs more bytes. */
  void recordError(const ErrorCode& aError);
  /** Sets parseProblem if these lines of a head have one that continues
   * another. The base joins such lines. */
  void checkFolding(std::string_view aLines);
  /** Sets parseProblem if too many bytes are framing. aUnparsed: number of
   * bytes that the parser cannot consume yet. */
  void checkFraming(std::size_t aUnparsed);

  /** Framing that each byte of a body may have. A chunk of one byte takes five.
   */
  static constexpr std::uint64_t kMaxFramingPerByte = 8;

  std::size_t headLimit;
  MessageHead parsedHead;
  HeadCheck check;
  HeadFlaw headFlaw = HeadFlaw::None;
  ByteBlocks body;
  std::uint64_t bodyCount = 0;
  std::uint64_t consumed = 0;
  /** The header is complete; later fields are trailers and are dropped. */
  bool headerDone = false;
  ParseProblem parseProblem = ParseProblem::None;
};

template<bool kIsRequest>
void
MessageParser<kIsRequest>::recordError(const ErrorCode& aError)
{
  namespace http = boost::beast::http;
  if (!aError || aError == http::error::need_more) {
    return;
  }
  if (aError == http::error::header_limit) {
    this->parseProblem = ParseProblem::HeadTooLarge;
  } else if (aError == http::error::body_limit) {
    this->parseProblem = ParseProblem::BodyTooLarge;
  } else if (this->headFlaw == HeadFlaw::UnknownCoding) {
    this->parseProblem = ParseProblem::UnknownCoding;
  } else {
    this->parseProblem = ParseProblem::Malformed;
  }
}

template<bool kIsRequest>
std::size_t
MessageParser<kIsRequest>::feed(std::string_view aBytes)
{
  std::size_t taken = 0;
  while (taken < aBytes.size() && !this->is_done() &&
         this->parseProblem == ParseProblem::None) {
    ErrorCode error;
    const bool inHead = !this->headerDone;
    const std::string_view rest = aBytes.substr(taken);
    const std::size_t read =
      this->put(boost::asio::buffer(rest.data(), rest.size()), error);
    taken += read;
    this->recordError(error);
    if (inHead) {
      this->checkFolding(rest.substr(0, read));
    }
    if (error || read == 0) {
      break;
    }
  }
  this->consumed += taken;
  this->checkFraming(aBytes.size() - taken);
  return taken;
}

template<bool kIsRequest>
void
MessageParser<kIsRequest>::checkFolding(std::string_view aLines)
{
  if (this->parseProblem == ParseProblem::None && hasFoldedLine(aLines)) {
    this->headFlaw = HeadFlaw::FoldedLine;
    this->parseProblem = ParseProblem::Malformed;
  }
}

template<bool kIsRequest>
void
MessageParser<kIsRequest>::checkFraming(std::size_t aUnparsed)
{
  // A head and trailers, each of which may have the size of a head.
  const std::uint64_t allowed =
    2 * this->headLimit + kMaxFramingPerByte * this->bodyCount;
  const bool incompleteLine = !this->is_done() && aUnparsed > this->headLimit;
  if (this->parseProblem == ParseProblem::None &&
      (incompleteLine || this->consumed - this->bodyCount > allowed)) {
    this->parseProblem = ParseProblem::FramingTooLarge;
  }
}

template<bool kIsRequest>
void
MessageParser<kIsRequest>::feedEnd()
{
  ErrorCode error;
  this->put_eof(error);
  if (error) {
    this->parseProblem = ParseProblem::Malformed;
  }
}

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

/** Returns the length of the body that the head announces; 0 if none. */
template<bool kIsRequest>
std::uint64_t
announcedBytes(const MessageParser<kIsRequest>& aParser)
{
  return aParser.is_header_done() ? aParser.content_length().value_or(0) : 0;
}

} // namespace poplartrack
