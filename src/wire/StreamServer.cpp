#include "poplartrack/wire/StreamServer.h"

#include <utility>

#include "ServerLoop.h"
#include "poplartrack/base/TcpSocket.h"

namespace poplartrack {

class StreamServer::Impl
{
public:
  Impl(Poller aPoller,
       OwnedFd aListener,
       Address aLocal,
       FrameHandler aHandler,
       const StreamServerLimits& aLimits)
    : loop(std::move(aPoller),
           std::move(aListener),
           std::move(aLocal),
           std::move(aHandler),
           aLimits)
  {
  }

  ServerLoop loop;
};

StreamServer::StreamServer(std::unique_ptr<Impl> aImpl)
  : impl(std::move(aImpl))
{
}

StreamServer::~StreamServer() = default;

Result<std::unique_ptr<StreamServer>>
StreamServer::create(const Address& aListen,
                     FrameHandler aHandler,
                     StreamServerLimits aLimits)
{
  Result<OwnedFd> listener = listenTcp(aListen);
  if (!listener) {
    return listener.error();
  }
  Result<Address> local = localAddress(listener.value().get());
  if (!local) {
    return local.error();
  }
  Result<Poller> poller = Poller::create();
  if (!poller) {
    return poller.error();
  }
  auto impl = std::make_unique<Impl>(std::move(poller).value(),
                                     std::move(listener).value(),
                                     std::move(local).value(),
                                     std::move(aHandler),
                                     aLimits);
  return std::unique_ptr<StreamServer>(new StreamServer(std::move(impl)));
}

Address
StreamServer::address() const
{
  return this->impl->loop.address();
}

std::size_t
StreamServer::openCalls() const
{
  return this->impl->loop.openCalls();
}

void
StreamServer::drain()
{
  this->impl->loop.drain();
}

} // namespace poplartrack
