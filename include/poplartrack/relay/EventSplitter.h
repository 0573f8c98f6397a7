#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplartrack {

/** One complete event of a server-sent event stream. */
struct StreamEvent
{
  /** The event as received, including the empty line that ends it. */
  std::string bytes;
  /** Value of the "id:" line, if it is a number. */
  std::optional<std::uint64_t> id;
};

/**
 * Splits a byte stream into complete events. Only complete events are
 * forwarded: a replica may crash in the middle of one, and when the stream
 * resumes at another replica, that event is sent again from its start.
 */
class EventSplitter
{
public:
  /** Appends bytes and returns the events that are now complete. */
  std::vector<StreamEvent> feed(std::string_view aBytes);
  /** Returns whether a stream that ends after these bytes ends between two
   * events. Otherwise its replica has stopped inside one. */
  [[nodiscard]] bool mayEndAfter(std::string_view aBytes) const;
  /** Discards an incomplete event. */
  void reset() { this->pending.clear(); }

private:
  /** Bytes of the incomplete event. */
  std::string pending;
};

} // namespace poplartrack
