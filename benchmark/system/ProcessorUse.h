#pragma once

#include <fstream>
#include <sstream>
#include <string>

#include <unistd.h>

namespace poplartrack::bench {

/**
 * Processor time since it was made, of the whole machine and of this program's
 * children alone: the reader must see whether the machine, or other work on it,
 * and not the engines was the bottleneck.
 */
class ProcessorUse
{
public:
  ProcessorUse()
    : start(read())
  {
  }

  [[nodiscard]] double part() const
  {
    const Times now = read();
    const double all = now.all - this->start.all;
    return all <= 0 ? 0 : 1 - (now.idle - this->start.idle) / all;
  }

  /** The children's part of the whole machine. */
  [[nodiscard]] double ownPart() const
  {
    const Times now = read();
    const double all = now.all - this->start.all;
    return all <= 0 ? 0 : (now.own - this->start.own) / all;
  }

private:
  struct Times
  {
    double all = 0;
    double idle = 0;
    double own = 0;
  };

  /** User and system time of one process, in ticks. */
  static double ticksOf(const std::string& aProcess)
  {
    std::ifstream file{ "/proc/" + aProcess + "/stat" };
    std::string line;
    std::getline(file, line);
    // The name, in brackets, may hold spaces; what follows it is the third
    // column, and the times are the 14th and 15th.
    const std::size_t end = line.rfind(')');
    if (end == std::string::npos) {
      return 0;
    }
    std::istringstream rest{ line.substr(end + 1) };
    constexpr int kBefore = 11;
    std::string skipped;
    for (int i = 0; i < kBefore; ++i) {
      rest >> skipped;
    }
    double user = 0;
    double system = 0;
    rest >> user >> system;
    return user + system;
  }

  static double childTicks()
  {
    double ticks = 0;
    const std::string id = std::to_string(getpid());
    std::ifstream file{ "/proc/" + id + "/task/" + id + "/children" };
    std::string child;
    while (file >> child) {
      ticks += ticksOf(child);
    }
    return ticks;
  }

  static Times read()
  {
    // /proc/stat's first line: cpu user nice system idle iowait ...
    std::ifstream file{ "/proc/stat" };
    std::string word;
    file >> word;
    Times times;
    constexpr int kIdle = 3;
    constexpr int kWaiting = 4;
    constexpr int kColumns = 8;
    for (int column = 0; column < kColumns; ++column) {
      double ticks = 0;
      file >> ticks;
      times.all += ticks;
      times.idle += column == kIdle || column == kWaiting ? ticks : 0;
    }
    times.own = childTicks();
    return times;
  }

  Times start;
};

} // namespace poplartrack::bench
