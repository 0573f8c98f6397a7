#pragma once

#include <functional>
#include <mutex>
#include <vector>

namespace poplartrack {

/** Work for the thread of a loop, added by any thread. Thread-safe. */
class PostedWork
{
public:
  void add(std::function<void()> aWork);
  /** Runs what was added before the call, in that order. */
  void run();

private:
  /** Protects posted. */
  std::mutex guard;
  std::vector<std::function<void()>> posted;
};

} // namespace poplartrack
