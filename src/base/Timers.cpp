#include "poplartrack/base/Timers.h"

namespace poplartrack {

Timers::Timers()
  : worker([this] { this->run(); })
{
}

Timers::~Timers()
{
  this->stop();
}

void
Timers::stop()
{
  {
    const std::scoped_lock lock{ this->guard };
    this->stopping = true;
    this->waiting.clear();
  }
  this->changed.notify_one();
  if (this->worker.joinable()) {
    this->worker.join();
  }
}

void
Timers::at(TimePoint aWhen, std::function<void()> aWork)
{
  {
    const std::scoped_lock lock{ this->guard };
    if (this->stopping) {
      return;
    }
    this->waiting.emplace(aWhen, std::move(aWork));
  }
  this->changed.notify_one();
}

void
Timers::after(Duration aDelay, std::function<void()> aWork)
{
  this->at(SystemClock{}.now() + aDelay, std::move(aWork));
}

void
Timers::run()
{
  std::unique_lock lock{ this->guard };
  while (!this->stopping) {
    if (this->waiting.empty()) {
      this->changed.wait(lock);
      continue;
    }
    const auto first = this->waiting.begin();
    const TimePoint due = first->first;
    if (SystemClock{}.now() < due) {
      this->changed.wait_until(lock, due);
      continue;
    }
    const std::function<void()> work = std::move(first->second);
    this->waiting.erase(first);
    lock.unlock();
    work();
    lock.lock();
  }
}

} // namespace poplartrack
