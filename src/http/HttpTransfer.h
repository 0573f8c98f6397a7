#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <curl/curl.h>

#include "HeldReplies.h"
#include "ReplyHead.h"
#include "poplartrack/http/HttpClient.h"

namespace poplartrack {

/** One call as a libcurl easy handle. */
class HttpTransfer
{
public:
  /** aHeld outlives the transfer, and belongs to its thread. */
  HttpTransfer(HttpCall aCall,
               HttpDone aDone,
               std::size_t aMaxBodyBytes,
               HeldReplies& aHeld);
  HttpTransfer(const HttpTransfer&) = delete;
  HttpTransfer& operator=(const HttpTransfer&) = delete;
  ~HttpTransfer();

  /** Sets the handle up. False when the call cannot be made at all; then
   * refusal() says why. */
  bool prepare();
  [[nodiscard]] const std::string& refusal() const { return this->problem; }
  [[nodiscard]] CURL* handle() const { return this->easy; }
  /** The transfer behind a handle. */
  static HttpTransfer* of(CURL* aEasy);

  /** Tells the caller how libcurl ended the transfer. */
  void end(CURLcode aCode);
  /** Tells the caller another end. */
  void end(CallOutcome aOutcome, std::string aDetail);

private:
  bool addHeaders();
  void setMethod();
  void setBounds();
  void setCallbacks();
  void countRawBytes();
  [[nodiscard]] long status() const;
  [[nodiscard]] std::optional<std::string> flawOfReply() const;
  /** Whether the reply says where its body ends, or can have none. */
  [[nodiscard]] bool statesBodyEnd() const;
  [[nodiscard]] bool isConnectRefused(CURLcode aCode) const;
  [[nodiscard]] CallOutcome outcomeOfFailure() const;
  [[nodiscard]] std::string detailOf(CURLcode aCode) const;
  bool takeHeader(std::string_view aLine);
  bool takeBytes(std::string_view aBytes);
  /** Adds to the body. Returns false if this reply is given up. */
  bool holdBytes(std::string_view aBytes);
  /** Drops what has arrived of the reply, which ends soon. */
  void giveUp();
  void forgetHeld();
  /** Whether too many bytes have come that are neither head nor body. */
  [[nodiscard]] bool hasTooMuchFraming() const;
  /** Records that the reply exceeds a limit. Returns false. */
  bool refuse(const char* aProblem);

  HttpCall call;
  HttpDone done;
  std::size_t maxBodyBytes;
  HeldReplies& heldReplies;
  ReplyHead head;
  std::size_t bodyBytes = 0;
  /** Bytes behind the head, of which body is only a part. */
  std::size_t rawBytes = 0;
  HttpResult result;
  /** The replies of the client hold too much, and this one is given up. */
  bool givenUp = false;
  /** heldReplies counts this one. */
  bool counted = false;
  std::string problem;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  std::array<char, CURL_ERROR_SIZE> errorText{};
};

} // namespace poplartrack
