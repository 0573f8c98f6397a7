#include "poplartrack/observe/EventLog.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace poplartrack {
namespace {

/** Lines a second of one part. A relay answers some 20 requests a second with
 * two lines each; a storm of changes stays readable at this rate. */
constexpr std::uint32_t kLinesPerSecond = 150;

/** Bytes that wait for a slow reader: about 1,500 lines. */
constexpr std::size_t kMostWaiting = std::size_t{ 256 } * 1024;

/** Once poll says that a pipe has room, so many bytes can be written without
 * waiting (PIPE_BUF). */
constexpr std::size_t kPipeRoom = 4096;

/** Writes in one flush; the rest follows with the next. */
constexpr int kWritesPerFlush = 16;

std::int64_t
wallMillis()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

bool
plain(std::string_view aValue)
{
  return !aValue.empty() &&
         std::all_of(aValue.begin(), aValue.end(), [](char aLetter) {
           return aLetter > ' ' && aLetter != '"' && aLetter != '=' &&
                  aLetter != '\x7f';
         });
}

void
appendQuoted(std::string& aLine, std::string_view aValue)
{
  aLine += '"';
  for (const char letter : aValue) {
    if (letter == '"' || letter == '\\') {
      aLine += '\\';
    }
    aLine += static_cast<unsigned char>(letter) < ' ' ? ' ' : letter;
  }
  aLine += '"';
}

} // namespace

LogLine::LogLine(LogPart aPart, std::string_view aEvent)
  : from(aPart)
{
  this->line.append(nameOf(aPart)).append(": event=").append(aEvent);
}

LogLine&
LogLine::with(std::string_view aKey, std::string_view aValue) &
{
  this->line.append(" ").append(aKey).append("=");
  if (plain(aValue)) {
    this->line.append(aValue);
  } else {
    appendQuoted(this->line, aValue);
  }
  return *this;
}

LogLine&
LogLine::with(std::string_view aKey, std::int64_t aValue) &
{
  this->line.append(" ").append(aKey).append("=").append(
    std::to_string(aValue));
  return *this;
}

LogLine&&
LogLine::with(std::string_view aKey, std::string_view aValue) &&
{
  this->with(aKey, aValue);
  return std::move(*this);
}

LogLine&&
LogLine::with(std::string_view aKey, std::int64_t aValue) &&
{
  this->with(aKey, aValue);
  return std::move(*this);
}

void
EventLog::append(std::string_view aText)
{
  if (this->waiting.size() + aText.size() > kMostWaiting) {
    ++this->droppedLines;
    return;
  }
  this->waiting.append(aText);
}

void
EventLog::write(const LogLine& aLine)
{
  constexpr std::int64_t kMillisPerSecond = 1000;
  const std::int64_t now = wallMillis();
  const std::scoped_lock lock{ this->guard };
  Allowance& allowance =
    this->allowances[static_cast<std::size_t>(aLine.part())];
  if (allowance.second != now / kMillisPerSecond) {
    const std::uint32_t leftOut = allowance.leftOut;
    allowance = Allowance{ now / kMillisPerSecond, 0, 0 };
    if (leftOut > 0) {
      this->append(
        "log: event=left_out part=" + std::string{ nameOf(aLine.part()) } +
        " lines=" + std::to_string(leftOut) + "\n");
    }
  }
  if (++allowance.lines > kLinesPerSecond) {
    ++allowance.leftOut;
    ++this->droppedLines;
    return;
  }
  this->append(aLine.text() + " t_ms=" + std::to_string(now) + "\n");
}

void
EventLog::flush()
{
  const std::scoped_lock lock{ this->guard };
  std::size_t written = 0;
  for (int i = 0; i < kWritesPerFlush && written < this->waiting.size(); ++i) {
    pollfd ready{ this->fd, POLLOUT, 0 };
    if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    const ssize_t count =
      ::write(this->fd,
              this->waiting.data() + written,
              std::min(kPipeRoom, this->waiting.size() - written));
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  this->waiting.erase(0, written);
}

std::uint64_t
EventLog::dropped() const
{
  const std::scoped_lock lock{ this->guard };
  return this->droppedLines;
}

} // namespace poplartrack
