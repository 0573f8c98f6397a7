#pragma once

#include <atomic>
#include <functional>
#include <thread>
#include <utility>

#include "harness/RawSocket.h"

namespace poplartrack::relaytest {

/** A listener with a thread that handles its connections one after the other.
 * Each connection is closed when the handler returns. */
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
  /** Starts the thread. */
  void start(Handler aHandler)
  {
    this->thread = std::thread(
      [this, handler = std::move(aHandler)] { this->run(handler); });
  }

private:
  void run(const Handler& aHandler)
  {
    while (!this->stopping) {
      // A test may leave its replica without a connection for any time.
      auto connection = this->listener.acceptWithin(harness::kAcceptLimit);
      if (connection && !this->stopping) {
        aHandler(*connection);
      }
    }
  }

  harness::RawListener listener;
  std::atomic<bool> stopping{ false };
  std::thread thread;
};

/** Returns the value of a header field in the head of a request. */
inline std::string
headerValue(const std::string& aHead, const std::string& aName)
{
  const std::string mark = aName + ": ";
  const std::size_t from = aHead.find(mark) + mark.size();
  return aHead.substr(from, aHead.find("\r\n", from) - from);
}

} // namespace poplartrack::relaytest
