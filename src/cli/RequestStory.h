#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace poplartrack {

/** One line of a process's log, taken apart. */
struct LogEntry
{
  /** The part that wrote it: "request", "path", "config", ... */
  std::string part;
  std::map<std::string, std::string> values;
  /** What stood before the part, such as the name of a process. */
  std::string source;
  /** Time of day, in ms. */
  std::int64_t millis = 0;
};

/** The entry in a line of a log, or one with an empty part when it is none. */
LogEntry
parseLogLine(const std::string& aLine);

/**
 * What happened to one request, in the order of time, from the logs of any
 * number of processes: its own lines, and the lines by which a process began
 * to believe something about a replica that the request used, in the ten
 * seconds before its end.
 */
std::vector<std::string>
requestStory(const std::string& aId, const std::vector<LogEntry>& aEntries);

} // namespace poplartrack
