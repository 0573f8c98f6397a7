#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/http/BodyFraming.h"
#include "poplartrack/wire/CallOutcome.h"

namespace poplartrack {

/** One HTTP call. */
struct HttpCall
{
  std::string method = "GET";
  std::string url;
  std::map<std::string, std::string> headers;
  std::string body;
  Duration timeout = std::chrono::seconds{ 5 };
  Duration connectTimeout = std::chrono::seconds{ 1 };
  /** A call that must not run twice uses a connection of its own: libcurl
   * sends a request again by itself when a kept-alive connection dies under
   * it, and nothing switches that off but a fresh connection. */
  bool freshConnection = false;
  /** Largest body of the reply; 0: the client's limit. */
  std::size_t maxBodyBytes = 0;
  /** Optional only where the peer may answer so, and either the caller can tell
   * part of a body from a whole one or the peer's protocol counts it as whole.
   */
  BodyFraming framing = BodyFraming::Required;
  /** Called with body bytes as they arrive, on the client's thread; the
   * result's body then stays empty. Returning false cancels the call. */
  std::function<bool(std::string_view)> onBytes;
};

/** How an HTTP call ended. */
struct HttpResult
{
  CallOutcome outcome = CallOutcome::Unknown;
  int status = 0;
  /** Names in lower case. */
  std::map<std::string, std::string> headers;
  std::string body;
  std::string detail;
  /** The call was ended because the reply exceeded a limit. */
  bool overLimit = false;
  /** Nothing listens at the address: the connection was refused at once. */
  bool connectRefused = false;
  /** Ended by a timeout: the peer sent neither an answer nor a refusal. */
  bool timedOut = false;
};

using HttpDone = std::function<void(HttpResult)>;

/** Bounds of a client. */
struct HttpClientLimits
{
  std::size_t maxConnections = 256;
  std::size_t maxConnectionsPerHost = 64;
  std::size_t maxBodyBytes = 4U << 20U;
  /** What all unfinished replies may hold together. Beyond it the largest ends
   * as over the limit. */
  std::size_t maxHeldBytes = 32U << 20U;
};

/** libcurl's multi interface on one thread of its own. */
class HttpClient
{
public:
  static Result<std::unique_ptr<HttpClient>> create(HttpClientLimits aLimits);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  /** Ends open calls as Unknown. */
  ~HttpClient();

  /** Starts a call and returns at once; aDone runs on the client's thread. */
  void send(HttpCall aCall, HttpDone aDone);
  /** Waits for the call's end. Not from within an HttpDone. */
  HttpResult sendAndWait(HttpCall aCall);

private:
  class Impl;
  explicit HttpClient(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl;
};

} // namespace poplartrack
