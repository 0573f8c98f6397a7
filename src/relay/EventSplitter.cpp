#include "poplartrack/relay/EventSplitter.h"

#include <charconv>
#include <utility>

namespace poplartrack {
namespace {

/** Returns the number that follows "id:", if there is one. */
std::optional<std::uint64_t>
numberOf(std::string_view aValue)
{
  while (!aValue.empty() && aValue.front() == ' ') {
    aValue.remove_prefix(1);
  }
  std::uint64_t number = 0;
  const auto [stop, error] =
    std::from_chars(aValue.data(), aValue.data() + aValue.size(), number);
  return error == std::errc{} ? std::optional{ number } : std::nullopt;
}

/** Returns the event with these bytes. Its id is that of the first "id:" line
 * that begins with a number. */
StreamEvent
eventOf(std::string_view aBytes)
{
  constexpr std::string_view kId = "id:";
  constexpr std::string_view kData = "data";
  StreamEvent event;
  event.bytes = aBytes;
  std::size_t at = 0;
  while (at < aBytes.size()) {
    std::size_t end = aBytes.find('\n', at);
    end = end == std::string_view::npos ? aBytes.size() : end;
    const std::string_view line = aBytes.substr(at, end - at);
    at = end + 1;
    if (!event.id && line.starts_with(kId)) {
      event.id = numberOf(line.substr(kId.size()));
    }
    event.hasData = event.hasData || line.starts_with(kData);
  }
  return event;
}

/** Returns the position after the first empty line that ends an event, whose
 * line break is at aFrom or later; npos if there is none. Lines may end with LF
 * or CRLF. */
std::size_t
endOfEvent(std::string_view aBytes, std::size_t aFrom)
{
  std::size_t at = aBytes.find('\n', aFrom);
  while (at != std::string_view::npos) {
    const std::string_view after = aBytes.substr(at + 1);
    if (after.starts_with('\n')) {
      return at + 2;
    }
    if (after.starts_with("\r\n")) {
      return at + 3;
    }
    at = aBytes.find('\n', at + 1);
  }
  return std::string_view::npos;
}

} // namespace

bool
EventSplitter::endsBetweenEvents() const
{
  // Further empty lines may follow the one that ends the last event.
  return this->pending.find_first_not_of("\r\n") == std::string::npos;
}

std::string
EventSplitter::takePartial()
{
  this->searched = 0;
  return std::exchange(this->pending, {});
}

std::vector<StreamEvent>
EventSplitter::feed(std::string_view aBytes)
{
  std::vector<StreamEvent> events;
  this->pending.append(aBytes);
  const std::string_view bytes = this->pending;
  std::size_t start = 0;
  std::size_t end = endOfEvent(bytes, this->searched);
  while (end != std::string_view::npos) {
    events.push_back(eventOf(bytes.substr(start, end - start)));
    start = end;
    end = endOfEvent(bytes, start);
  }
  this->pending.erase(0, start);
  // The last two bytes may begin an empty line that the next bytes complete.
  constexpr std::size_t kLineBreakBytes = 2;
  this->searched = this->pending.size() > kLineBreakBytes
                     ? this->pending.size() - kLineBreakBytes
                     : 0;
  return events;
}

} // namespace poplartrack
