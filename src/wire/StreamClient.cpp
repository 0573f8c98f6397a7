#include "poplartrack/wire/StreamClient.h"

#include <utility>

#include "ClientLoop.h"

namespace poplartrack {

class StreamClient::Impl
{
public:
  Impl(Poller aPoller, const StreamClientLimits& aLimits)
    : loop(std::move(aPoller), aLimits)
  {
  }

  ClientLoop loop;
};

StreamClient::StreamClient(std::unique_ptr<Impl> aImpl)
  : impl(std::move(aImpl))
{
}

StreamClient::~StreamClient() = default;

Result<std::unique_ptr<StreamClient>>
StreamClient::create(StreamClientLimits aLimits)
{
  Result<Poller> poller = Poller::create();
  if (!poller) {
    return poller.error();
  }
  auto impl = std::make_unique<Impl>(std::move(poller).value(), aLimits);
  return std::unique_ptr<StreamClient>(new StreamClient(std::move(impl)));
}

void
StreamClient::call(const Address& aPeer,
                   std::string aFrame,
                   Duration aTimeout,
                   CallDone aDone)
{
  this->impl->loop.call(NewCall{ aPeer,
                                 std::move(aFrame),
                                 SystemClock{}.now() + aTimeout,
                                 std::move(aDone) });
}

} // namespace poplartrack
