#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/basic_parser.hpp>

#include "poplartrack/relay/HeaderList.h"

namespace poplartrack {

/** Why a message could not be read. */
enum class ParseProblem : std::uint8_t
{
  None,
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
};

/** What the first line and the headers of a message said. */
struct MessageHead
{
  /** Requests only. */
  std::string method;
  std::string target;
  /** Responses only. */
  int status = 0;
  std::string reason;
  /** 10 or 11. */
  int version = 0;
  HeaderList headers;
};

/**
 * Reads one HTTP/1.1 message from bytes as they come, through Boost.Beast's
 * parser: it is the only reader of bytes from callers and replicas. It refuses
 * a length beside chunks, and lengths that differ, with which a second request
 * could be hidden in a body.
 */
template<bool kIsRequest>
class MessageParser : public boost::beast::http::basic_parser<kIsRequest>
{
public:
  using ErrorCode = boost::beast::error_code;
  using Text = boost::beast::string_view;

  /** A limit of 0 on the body: none. */
  MessageParser(std::size_t aHeadLimit, std::uint64_t aBodyLimit)
  {
    this->eager(true);
    this->header_limit(static_cast<std::uint32_t>(aHeadLimit));
    // Without a limit Beast 1.74 refuses every body that names its length: it
    // compares the length with an empty optional, which is less than any.
    this->body_limit(aBodyLimit == 0 ? std::numeric_limits<std::uint64_t>::max()
                                     : aBodyLimit);
  }

  /** Reads what it can of aBytes; gives how many were taken. */
  std::size_t feed(std::string_view aBytes);
  /** The connection has ended; some bodies end with it. */
  void feedEnd();

  [[nodiscard]] ParseProblem problem() const { return this->failure; }
  [[nodiscard]] const MessageHead& head() const { return this->message; }
  /** Body bytes that were read since the last call. */
  std::string takeBody() { return std::exchange(this->body, {}); }
  [[nodiscard]] const std::string& unread() const { return this->body; }

private:
  void on_request_impl(boost::beast::http::verb,
                       Text aMethod,
                       Text aTarget,
                       int aVersion,
                       ErrorCode&) override
  {
    this->message.method.assign(aMethod.data(), aMethod.size());
    this->message.target.assign(aTarget.data(), aTarget.size());
    this->message.version = aVersion;
  }
  void on_response_impl(int aStatus,
                        Text aReason,
                        int aVersion,
                        ErrorCode&) override
  {
    this->message.status = aStatus;
    this->message.reason.assign(aReason.data(), aReason.size());
    this->message.version = aVersion;
  }
  void on_field_impl(boost::beast::http::field,
                     Text aName,
                     Text aValue,
                     ErrorCode&) override
  {
    if (!this->headed) {
      this->message.headers.add(std::string{ aName.data(), aName.size() },
                                std::string{ aValue.data(), aValue.size() });
    }
  }
  void on_header_impl(ErrorCode&) override { this->headed = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         ErrorCode&) override
  {
  }
  std::size_t on_body_impl(Text aBody, ErrorCode&) override
  {
    this->body.append(aBody.data(), aBody.size());
    return aBody.size();
  }
  void on_chunk_header_impl(std::uint64_t, Text, ErrorCode&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, Text aBody, ErrorCode&) override
  {
    this->body.append(aBody.data(), aBody.size());
    return aBody.size();
  }
  void on_finish_impl(ErrorCode&) override {}

  void note(const ErrorCode& aError);

  MessageHead message;
  std::string body;
  bool headed = false;
  ParseProblem failure = ParseProblem::None;
};

template<bool kIsRequest>
void
MessageParser<kIsRequest>::note(const ErrorCode& aError)
{
  namespace http = boost::beast::http;
  if (!aError || aError == http::error::need_more) {
    return;
  }
  if (aError == http::error::header_limit) {
    this->failure = ParseProblem::HeadTooLarge;
  } else if (aError == http::error::body_limit) {
    this->failure = ParseProblem::BodyTooLarge;
  } else {
    this->failure = ParseProblem::Malformed;
  }
}

template<bool kIsRequest>
std::size_t
MessageParser<kIsRequest>::feed(std::string_view aBytes)
{
  std::size_t taken = 0;
  while (taken < aBytes.size() && !this->is_done() &&
         this->failure == ParseProblem::None) {
    ErrorCode error;
    const std::size_t read = this->put(
      boost::asio::buffer(aBytes.data() + taken, aBytes.size() - taken), error);
    taken += read;
    this->note(error);
    if (error || read == 0) {
      break;
    }
  }
  return taken;
}

template<bool kIsRequest>
void
MessageParser<kIsRequest>::feedEnd()
{
  ErrorCode error;
  this->put_eof(error);
  if (error) {
    this->failure = ParseProblem::Malformed;
  }
}

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

} // namespace poplartrack
