#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <string_view>

#include <microhttpd.h>

#include "poplartrack/http/HttpServer.h"

namespace poplartrack {

/** What all exchanges of one server share. */
struct HttpServerShared
{
  HttpHandler handler;
  HttpServerLimits limits;
  /** The idle timeout as libmicrohttpd takes it. */
  unsigned int idleSeconds = 0;
  std::atomic<std::size_t> openRequests{ 0 };
  std::atomic<bool> stopping{ false };
};

/** One request and its reply, from the request line to the reply's end. */
class HttpExchange
{
public:
  /** aUri is the request target as sent, with its query. */
  HttpExchange(HttpServerShared& aShared, const char* aUri);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  ~HttpExchange();

  /** libmicrohttpd's access handler: called with the headers, with each piece
   * of the body and at the request's end. */
  MHD_Result advance(MHD_Connection* aConnection,
                     const char* aMethod,
                     const char* aUpload,
                     std::size_t* aUploadSize);
  /** The reply has been sent, or never will be. */
  void finish(bool aSentWhole);

private:
  MHD_Result readHead(MHD_Connection* aConnection, const char* aMethod);
  MHD_Result takeBody(const char* aUpload, std::size_t aSize);
  MHD_Result answer(MHD_Connection* aConnection);
  MHD_Result queue(MHD_Connection* aConnection);
  MHD_Response* makeResponse(MHD_Connection* aConnection);
  ssize_t readBody(char* aBuffer, std::size_t aMax);
  void pullChunk();

  HttpServerShared& shared;
  HttpRequest request;
  HttpReply reply;
  MHD_Connection* connection = nullptr;
  std::size_t bodyBytes = 0;
  bool headRead = false;
  bool tooLarge = false;
  // The chunk being sent of a streamed body.
  BodyChunk chunk;
  std::size_t chunkSent = 0;
};

/** The path of a request target without its query, percent-decoded but for
 * "%2F" and "%25": decoding these would change where the segments end. A
 * handler splits the path at '/' and decodes each segment. */
std::string
pathOfTarget(std::string_view aTarget);

} // namespace poplartrack
