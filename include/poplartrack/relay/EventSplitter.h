#pragma once

#include <cstddef>
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
  /** It has a "data" line. Comments and empty lines bring nothing. */
  bool hasData = false;
};

/**
 * Splits a byte stream into complete events. Only complete events are
 * forwarded: a replica may crash in the middle of one, and when the stream
 * resumes at another replica, that event is sent again from its start. Each
 * byte is searched once, however long an event grows.
 */
class EventSplitter
{
public:
  /** Appends bytes and returns the events that are now complete. */
  std::vector<StreamEvent> feed(std::string_view aBytes);
  /** Returns whether a stream that ends here ends between two events. Otherwise
   * its replica has stopped inside one. */
  [[nodiscard]] bool endsBetweenEvents() const;
  /** Number of bytes held of an event that is not complete. */
  [[nodiscard]] std::size_t partialBytes() const
  {
    return this->pending.size();
  }
  /** Removes and returns these bytes. */
  std::string takePartial();
  /** Discards an incomplete event. */
  void reset() { this->takePartial(); }

private:
  /** Bytes of the incomplete event. */
  std::string pending;
  /** No event ends before this position in them. */
  std::size_t searched = 0;
};

} // namespace poplartrack
