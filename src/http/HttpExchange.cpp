#include "HttpExchange.h"

#include <algorithm>
#include <cstring>
#include <optional>
#include <utility>

#include "LowerCase.h"

namespace poplartrack {
namespace {

/** A body that is over the limit is read and dropped up to this many times
 * the limit, so that a client that writes before it reads gets to see 413
 * instead of a reset connection. Beyond that the connection is closed. */
constexpr std::size_t kDropFactor = 4;

/** Bytes asked of a streamed body at once. */
constexpr std::size_t kStreamBlockBytes = 16U << 10U;

MHD_Result
addHeader(void* aHeaders, MHD_ValueKind, const char* aKey, const char* aValue)
{
  auto& headers = *static_cast<std::map<std::string, std::string>*>(aHeaders);
  headers[lowerCase(aKey)] = aValue == nullptr ? "" : aValue;
  return MHD_YES;
}

MHD_Result
addArgument(void* aQuery, MHD_ValueKind, const char* aKey, const char* aValue)
{
  auto& query = *static_cast<std::map<std::string, std::string>*>(aQuery);
  query[aKey] = aValue == nullptr ? "" : aValue;
  return MHD_YES;
}

std::optional<char>
decodeEscape(std::string_view aHexDigits)
{
  if (aHexDigits.size() < 2) {
    return std::nullopt;
  }
  int value = 0;
  for (const char digit : aHexDigits.substr(0, 2)) {
    value *= 16;
    if (digit >= '0' && digit <= '9') {
      value += digit - '0';
    } else if (digit >= 'a' && digit <= 'f') {
      value += digit - 'a' + 10;
    } else if (digit >= 'A' && digit <= 'F') {
      value += digit - 'A' + 10;
    } else {
      return std::nullopt;
    }
  }
  return static_cast<char>(value);
}

/**
 * Stops the connection's idle timer while a stream waits for its next chunk.
 * libmicrohttpd counts that wait as the client's silence: a gap between two
 * tokens that is longer than the timeout would have the stream cut. Setting
 * the timer anew starts it from zero, so it still ends a client that does not
 * read.
 */
class IdleTimerPause
{
public:
  IdleTimerPause(MHD_Connection* aConnection, unsigned int aIdleSeconds)
    : connection(aConnection)
    , idleSeconds(aIdleSeconds)
  {
    MHD_set_connection_option(
      this->connection, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
  }
  IdleTimerPause(const IdleTimerPause&) = delete;
  IdleTimerPause& operator=(const IdleTimerPause&) = delete;
  ~IdleTimerPause()
  {
    MHD_set_connection_option(
      this->connection, MHD_CONNECTION_OPTION_TIMEOUT, this->idleSeconds);
  }

private:
  MHD_Connection* connection;
  unsigned int idleSeconds;
};

} // namespace

std::string
pathOfTarget(std::string_view aTarget)
{
  const std::string_view raw = aTarget.substr(0, aTarget.find('?'));
  std::string path;
  path.reserve(raw.size());
  for (std::size_t i = 0; i < raw.size(); ++i) {
    const std::optional<char> decoded =
      raw[i] == '%' ? decodeEscape(raw.substr(i + 1)) : std::nullopt;
    if (!decoded || *decoded == '/' || *decoded == '%') {
      path += raw[i];
      continue;
    }
    path += *decoded;
    i += 2;
  }
  return path;
}

HttpExchange::HttpExchange(HttpServerShared& aShared, const char* aUri)
  : shared(aShared)
{
  this->request.path = pathOfTarget(aUri);
  ++this->shared.openRequests;
}

HttpExchange::~HttpExchange()
{
  --this->shared.openRequests;
}

MHD_Result
HttpExchange::advance(MHD_Connection* aConnection,
                      const char* aMethod,
                      const char* aUpload,
                      std::size_t* aUploadSize)
{
  this->connection = aConnection;
  if (!this->headRead) {
    this->headRead = true;
    return this->readHead(aConnection, aMethod);
  }
  if (*aUploadSize > 0) {
    const std::size_t size = std::exchange(*aUploadSize, 0);
    return this->takeBody(aUpload, size);
  }
  return this->answer(aConnection);
}

MHD_Result
HttpExchange::readHead(MHD_Connection* aConnection, const char* aMethod)
{
  this->request.method = aMethod;
  MHD_get_connection_values(
    aConnection, MHD_HEADER_KIND, addHeader, &this->request.headers);
  MHD_get_connection_values(
    aConnection, MHD_GET_ARGUMENT_KIND, addArgument, &this->request.query);
  return MHD_YES;
}

MHD_Result
HttpExchange::takeBody(const char* aUpload, std::size_t aSize)
{
  this->bodyBytes += aSize;
  const std::size_t limit = this->shared.limits.maxBodyBytes;
  if (this->bodyBytes > limit * kDropFactor) {
    return MHD_NO;
  }
  if (this->bodyBytes > limit) {
    this->tooLarge = true;
    this->request.body = {};
    return MHD_YES;
  }
  this->request.body.append(aUpload, aSize);
  return MHD_YES;
}

MHD_Result
HttpExchange::answer(MHD_Connection* aConnection)
{
  if (this->tooLarge) {
    this->reply.status = MHD_HTTP_CONTENT_TOO_LARGE;
    this->reply.body = "the body is over the limit\n";
    return this->queue(aConnection);
  }
  this->reply = this->shared.handler(this->request);
  return this->queue(aConnection);
}

MHD_Result
HttpExchange::queue(MHD_Connection* aConnection)
{
  MHD_Response* response = this->makeResponse(aConnection);
  if (response == nullptr) {
    return MHD_NO;
  }
  for (const auto& [name, value] : this->reply.headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  if (this->shared.stopping) {
    // The client must not send its next request on a connection that is
    // about to go.
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  const MHD_Result queued = MHD_queue_response(
    aConnection, static_cast<unsigned int>(this->reply.status), response);
  MHD_destroy_response(response);
  return queued;
}

MHD_Response*
HttpExchange::makeResponse(MHD_Connection* aConnection)
{
  this->connection = aConnection;
  if (!this->reply.source) {
    // Not copied: the exchange outlives the response.
    return MHD_create_response_from_buffer(
      this->reply.body.size(), this->reply.body.data(), MHD_RESPMEM_PERSISTENT);
  }
  const auto reader =
    [](void* aSelf, std::uint64_t, char* aBuffer, size_t aMax) {
      return static_cast<HttpExchange*>(aSelf)->readBody(aBuffer, aMax);
    };
  return MHD_create_response_from_callback(
    MHD_SIZE_UNKNOWN, kStreamBlockBytes, reader, this, nullptr);
}

ssize_t
HttpExchange::readBody(char* aBuffer, std::size_t aMax)
{
  while (this->chunkSent == this->chunk.bytes.size()) {
    if (this->chunk.state == BodyChunk::State::Last) {
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
    if (this->chunk.state == BodyChunk::State::Abort) {
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    this->pullChunk();
  }
  const std::size_t size =
    std::min(aMax, this->chunk.bytes.size() - this->chunkSent);
  std::memcpy(aBuffer, this->chunk.bytes.data() + this->chunkSent, size);
  this->chunkSent += size;
  return static_cast<ssize_t>(size);
}

void
HttpExchange::pullChunk()
{
  const IdleTimerPause pause{ this->connection, this->shared.idleSeconds };
  this->chunk = this->reply.source();
  this->chunkSent = 0;
}

void
HttpExchange::finish(bool aSentWhole)
{
  if (this->reply.finished) {
    this->reply.finished(aSentWhole);
  }
}

} // namespace poplartrack
