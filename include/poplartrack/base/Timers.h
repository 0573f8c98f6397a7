#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Runs functions at their time on one thread of its own. */
class Timers
{
public:
  Timers();
  Timers(const Timers&) = delete;
  Timers& operator=(const Timers&) = delete;
  ~Timers();

  /** Drops what is not due yet and waits for what is running; later calls of
   * at() and after() do nothing. */
  void stop();

  /** Runs aWork once, not before aWhen. aWork must not block for long. */
  void at(TimePoint aWhen, std::function<void()> aWork);
  /** Runs aWork once, this long from now. */
  void after(Duration aDelay, std::function<void()> aWork);

private:
  void run();

  std::mutex guard;
  std::condition_variable changed;
  std::multimap<TimePoint, std::function<void()>> waiting;
  bool stopping = false;
  std::thread worker;
};

} // namespace poplartrack
