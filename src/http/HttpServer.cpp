#include "poplartrack/http/HttpServer.h"

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <utility>

#include <microhttpd.h>

#include "HttpExchange.h"
#include "poplartrack/base/TcpSocket.h"

namespace poplartrack {
namespace {

MHD_Result
onRequest(void*,
          MHD_Connection* aConnection,
          const char*,
          const char* aMethod,
          const char*,
          const char* aUpload,
          std::size_t* aUploadSize,
          void** aExchange)
{
  return static_cast<HttpExchange*>(*aExchange)
    ->advance(aConnection, aMethod, aUpload, aUploadSize);
}

void*
onRequestLine(void* aShared, const char* aUri, MHD_Connection*)
{
  return new HttpExchange(*static_cast<HttpServerShared*>(aShared), aUri);
}

void
onCompleted(void*,
            MHD_Connection*,
            void** aExchange,
            MHD_RequestTerminationCode aCode)
{
  const std::unique_ptr<HttpExchange> exchange{ static_cast<HttpExchange*>(
    std::exchange(*aExchange, nullptr)) };
  if (exchange) {
    exchange->finish(aCode == MHD_REQUEST_TERMINATED_COMPLETED_OK);
  }
}

unsigned int
wholeSeconds(Duration aDuration)
{
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(aDuration);
  return static_cast<unsigned int>(std::max<std::int64_t>(seconds.count(), 1));
}

} // namespace

class HttpServer::Impl
{
public:
  Impl(HttpHandler aHandler, HttpServerLimits aLimits)
  {
    this->shared.handler = std::move(aHandler);
    this->shared.limits = aLimits;
    this->shared.idleSeconds = wholeSeconds(aLimits.idleTimeout);
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl()
  {
    this->stopListening();
    if (this->daemon != nullptr) {
      MHD_stop_daemon(this->daemon);
    }
  }

  Result<Done> start(const Address& aListen);
  void stopListening();

  HttpServerShared shared;
  Address local;

private:
  std::mutex mutex;
  MHD_Daemon* daemon = nullptr;
  // Ours again once the daemon has been quiesced; closed after its threads.
  OwnedFd listener;
};

Result<Done>
HttpServer::Impl::start(const Address& aListen)
{
  Result<OwnedFd> fd = listenTcp(aListen);
  if (!fd) {
    return fd.error();
  }
  Result<Address> bound = localAddress(fd.value().get());
  if (!bound) {
    return bound.error();
  }
  this->local = std::move(bound).value();
  const HttpServerLimits& limits = this->shared.limits;
  constexpr unsigned int kFlags = MHD_USE_THREAD_PER_CONNECTION |
                                  MHD_USE_INTERNAL_POLLING_THREAD |
                                  MHD_USE_POLL | MHD_USE_ITC;
  this->daemon =
    MHD_start_daemon(kFlags,
                     0,
                     nullptr,
                     nullptr,
                     onRequest,
                     nullptr,
                     MHD_OPTION_LISTEN_SOCKET,
                     fd.value().get(),
                     MHD_OPTION_CONNECTION_LIMIT,
                     static_cast<unsigned int>(limits.maxConnections),
                     MHD_OPTION_CONNECTION_TIMEOUT,
                     this->shared.idleSeconds,
                     MHD_OPTION_URI_LOG_CALLBACK,
                     onRequestLine,
                     &this->shared,
                     MHD_OPTION_NOTIFY_COMPLETED,
                     onCompleted,
                     nullptr,
                     MHD_OPTION_END);
  if (this->daemon == nullptr) {
    return fail(ErrorKind::Network,
                "libmicrohttpd does not start on " + toText(this->local));
  }
  fd.value().release();
  return Done{};
}

void
HttpServer::Impl::stopListening()
{
  const std::scoped_lock lock{ this->mutex };
  if (this->daemon == nullptr || this->listener.valid()) {
    return;
  }
  this->shared.stopping = true;
  this->listener = OwnedFd{ MHD_quiesce_daemon(this->daemon) };
  // The descriptor may be closed only after the daemon's threads, but the
  // kernel would go on accepting for it: clients would connect and wait for
  // nobody. Shut down, it refuses them.
  ::shutdown(this->listener.get(), SHUT_RDWR);
}

HttpServer::HttpServer(std::unique_ptr<Impl> aImpl)
  : impl(std::move(aImpl))
{
}

HttpServer::~HttpServer() = default;

Result<std::unique_ptr<HttpServer>>
HttpServer::create(const Address& aListen,
                   HttpHandler aHandler,
                   HttpServerLimits aLimits)
{
  auto impl = std::make_unique<Impl>(std::move(aHandler), aLimits);
  const Result<Done> started = impl->start(aListen);
  if (!started) {
    return started.error();
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

Address
HttpServer::address() const
{
  return this->impl->local;
}

std::size_t
HttpServer::openRequests() const
{
  return this->impl->shared.openRequests;
}

void
HttpServer::stopListening()
{
  this->impl->stopListening();
}

} // namespace poplartrack
