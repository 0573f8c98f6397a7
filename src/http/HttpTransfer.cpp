#include "HttpTransfer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <utility>

#include "HeaderText.h"
#include "LowerCase.h"

namespace poplartrack {
namespace {

/** Most bytes of chunk sizes and chunk extensions, and how many more each byte
 * of the body allows. A chunk of one byte takes five. */
constexpr std::size_t kMaxFramingBytes = std::size_t{ 64 } * 1024;
constexpr std::size_t kMaxFramingPerByte = 8;

/** libcurl takes 0 for "no limit", so a shorter time is made one. */
long
wholeMillis(Duration aDuration)
{
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(aDuration);
  return std::max<long>(static_cast<long>(millis.count()), 1);
}

/** Bounds how long a connection may leave bytes and keep-alive probes without
 * an answer; the kernel's own bound is minutes. */
int
boundSilence(void*, curl_socket_t aSocket, curlsocktype)
{
  constexpr int kMostSilenceMs = 2'000;
  ::setsockopt(aSocket,
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &kMostSilenceMs,
               sizeof kMostSilenceMs);
  return CURL_SOCKOPT_OK;
}

} // namespace

HttpTransfer::HttpTransfer(HttpCall aCall,
                           HttpDone aDone,
                           std::size_t aMaxBodyBytes,
                           HeldReplies& aHeld)
  : call(std::move(aCall))
  , done(std::move(aDone))
  , maxBodyBytes(this->call.maxBodyBytes == 0 ? aMaxBodyBytes
                                              : this->call.maxBodyBytes)
  , heldReplies(aHeld)
{
}

HttpTransfer::~HttpTransfer()
{
  this->forgetHeld();
  if (this->easy != nullptr) {
    curl_easy_cleanup(this->easy);
  }
  curl_slist_free_all(this->headers);
}

HttpTransfer*
HttpTransfer::of(CURL* aEasy)
{
  HttpTransfer* transfer = nullptr;
  curl_easy_getinfo(aEasy, CURLINFO_PRIVATE, &transfer);
  return transfer;
}

bool
HttpTransfer::prepare()
{
  if (!isToken(this->call.method)) {
    this->problem = "the method is no HTTP method";
    return false;
  }
  if (!this->addHeaders()) {
    return false;
  }
  this->easy = curl_easy_init();
  if (this->easy == nullptr) {
    this->problem = "libcurl gives no handle";
    return false;
  }
  curl_easy_setopt(this->easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(this->easy, CURLOPT_URL, this->call.url.c_str());
  curl_easy_setopt(this->easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(
    this->easy, CURLOPT_HTTP_VERSION, long{ CURL_HTTP_VERSION_1_1 });
  // Instances reach each other directly, whatever the environment says.
  curl_easy_setopt(this->easy, CURLOPT_PROXY, "");
  curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(this->easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(this->easy, CURLOPT_HTTPHEADER, this->headers);
  this->setMethod();
  this->setBounds();
  this->setCallbacks();
  return true;
}

bool
HttpTransfer::addHeaders()
{
  const auto add = [this](const std::string& aLine) {
    this->headers = curl_slist_append(this->headers, aLine.c_str());
  };
  // libcurl would wait a second for "100 Continue" before a large body, and
  // would send the request again after 417.
  add("Expect:");
  bool hasType = false;
  for (const auto& [name, value] : this->call.headers) {
    if (!isToken(name) || value.find_first_of("\r\n") != std::string::npos) {
      this->problem = "a header is no HTTP header";
      return false;
    }
    hasType = hasType || lowerCase(name) == "content-type";
    // libcurl's way to write a header without a value.
    std::string line = name;
    line += value.empty() ? ";" : ": ";
    line += value;
    add(line);
  }
  if (!hasType) {
    add("Content-Type:");
  }
  return true;
}

void
HttpTransfer::setMethod()
{
  const bool carriesBody = !this->call.body.empty() ||
                           this->call.method == "POST" ||
                           this->call.method == "PUT";
  if (carriesBody) {
    curl_easy_setopt(this->easy, CURLOPT_POST, 1L);
    curl_easy_setopt(this->easy,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(this->call.body.size()));
    curl_easy_setopt(this->easy, CURLOPT_POSTFIELDS, this->call.body.c_str());
  }
  if (this->call.method == "HEAD") {
    curl_easy_setopt(this->easy, CURLOPT_NOBODY, 1L);
    return;
  }
  curl_easy_setopt(
    this->easy, CURLOPT_CUSTOMREQUEST, this->call.method.c_str());
}

void
HttpTransfer::setBounds()
{
  curl_easy_setopt(
    this->easy, CURLOPT_TIMEOUT_MS, wholeMillis(this->call.timeout));
  // A connection may fall silent for good, without a reset, and a long poll on
  // it would hang until its own end, ten seconds later.
  constexpr long kProbeAfterSeconds = 1;
  curl_easy_setopt(this->easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(this->easy, CURLOPT_TCP_KEEPIDLE, kProbeAfterSeconds);
  curl_easy_setopt(this->easy, CURLOPT_TCP_KEEPINTVL, kProbeAfterSeconds);
  curl_easy_setopt(this->easy, CURLOPT_SOCKOPTFUNCTION, boundSilence);
  curl_easy_setopt(this->easy,
                   CURLOPT_CONNECTTIMEOUT_MS,
                   wholeMillis(this->call.connectTimeout));
  if (this->call.freshConnection) {
    curl_easy_setopt(this->easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(this->easy, CURLOPT_FORBID_REUSE, 1L);
  }
}

void
HttpTransfer::setCallbacks()
{
  using Writer = std::size_t (*)(char*, std::size_t, std::size_t, void*);
  const Writer onHeader =
    [](char* aData, std::size_t, std::size_t aSize, void* aSelf) {
      const bool taken =
        static_cast<HttpTransfer*>(aSelf)->takeHeader({ aData, aSize });
      return taken ? aSize : std::size_t{ 0 };
    };
  const Writer onBody =
    [](char* aData, std::size_t, std::size_t aSize, void* aSelf) {
      const bool taken =
        static_cast<HttpTransfer*>(aSelf)->takeBytes({ aData, aSize });
      return taken ? aSize : std::size_t{ CURL_WRITEFUNC_ERROR };
    };
  curl_easy_setopt(this->easy, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(this->easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(this->easy, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(this->easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(this->easy, CURLOPT_ERRORBUFFER, this->errorText.data());
  this->countRawBytes();
}

/** Bounds chunk extensions, which libcurl reads and drops without a limit. Only
 * its debug output shows them. */
void
HttpTransfer::countRawBytes()
{
  using Debug = int (*)(CURL*, curl_infotype, char*, std::size_t, void*);
  using Progress =
    int (*)(void*, curl_off_t, curl_off_t, curl_off_t, curl_off_t);
  const Debug onDebug =
    [](CURL*, curl_infotype aType, char*, std::size_t aSize, void* aSelf) {
      if (aType == CURLINFO_DATA_IN) {
        static_cast<HttpTransfer*>(aSelf)->rawBytes += aSize;
      }
      return 0;
    };
  const Progress onProgress =
    [](void* aSelf, curl_off_t, curl_off_t, curl_off_t, curl_off_t) {
      auto* self = static_cast<HttpTransfer*>(aSelf);
      if (self->hasTooMuchFraming()) {
        self->refuse("the reply's framing is over the limit");
        return 1;
      }
      return self->givenUp ? 1 : 0;
    };
  curl_easy_setopt(this->easy, CURLOPT_VERBOSE, 1L);
  curl_easy_setopt(this->easy, CURLOPT_DEBUGFUNCTION, onDebug);
  curl_easy_setopt(this->easy, CURLOPT_DEBUGDATA, this);
  curl_easy_setopt(this->easy, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(this->easy, CURLOPT_XFERINFOFUNCTION, onProgress);
  curl_easy_setopt(this->easy, CURLOPT_XFERINFODATA, this);
}

bool
HttpTransfer::hasTooMuchFraming() const
{
  return this->rawBytes >
         kMaxFramingBytes + (1 + kMaxFramingPerByte) * this->bodyBytes;
}

bool
HttpTransfer::refuse(const char* aProblem)
{
  this->problem = aProblem;
  this->result.overLimit = true;
  return false;
}

bool
HttpTransfer::takeHeader(std::string_view aLine)
{
  const HeadFlaw flaw = this->head.take(aLine);
  if (flaw == HeadFlaw::None) {
    return true;
  }
  this->problem = textOf(flaw);
  this->result.overLimit = flaw == HeadFlaw::TooLarge;
  return false;
}

bool
HttpTransfer::takeBytes(std::string_view aBytes)
{
  this->bodyBytes += aBytes.size();
  if (this->call.onBytes) {
    if (this->call.onBytes(aBytes)) {
      return true;
    }
    this->problem = "cancelled by the caller";
    return false;
  }
  if (this->result.body.size() + aBytes.size() > this->maxBodyBytes) {
    return this->refuse("the reply's body is over the limit");
  }
  return this->holdBytes(aBytes);
}

bool
HttpTransfer::holdBytes(std::string_view aBytes)
{
  if (this->givenUp) {
    return false;
  }
  this->result.body += aBytes;
  this->counted = true;
  HttpTransfer* excess =
    this->heldReplies.update(*this, this->result.body.capacity());
  if (excess != nullptr) {
    excess->giveUp();
  }
  return !this->givenUp;
}

void
HttpTransfer::giveUp()
{
  this->givenUp = true;
  this->refuse("the replies hold too much memory together");
  this->result.body = std::string{};
  this->forgetHeld();
}

/** A transfer that never began may be destroyed on the thread of its caller,
 * which must not touch what the client's thread counts. */
void
HttpTransfer::forgetHeld()
{
  if (std::exchange(this->counted, false)) {
    this->heldReplies.remove(*this);
  }
}

/** Returns why a reply that libcurl takes for a success is not whole; nullopt
 * if it is. */
std::optional<std::string>
HttpTransfer::flawOfReply() const
{
  // libcurl takes the close of a connection for the end of the head.
  if (!this->head.isComplete()) {
    return "the connection was closed within the reply's head";
  }
  if (this->call.framing == BodyFraming::Required && !this->statesBodyEnd()) {
    return "the reply's body has neither a length nor chunks";
  }
  return std::nullopt;
}

bool
HttpTransfer::statesBodyEnd() const
{
  constexpr long kNoContent = 204;
  constexpr long kNotModified = 304;
  const long status = this->status();
  if (this->call.method == "HEAD" || status == kNoContent ||
      status == kNotModified) {
    return true;
  }
  return this->head.isChunked() || this->head.contentLength();
}

long
HttpTransfer::status() const
{
  long status = 0;
  curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &status);
  return status;
}

/**
 * "Not sent" is claimed only when no byte of the request was ever written.
 * The error code does not tell: when a kept-alive connection dies under a
 * request, libcurl connects anew by itself, and "could not connect" is then
 * the end of a request that the peer has read once. The count of request
 * bytes runs over all of a transfer's tries.
 */
CallOutcome
HttpTransfer::outcomeOfFailure() const
{
  long requestBytes = 0;
  const CURLcode known =
    curl_easy_getinfo(this->easy, CURLINFO_REQUEST_SIZE, &requestBytes);
  return known == CURLE_OK && requestBytes == 0 ? CallOutcome::NotSent
                                                : CallOutcome::Unknown;
}

std::string
HttpTransfer::detailOf(CURLcode aCode) const
{
  if (!this->problem.empty()) {
    return this->problem;
  }
  return this->errorText[0] != '\0' ? this->errorText.data()
                                    : curl_easy_strerror(aCode);
}

bool
HttpTransfer::isConnectRefused(CURLcode aCode) const
{
  long systemError = 0;
  curl_easy_getinfo(this->easy, CURLINFO_OS_ERRNO, &systemError);
  return aCode == CURLE_COULDNT_CONNECT && systemError == ECONNREFUSED;
}

void
HttpTransfer::end(CURLcode aCode)
{
  this->result.status = static_cast<int>(this->status());
  this->result.headers = this->head.fields();
  if (aCode != CURLE_OK) {
    this->result.connectRefused = this->isConnectRefused(aCode);
    this->result.timedOut = aCode == CURLE_OPERATION_TIMEDOUT;
    this->end(this->outcomeOfFailure(), this->detailOf(aCode));
    return;
  }
  if (auto flaw = this->flawOfReply()) {
    this->end(CallOutcome::Unknown, std::move(*flaw));
    return;
  }
  this->end(CallOutcome::Replied, {});
}

void
HttpTransfer::end(CallOutcome aOutcome, std::string aDetail)
{
  this->result.outcome = aOutcome;
  this->result.detail = std::move(aDetail);
  this->done(std::move(this->result));
}

} // namespace poplartrack
