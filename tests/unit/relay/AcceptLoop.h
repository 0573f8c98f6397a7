#pragma once

#include <atomic>
#include <functional>
#include <thread>
#include <utility>

#include "harness/RawSocket.h"

namespace poplartrack::relaytest {

/** A listener whose connections are handled one after the other on a thread of
 * its own; each is closed when its handler returns. */
class AcceptLoop
{
public:
  using Handler = std::function<void(harness::RawSocket&)>;

  AcceptLoop() = default;
  AcceptLoop(const AcceptLoop&) = delete;
  AcceptLoop& operator=(const AcceptLoop&) = delete;
  ~AcceptLoop()
  {
    if (this->thread.joinable()) {
      this->stopping = true;
      harness::RawSocket::connectTo(this->listener.address());
      this->thread.join();
    }
  }

  [[nodiscard]] Address address() const { return this->listener.address(); }
  void start(Handler aHandler)
  {
    this->thread = std::thread(
      [this, handler = std::move(aHandler)] { this->run(handler); });
  }

private:
  void run(const Handler& aHandler)
  {
    while (true) {
      harness::RawSocket connection = this->listener.accept();
      if (this->stopping) {
        return;
      }
      aHandler(connection);
    }
  }

  harness::RawListener listener;
  std::atomic<bool> stopping{ false };
  std::thread thread;
};

/** The value of a field in the head of a request. */
inline std::string
headerValue(const std::string& aHead, const std::string& aName)
{
  const std::string mark = aName + ": ";
  const std::size_t from = aHead.find(mark) + mark.size();
  return aHead.substr(from, aHead.find("\r\n", from) - from);
}

} // namespace poplartrack::relaytest
