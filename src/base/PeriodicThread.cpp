#include "poplartrack/base/PeriodicThread.h"

namespace poplartrack {

PeriodicThread::PeriodicThread(std::function<Duration()> aWork)
  : work(std::move(aWork))
  , worker([this] { this->run(); })
{
}

PeriodicThread::~PeriodicThread()
{
  {
    const std::scoped_lock lock{ this->guard };
    this->stopping = true;
  }
  this->changed.notify_one();
  this->worker.join();
}

void
PeriodicThread::wake()
{
  {
    const std::scoped_lock lock{ this->guard };
    this->woken = true;
  }
  this->changed.notify_one();
}

void
PeriodicThread::run()
{
  std::unique_lock lock{ this->guard };
  while (!this->stopping) {
    this->woken = false;
    lock.unlock();
    const Duration pause = this->work();
    lock.lock();
    this->changed.wait_for(
      lock, pause, [this] { return this->stopping || this->woken; });
  }
}

} // namespace poplartrack
