#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>

#include <sys/types.h>

#include "Record.h"
#include "poplartrack/base/Address.h"

namespace poplartrack::review {

/** What the platform tells a machine, and where the files are. */
struct RelayProcessSettings
{
  /** The program, and the template of the deploy file. */
  std::string program;
  std::string settingsTemplate;
  /** Folder for the settings file and the output. */
  std::string folder;
  Address store;
  /** Memory of the machine in MB. */
  std::size_t memoryMb = 260;
};

/**
 * A relay on a machine of the platform. As on the platform, a process whose
 * memory exceeds the limit is killed, and one that has ended is started again
 * after a short delay. Only resident memory that is not shared with files
 * counts here, in MB of 1,048,576 bytes.
 */
class RelayProcess
{
public:
  RelayProcess(RelayProcessSettings aSettings, Record& aRecord);
  RelayProcess(const RelayProcess&) = delete;
  RelayProcess& operator=(const RelayProcess&) = delete;
  ~RelayProcess();

  [[nodiscard]] const Address& callers() const { return this->callersAt; }
  /** Waits until the health check answers 200; false if it doesn't in time. */
  bool waitReady();
  /** SIGTERM, and SIGKILL after the grace time. The process does not start
   * again. */
  void stop();
  /** When the latest process was started. */
  [[nodiscard]] std::chrono::steady_clock::time_point started() const
  {
    return this->startedAt;
  }
  /** How often the process was killed because of its memory. */
  [[nodiscard]] int memoryKills() const { return this->killedForMemory; }
  /** Highest resident memory that was seen, in MB. */
  [[nodiscard]] std::size_t peakMb() const { return this->highestMb; }

private:
  void writeSettings();
  void startProcess();
  void signal(int aSignal);
  /** Watches the process until the relay is stopped. */
  void watch();
  [[nodiscard]] std::size_t residentMb() const;

  RelayProcessSettings settings;
  Record& record;
  Address callersAt;
  Address healthAt;
  std::string settingsPath;
  std::atomic<pid_t> id{ 0 };
  std::atomic<std::chrono::steady_clock::time_point> startedAt{};
  std::atomic<bool> ending{ false };
  /** The process that was killed last because of its memory. */
  pid_t killedProcess = 0;
  std::atomic<int> killedForMemory{ 0 };
  std::atomic<std::size_t> highestMb{ 0 };
  std::thread watcher;
};

} // namespace poplartrack::review
