#pragma once

#include <chrono>
#include <fstream>
#include <map>
#include <mutex>
#include <string>

namespace poplartrack::review {

/** What was sent, answered and run, a line each with its time in ms, and the
 * runs by request. Thread-safe. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : out(aPath)
  {
  }

  /** Adds a line. */
  void write(const std::string& aLine)
  {
    const std::scoped_lock lock{ this->guard };
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - this->begin);
    this->out << since.count() << ' ' << aLine << std::endl;
  }
  /** Records that a replica began to work on a request. */
  void onRun(const std::string& aReplica, const std::string& aRequest)
  {
    {
      const std::scoped_lock lock{ this->guard };
      ++this->runs[aRequest];
    }
    this->write("replica " + aReplica + " runs " + aRequest);
  }
  /** Returns how often replicas began to work on a request. */
  int runsOf(const std::string& aRequest)
  {
    const std::scoped_lock lock{ this->guard };
    const auto found = this->runs.find(aRequest);
    return found == this->runs.end() ? 0 : found->second;
  }

private:
  std::mutex guard;
  std::ofstream out;
  std::map<std::string, int> runs;
  std::chrono::steady_clock::time_point begin =
    std::chrono::steady_clock::now();
};

} // namespace poplartrack::review
