#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** A booked return, as its relay reports it to the others. */
struct ReturnReport
{
  /** Lower half of the content's fingerprint. */
  std::uint32_t content = 0;
  /** See serviceHash(). */
  std::uint16_t service = 0;
  /** Time from the report to the return; not negative. */
  Duration dueIn{ 0 };
};

/** Identifies a status message with reports of returns. */
struct ReturnSource
{
  /** Incarnation of the peer. */
  std::uint64_t peer = 0;
  /** Time on its clock from which the times in the reports count. */
  TimePoint peerTime{};
};

/**
 * The content fingerprints of rejected requests whose callers were told, by
 * this relay or by a peer, when to return. A request with such a content is
 * recognized as a return from 0.5 s before to 2 s after the booked time,
 * whichever relay it arrives at. The early margin covers the delay of status
 * messages, the late one the time that the caller needs to send again.
 *
 * Relays do not report the returns that they have recognized. If the same
 * content arrives at several relays within these times, each of them recognizes
 * it as a return once. Pure; not thread-safe.
 */
class ExpectedReturns
{
public:
  static constexpr Duration kEarly = std::chrono::milliseconds{ 500 };
  static constexpr Duration kLate = std::chrono::seconds{ 2 };
  /** A booking is reported to peers for this long. Of the five status messages
   * in that time, four may be lost. */
  static constexpr Duration kReportTime = std::chrono::seconds{ 1 };
  /** Beyond these, the returns that are due last are dropped, so that the
   * others are still known when they arrive. */
  static constexpr std::size_t kMaxEntries = 8'192;
  /** Peers' returns that are due later are ignored. */
  static constexpr Duration kMaxAhead = std::chrono::seconds{ 10 };

  /** Adds a return that this relay has booked. */
  void add(std::uint32_t aContent,
           std::uint16_t aService,
           TimePoint aDue,
           TimePoint aNow);
  /** Adds what a peer reports. The due times count from aNow, so they are late
   * by the time that the message took. Returns the reports that were not known
   * yet, without those dropped because of the bound. */
  std::vector<ReturnReport> onPeer(const ReturnSource& aSource,
                                   const std::vector<ReturnReport>& aReports,
                                   TimePoint aNow);

  /** Looks for a return with this content that is expected now, and marks it as
   * arrived. Returns the time since it was due, negative if it is early;
   * nullopt if the content is not expected. */
  std::optional<Duration> take(std::uint32_t aContent, TimePoint aNow);
  /** Drops the returns that are no longer expected. */
  void expire(TimePoint aNow);

  /** Returns this relay's own bookings that are still reported, the newest
   * first, with due times that count from aSentAt. */
  [[nodiscard]] std::vector<ReturnReport> recentOwn(TimePoint aSentAt,
                                                    std::size_t aMax) const;
  [[nodiscard]] bool empty() const { return this->entries.empty(); }
  [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
  struct Entry
  {
    std::uint32_t content = 0;
    std::uint16_t service = 0;
    /** The return has arrived. The entry is kept so that further reports of it
     * are not taken for another booking. */
    bool used = false;
    /** Incarnation of the peer that booked it; 0: this relay. */
    std::uint64_t peer = 0;
    /** When it is due, on this relay's clock and on that of the peer. */
    TimePoint due{};
    TimePoint dueAtPeer{};
    TimePoint addedAt{};
    /** Number of the latest message of the peer that reported it. */
    std::uint64_t message = 0;
  };
  using EntryList = std::list<Entry>;
  using DueIndex = std::multimap<TimePoint, EntryList::iterator>;

  bool insert(const Entry& aEntry);
  EntryList::iterator erase(EntryList::iterator aEntry);
  std::optional<EntryList::iterator> findReported(const ReturnSource& aSource,
                                                  const ReturnReport& aReport);
  DueIndex::iterator findDue(EntryList::iterator aEntry);

  /** The oldest is first. */
  EntryList entries;
  std::unordered_multimap<std::uint32_t, EntryList::iterator> byContent;
  DueIndex byDue;
  std::uint64_t messages = 0;
};

} // namespace poplartrack
