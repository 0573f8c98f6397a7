#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Result.h"

namespace poplartrack {

/** One request, read whole. Header names are in lower case. */
struct HttpRequest
{
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

/** The next bytes of a streamed body. */
struct BodyChunk
{
  enum class State : std::uint8_t
  {
    More,
    /** These are the last bytes; the stream ends well. */
    Last,
    /** Cut the connection: the client must see that the body is not whole. */
    Abort,
  };
  std::string bytes;
  State state = State::More;
};

/** Gives the next chunk; may block until there is one. */
using BodySource = std::function<BodyChunk()>;

/** An answer: a whole body, or a stream when source is set. */
struct HttpReply
{
  int status = 200;
  std::map<std::string, std::string> headers;
  std::string body;
  BodySource source;
  /** Called once when the reply has been sent or its connection has closed. */
  std::function<void(bool aSentWhole)> finished;
};

/** Handles one request on its connection's own thread; may block. */
using HttpHandler = std::function<HttpReply(const HttpRequest&)>;

/** Bounds that keep a broken or hostile client from taking the process down. */
struct HttpServerLimits
{
  std::size_t maxConnections = 1024;
  std::size_t maxBodyBytes = 1U << 20U;
  /** A connection that stays silent this long is closed (slowloris). */
  Duration idleTimeout = std::chrono::seconds{ 10 };
};

/** libmicrohttpd with a thread a connection, so that one slow answer stands
 * before no other. */
class HttpServer
{
public:
  /** Listens at once; port 0 picks a free one. */
  static Result<std::unique_ptr<HttpServer>> create(const Address& aListen,
                                                    HttpHandler aHandler,
                                                    HttpServerLimits aLimits);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  /** Waits for handlers that are running. */
  ~HttpServer();

  [[nodiscard]] Address address() const;
  /** Requests between their first byte and the last byte of their reply. */
  [[nodiscard]] std::size_t openRequests() const;
  /** Closes the listener; requests under way go on. */
  void stopListening();

private:
  class Impl;
  explicit HttpServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl;
};

} // namespace poplartrack
