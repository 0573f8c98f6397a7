#include "poplartrack/relay/EventSplitter.h"

#include <charconv>

namespace poplartrack {
namespace {

/** Returns the value of the first "id:" line that begins with a number. */
std::optional<std::uint64_t>
eventId(std::string_view aEvent)
{
  constexpr std::string_view kId = "id:";
  std::size_t at = 0;
  while (at < aEvent.size()) {
    std::size_t end = aEvent.find('\n', at);
    end = end == std::string_view::npos ? aEvent.size() : end;
    std::string_view line = aEvent.substr(at, end - at);
    at = end + 1;
    if (!line.starts_with(kId)) {
      continue;
    }
    line.remove_prefix(kId.size());
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto [stop, error] =
      std::from_chars(line.data(), line.data() + line.size(), id);
    if (error == std::errc{}) {
      return id;
    }
  }
  return std::nullopt;
}

} // namespace

bool
EventSplitter::mayEndAfter(std::string_view aBytes) const
{
  const std::string rest = this->pending + std::string{ aBytes };
  return rest.empty() || rest.ends_with("\n\n") || rest.ends_with("\n\r\n");
}

std::vector<StreamEvent>
EventSplitter::feed(std::string_view aBytes)
{
  std::vector<StreamEvent> events;
  this->pending.append(aBytes);
  std::size_t start = 0;
  while (true) {
    // An empty line ends an event. Lines may end with LF or CRLF.
    const std::size_t lfEnd = this->pending.find("\n\n", start);
    const std::size_t crlfEnd = this->pending.find("\n\r\n", start);
    if (lfEnd == std::string::npos && crlfEnd == std::string::npos) {
      break;
    }
    const std::size_t end =
      lfEnd < crlfEnd || crlfEnd == std::string::npos ? lfEnd + 2 : crlfEnd + 3;
    StreamEvent event;
    event.bytes = this->pending.substr(start, end - start);
    event.id = eventId(event.bytes);
    events.push_back(std::move(event));
    start = end;
  }
  this->pending.erase(0, start);
  return events;
}

} // namespace poplartrack
