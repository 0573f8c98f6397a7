#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Runs blocking work again and again on a thread of its own. */
class PeriodicThread
{
public:
  /** aWork gives the pause until it is to run next; it runs at once first. */
  explicit PeriodicThread(std::function<Duration()> aWork);
  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;
  /** Waits for work that is running. */
  ~PeriodicThread();

  /** Ends the present pause early. */
  void wake();

private:
  void run();

  std::function<Duration()> work;
  std::mutex guard;
  std::condition_variable changed;
  bool woken = false;
  bool stopping = false;
  std::thread worker;
};

} // namespace poplartrack
