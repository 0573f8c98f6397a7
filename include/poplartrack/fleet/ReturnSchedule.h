#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Delays after which a rejected caller may return. */
struct DelayRange
{
  Duration min{ 0 };
  Duration max{ 0 };
};

/** A rejected request whose caller is told when to return. */
struct ReturnRequest
{
  /** See serviceHash(). */
  std::uint16_t service = 0;
  /** Hash of the client account's name; 0 if the account is not known. */
  std::uint64_t account = 0;
  /** 0 is the most urgent. */
  int urgency = 0;
  /** Determines the jitter within the time slot. */
  std::uint64_t jitterSeed = 0;
};

/** The time slot that a rejected caller got. */
struct ReturnBooking
{
  TimePoint due{};
  /** Bookings of the service in the time slot, with this one. */
  std::uint32_t slotBookings = 0;
  /** Capacity that was expected in the time slot, in requests. */
  std::uint32_t slotRoom = 0;
};

/** Returns the short hash by which relays name a service in booked returns. */
[[nodiscard]] std::uint16_t
serviceHash(std::string_view aService);

/**
 * The returns that this relay and its peers have booked, by service, in time
 * slots of 100 ms. Callers that were rejected together are spread over the
 * slots in which capacity is expected.
 *
 * A time slot has room while it has fewer bookings than requests are expected
 * to end in it. This room is shared equally over the relays, over the client
 * accounts and over the urgencies with open bookings. A return gets the first
 * time slot of its range that has room and in which its relay, its account and
 * its urgency have bookings of their share left. If there is none, it gets the
 * last time slot with room, so that the earlier ones stay free for others; if
 * all are full, one with the fewest bookings. Without the relays' shares, all
 * relays would book the same time slots before they learn of each other's
 * bookings. Accounts and urgencies are known of this relay's own bookings only.
 * Pure; not thread-safe.
 */
class ReturnSchedule
{
public:
  static constexpr Duration kSlot = std::chrono::milliseconds{ 100 };
  /** Returns are booked at most this far ahead; later ones of peers are not
   * counted. */
  static constexpr Duration kMaxAhead = std::chrono::seconds{ 10 };
  /** Most bookings that are kept. Beyond them, returns are spread over their
   * range by the jitter alone and are not counted. */
  static constexpr std::size_t kMaxBookings = 8'192;

  /** Sets the number of relays known, this one included. */
  void setRelays(std::size_t aRelays) { this->relays = aRelays; }
  /** Records a request that is not a return. */
  void onNewRequest(std::uint16_t aService, TimePoint aNow);
  /** Records that a request which replicas may have run has ended, whatever its
   * outcome, so that its capacity is free. */
  void onEnded(std::uint16_t aService, TimePoint aNow);

  /** Books the return of a caller within a range of delays. */
  ReturnBooking book(const ReturnRequest& aRequest,
                     const DelayRange& aRange,
                     TimePoint aNow);
  /** Records a booking of a peer. */
  void onPeerBooking(std::uint16_t aService, TimePoint aDue, TimePoint aNow);
  /** Drops the time slots that are over and the services without recent
   * requests or bookings. */
  void expire(TimePoint aNow);

  /** Returns the room of a time slot, in returns: the requests that are
   * expected to end in it less the new ones, at the rates of the last two
   * seconds at this relay times the number of relays. At least 1, so that
   * rejected callers find out when capacity is back. */
  [[nodiscard]] std::uint32_t expectedRoom(std::uint16_t aService,
                                           TimePoint aNow) const;
  [[nodiscard]] std::size_t size() const { return this->bookings; }

private:
  static constexpr int kUrgencies = 10;

  using SlotIndex = std::int64_t;

  struct Slot
  {
    /** Bookings of all relays. */
    std::uint32_t bookings = 0;
    /** This relay's own ones by account and by urgency. */
    std::map<std::uint64_t, std::uint32_t> byAccount;
    std::array<std::uint32_t, kUrgencies> byUrgency{};
  };
  /** Time slots of the last two seconds, over which rates are measured. */
  static constexpr std::size_t kRecentSlots = 20;

  /** Number of events in each of the recent slots. */
  struct RecentCount
  {
    std::array<std::uint32_t, kRecentSlots> counts{};
    SlotIndex latest = 0;

    void add(SlotIndex aSlot);
    [[nodiscard]] std::uint32_t sum(SlotIndex aSlot) const;
  };
  struct Service
  {
    std::map<SlotIndex, Slot> slots;
    /** This relay's open bookings by account and by urgency. */
    std::map<std::uint64_t, std::uint32_t> byAccount;
    std::array<std::uint32_t, kUrgencies> byUrgency{};
    RecentCount newRequests;
    RecentCount ended;
  };
  /** Most bookings of a time slot, from the point of view of one request. */
  struct Shares
  {
    /** Of all relays together. */
    std::uint32_t room = 1;
    /** Of this relay, of the request's account and of its urgency here. */
    std::uint32_t relay = 1;
    std::uint32_t account = 1;
    std::uint32_t urgency = 1;
    /** Its account has more bookings than the accounts have on average. */
    bool isAccountAboveMean = false;
  };

  [[nodiscard]] static SlotIndex slotOf(TimePoint aTime);
  [[nodiscard]] Shares sharesOf(const Service& aService,
                                const ReturnRequest& aRequest,
                                TimePoint aNow) const;
  [[nodiscard]] static SlotIndex chooseSlot(const Service& aService,
                                            const ReturnRequest& aRequest,
                                            const Shares& aShares,
                                            SlotIndex aFirst,
                                            SlotIndex aLast);
  static void removeSlot(Service& aService, const Slot& aSlot);
  [[nodiscard]] std::uint32_t roomOf(const Service& aService,
                                     TimePoint aNow) const;

  std::map<std::uint16_t, Service> services;
  std::size_t bookings = 0;
  std::size_t relays = 1;
};

} // namespace poplartrack
