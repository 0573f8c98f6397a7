#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Parts of a process that write log lines; each has its own prefix and its
 * own bound on lines a second. */
enum class LogPart : std::uint8_t
{
  Process,
  Config,
  Replicas,
  Lease,
  Placement,
  Store,
  Peers,
  Request,
  Path,
  Quarantine,
};

constexpr std::size_t kLogPartCount =
  static_cast<std::size_t>(LogPart::Quarantine) + 1;

constexpr std::array<std::string_view, kLogPartCount> kLogPartNames{
  "process", "config", "replicas", "lease", "placement",
  "store",   "peers",  "request",  "path",  "quarantine",
};

/** The part's prefix. */
constexpr std::string_view
nameOf(LogPart aPart)
{
  return kLogPartNames[static_cast<std::size_t>(aPart)];
}

/** One line: a part, an event and named values. */
class LogLine
{
public:
  LogLine(LogPart aPart, std::string_view aEvent);
  /** Adds " key=value"; a value with blanks or quotes is quoted. */
  LogLine& with(std::string_view aKey, std::string_view aValue) &;
  LogLine& with(std::string_view aKey, std::int64_t aValue) &;
  LogLine&& with(std::string_view aKey, std::string_view aValue) &&;
  LogLine&& with(std::string_view aKey, std::int64_t aValue) &&;

  [[nodiscard]] LogPart part() const { return this->from; }
  [[nodiscard]] const std::string& text() const { return this->line; }

private:
  LogPart from;
  std::string line;
};

/**
 * The process's log on standard output. Writing a line never waits: lines go
 * to a bounded buffer, and flush() writes only what the reader takes at once.
 * A reader that stops reading costs lines, which are counted, and nothing
 * else. Each part has a bound on its lines a second, so that load on one
 * cannot hide the others.
 */
class EventLog
{
public:
  /** Writes to this descriptor, which stays the caller's. */
  explicit EventLog(int aFd)
    : fd(aFd)
  {
  }

  void write(const LogLine& aLine);
  /** Writes what the reader takes without waiting. */
  void flush();
  /** Lines that were left out so far. */
  [[nodiscard]] std::uint64_t dropped() const;

private:
  struct Allowance
  {
    std::int64_t second = 0;
    std::uint32_t lines = 0;
    std::uint32_t leftOut = 0;
  };

  void append(std::string_view aText);

  int fd;
  mutable std::mutex guard;
  std::string waiting;
  std::array<Allowance, kLogPartCount> allowances{};
  std::uint64_t droppedLines = 0;
};

} // namespace poplartrack
