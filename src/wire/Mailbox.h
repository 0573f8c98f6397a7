#pragma once

#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "Poller.h"

namespace poplartrack {

/** Passes values from any thread to an I/O thread that waits in a Poller. */
template<typename T>
class Mailbox
{
public:
  /** @param aPoller must exist until close() */
  explicit Mailbox(Poller& aPoller)
    : poller(aPoller)
  {
  }

  /** Queues a value for the I/O thread. Returns false if the mailbox is closed;
   * the value is then unchanged. */
  bool push(T& aValue)
  {
    const std::scoped_lock lock{ this->mutex };
    if (this->closed) {
      return false;
    }
    const bool first = this->values.empty();
    this->values.push_back(std::move(aValue));
    // One wake-up is enough for all values until they are taken, and the I/O
    // thread itself checks before it waits.
    if (first && std::this_thread::get_id() != this->reader) {
      this->poller.wake();
    }
    return true;
  }

  /** Returns all queued values. Called by the I/O thread. */
  std::vector<T> take()
  {
    std::vector<T> taken;
    const std::scoped_lock lock{ this->mutex };
    this->reader = std::this_thread::get_id();
    taken.swap(this->values);
    return taken;
  }

  [[nodiscard]] bool empty()
  {
    const std::scoped_lock lock{ this->mutex };
    return this->values.empty();
  }

  /** Rejects values from now on and returns the queued ones. */
  std::vector<T> close()
  {
    std::vector<T> taken;
    const std::scoped_lock lock{ this->mutex };
    this->closed = true;
    taken.swap(this->values);
    return taken;
  }

private:
  std::mutex mutex;
  Poller& poller;
  std::vector<T> values;
  std::thread::id reader;
  bool closed = false;
};

} // namespace poplartrack
