#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplartrack {

/** One whole event of a stream, with its bytes as they came. */
struct StreamEvent
{
  std::string bytes;
  /** Value of its id line, when that is a number. */
  std::optional<std::uint64_t> id;
};

/**
 * Cuts an event stream into whole events. Only whole ones are passed on: a
 * replica may stop in the middle of one, and a stream that goes on at another
 * replica then begins with the whole event again.
 */
class EventSplitter
{
public:
  /** The events that are complete with these bytes. */
  std::vector<StreamEvent> feed(std::string_view aBytes);
  /** Whether part of an event is waiting for its end. */
  [[nodiscard]] bool inside() const { return !this->pending.empty(); }
  void reset() { this->pending.clear(); }

private:
  std::string pending;
};

} // namespace poplartrack
