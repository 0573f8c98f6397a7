#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Result.h"

namespace poplartrack::harness {

/**
 * A real process of a test: started, signalled and awaited by its id. Its
 * output goes to files. The destructor kills what is left of it.
 */
class ChildProcess
{
public:
  /** Starts a program. aOutput and aLog take its standard output and error. */
  static Result<std::unique_ptr<ChildProcess>> start(
    const std::vector<std::string>& aCommand,
    const std::string& aOutput,
    const std::string& aLog);
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  /** Sends a signal; false when the process has ended. */
  bool signal(int aSignal);
  /** Waits for the end: the exit code, or 128 and the signal that ended it;
   * nothing when it still runs after aMost. */
  std::optional<int> waitExit(Duration aMost);
  /** Waits for a line of output that starts with "ready" and has KEY=; gives
   * its value. */
  Result<std::string> waitReady(const std::string& aKey, Duration aMost);
  [[nodiscard]] pid_t processId() const { return this->id; }
  [[nodiscard]] const std::string& outputPath() const { return this->output; }

private:
  ChildProcess(pid_t aId, std::string aOutput);

  pid_t id;
  std::string output;
  std::optional<int> ended;
};

} // namespace poplartrack::harness
