#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "soak/SoakCall.h"
#include "soak/SoakDesired.h"

namespace poplartrack::soak {

/** From when to when something held for somebody, in ms of the clock that
 * counts suspension; no end yet: 0. */
struct Span
{
  std::string who;
  std::int64_t from = 0;
  std::int64_t to = 0;
};

/** The spans of one cause. Not thread-safe. */
class SpanList
{
public:
  void begin(const std::string& aWho, std::int64_t aNow)
  {
    this->spans.push_back(Span{ aWho, aNow, 0 });
  }
  /** Ends the earliest span that is open, and returns it. */
  Span end(const std::string& aWho, std::int64_t aNow)
  {
    for (Span& span : this->spans) {
      if (span.who == aWho && span.to == 0) {
        span.to = aNow;
        return span;
      }
    }
    return {};
  }
  void endAll(const std::string& aWho, std::int64_t aNow)
  {
    while (this->end(aWho, aNow).to != 0) {
    }
  }
  void add(const Span& aSpan) { this->spans.push_back(aSpan); }
  [[nodiscard]] const std::vector<Span>& all() const { return this->spans; }
  /** Whether one held at any moment of this time. */
  [[nodiscard]] bool overlaps(const std::string& aWho,
                              std::int64_t aFrom,
                              std::int64_t aTo) const
  {
    return std::any_of(
      this->spans.begin(), this->spans.end(), [&](const Span& aOne) {
        return aOne.who == aWho && aOne.from <= aTo &&
               (aOne.to == 0 || aOne.to >= aFrom);
      });
  }

private:
  std::vector<Span> spans;
};

/** From when to when a key was not in force, in ms of the clock that counts
 * suspension; no end yet: 0. */
struct KeyGap
{
  std::string key;
  std::int64_t from = 0;
  std::int64_t to = 0;
};

/** What callers and the operator did, for the judge. Thread-safe but for the
 * spans, which belong to the thread that begins and ends faults. */
class SoakRecord
{
public:
  /** A relay, by its address, or a replica, by its id, did not run, or its link
   * was disturbed. */
  SpanList disturbances;
  /** A relay, by its address, or a replica of a service, by the service's name,
   * was gone or could not be told from one that is. */
  SpanList losses;
  /** A relay, by its address, was told to end. */
  SpanList stops;
  /** A sound replica, by its id, said nothing for a second or so. */
  SpanList silences;
  /** A replica, by its id, stopped within the head of each answer. */
  SpanList headStops;
  /** What the operator declared, in the order of its acknowledgements. */
  std::vector<DesiredState> states;

  void began(const std::string& aId, const CallRecord& aCall)
  {
    const std::scoped_lock lock{ this->guard };
    this->calls[aId] = aCall;
  }
  void ended(const std::string& aId, CallRecord aRecord)
  {
    const std::scoped_lock lock{ this->guard };
    this->calls[aId] = std::move(aRecord);
  }
  void keyTaken(const std::string& aKey, std::int64_t aNow)
  {
    const std::scoped_lock lock{ this->guard };
    this->gaps.push_back(KeyGap{ aKey, aNow, 0 });
  }
  void keyBack(const std::string& aKey, std::int64_t aNow)
  {
    const std::scoped_lock lock{ this->guard };
    for (KeyGap& gap : this->gaps) {
      if (gap.key == aKey && gap.to == 0) {
        gap.to = aNow;
      }
    }
  }
  /** To be called when nobody records any more. */
  [[nodiscard]] const std::map<std::string, CallRecord>& all() const
  {
    return this->calls;
  }
  [[nodiscard]] const std::vector<KeyGap>& keyGaps() const
  {
    return this->gaps;
  }

private:
  std::mutex guard;
  std::map<std::string, CallRecord> calls;
  std::vector<KeyGap> gaps;
};

} // namespace poplartrack::soak
