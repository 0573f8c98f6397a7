#include "poplartrack/fleet/ReturnSchedule.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <tuple>

#include <xxhash.h>

namespace poplartrack {
namespace {

/** Returns how many bookings of a time slot each of several sharers may have,
 * at least 1. aRoom: those that the slot has capacity for. */
std::uint32_t
slotShareOf(std::uint32_t aRoom, std::size_t aSharers)
{
  const auto sharers =
    static_cast<std::uint32_t>(std::max<std::size_t>(aSharers, 1));
  return std::max<std::uint32_t>(1, (aRoom + sharers - 1) / sharers);
}

std::uint32_t
countIn(const std::map<std::uint64_t, std::uint32_t>& aCounts,
        std::uint64_t aAccount)
{
  const auto found = aCounts.find(aAccount);
  return found == aCounts.end() ? 0 : found->second;
}

} // namespace

std::uint16_t
serviceHash(std::string_view aService)
{
  return static_cast<std::uint16_t>(
    XXH3_64bits(aService.data(), aService.size()));
}

void
ReturnSchedule::RecentCount::add(SlotIndex aSlot)
{
  const auto size = static_cast<SlotIndex>(this->counts.size());
  if (aSlot - this->latest >= size) {
    this->counts.fill(0);
    this->latest = aSlot;
  }
  while (this->latest < aSlot) {
    ++this->latest;
    this->counts[static_cast<std::size_t>(this->latest % size)] = 0;
  }
  ++this->counts[static_cast<std::size_t>(aSlot % size)];
}

std::uint32_t
ReturnSchedule::RecentCount::sum(SlotIndex aSlot) const
{
  const auto size = static_cast<SlotIndex>(this->counts.size());
  std::uint32_t total = 0;
  // Within the first slots after the clock's epoch there are no earlier ones.
  const SlotIndex oldest =
    std::max<SlotIndex>(0, std::max(this->latest, aSlot) - size + 1);
  for (SlotIndex slot = oldest; slot <= this->latest; ++slot) {
    total += this->counts[static_cast<std::size_t>(slot % size)];
  }
  return total;
}

ReturnSchedule::SlotIndex
ReturnSchedule::slotOf(TimePoint aTime)
{
  return aTime.time_since_epoch() / kSlot;
}

void
ReturnSchedule::onNewRequest(std::uint16_t aService, TimePoint aNow)
{
  this->services[aService].newRequests.add(slotOf(aNow));
}

void
ReturnSchedule::onEnded(std::uint16_t aService, TimePoint aNow)
{
  this->services[aService].ended.add(slotOf(aNow));
}

std::uint32_t
ReturnSchedule::roomOf(const Service& aService, TimePoint aNow) const
{
  const SlotIndex slot = slotOf(aNow);
  const std::uint64_t ended = aService.ended.sum(slot);
  const std::uint64_t started = aService.newRequests.sum(slot);
  if (ended <= started) {
    return 1;
  }
  const std::uint64_t room = (ended - started) * this->relays / kRecentSlots;
  return static_cast<std::uint32_t>(
    std::clamp<std::uint64_t>(room, 1, kMaxBookings));
}

std::uint32_t
ReturnSchedule::expectedRoom(std::uint16_t aService, TimePoint aNow) const
{
  const auto found = this->services.find(aService);
  return found == this->services.end() ? 1 : this->roomOf(found->second, aNow);
}

ReturnSchedule::Shares
ReturnSchedule::sharesOf(const Service& aService,
                         const ReturnRequest& aRequest,
                         TimePoint aNow) const
{
  const std::uint32_t own = countIn(aService.byAccount, aRequest.account);
  const std::size_t accounts = aService.byAccount.size() + (own == 0 ? 1 : 0);
  const std::uint32_t ofUrgency =
    aService.byUrgency[static_cast<std::size_t>(aRequest.urgency)];
  const auto urgencies = static_cast<std::size_t>(
    std::count_if(aService.byUrgency.begin(),
                  aService.byUrgency.end(),
                  [](std::uint32_t aCount) { return aCount > 0; }) +
    (ofUrgency == 0 ? 1 : 0));
  const std::size_t total = std::accumulate(
    aService.byUrgency.begin(), aService.byUrgency.end(), std::size_t{ 0 });
  Shares shares;
  shares.room = this->roomOf(aService, aNow);
  shares.relay = slotShareOf(shares.room, this->relays);
  shares.account = slotShareOf(shares.room, accounts);
  shares.urgency = slotShareOf(shares.room, urgencies);
  shares.isAccountAboveMean = own * accounts > total;
  return shares;
}

ReturnSchedule::SlotIndex
ReturnSchedule::chooseSlot(const Service& aService,
                           const ReturnRequest& aRequest,
                           const Shares& aShares,
                           SlotIndex aFirst,
                           SlotIndex aLast)
{
  static const Slot kEmpty;
  const auto urgency = static_cast<std::size_t>(aRequest.urgency);
  auto next = aService.slots.lower_bound(aFirst);
  std::optional<SlotIndex> lastWithRoom;
  SlotIndex leastBooked = aFirst;
  std::tuple<std::uint32_t, std::uint32_t, std::uint32_t> fewest{ UINT32_MAX,
                                                                  0,
                                                                  0 };
  for (SlotIndex index = aFirst; index <= aLast; ++index) {
    const bool isBooked = next != aService.slots.end() && next->first == index;
    const Slot& slot = isBooked ? (next++)->second : kEmpty;
    const std::uint32_t ofAccount = countIn(slot.byAccount, aRequest.account);
    const std::uint32_t ofUrgency = slot.byUrgency[urgency];
    if (slot.bookings < aShares.room) {
      const std::uint32_t own =
        std::accumulate(slot.byUrgency.begin(), slot.byUrgency.end(), 0U);
      if (own < aShares.relay && ofAccount < aShares.account &&
          ofUrgency < aShares.urgency) {
        return index;
      }
      lastWithRoom = index;
    }
    // Among the least booked ones, an account with many bookings gets the last.
    const std::tuple booked{ slot.bookings, ofAccount, ofUrgency };
    if (booked < fewest || (aShares.isAccountAboveMean && booked == fewest)) {
      fewest = booked;
      leastBooked = index;
    }
  }
  return lastWithRoom.value_or(leastBooked);
}

ReturnBooking
ReturnSchedule::book(const ReturnRequest& aRequest,
                     const DelayRange& aRange,
                     TimePoint aNow)
{
  ReturnRequest request = aRequest;
  request.urgency = std::clamp(request.urgency, 0, kUrgencies - 1);
  const TimePoint from =
    aNow + std::clamp(aRange.min, Duration{ 0 }, kMaxAhead);
  const TimePoint until =
    std::max(from, aNow + std::min(aRange.max, kMaxAhead));
  constexpr std::uint64_t kJitterSteps = 1'000;
  const auto within = [&](TimePoint aStart, TimePoint aEnd) {
    return aStart +
           (aEnd - aStart) *
             static_cast<std::int64_t>(request.jitterSeed % kJitterSteps) /
             static_cast<std::int64_t>(kJitterSteps);
  };
  if (this->bookings >= kMaxBookings) {
    return ReturnBooking{ within(from, until), 0, 0 };
  }
  Service& service = this->services[request.service];
  const Shares shares = this->sharesOf(service, request, aNow);
  const SlotIndex index =
    chooseSlot(service, request, shares, slotOf(from), slotOf(until));
  const TimePoint start{ index * kSlot };
  Slot& slot = service.slots[index];
  const auto urgency = static_cast<std::size_t>(request.urgency);
  ++slot.bookings;
  ++slot.byAccount[request.account];
  ++slot.byUrgency[urgency];
  ++service.byAccount[request.account];
  ++service.byUrgency[urgency];
  ++this->bookings;
  return ReturnBooking{ within(std::max(start, from),
                               std::min(start + kSlot, until)),
                        slot.bookings,
                        shares.room };
}

void
ReturnSchedule::onPeerBooking(std::uint16_t aService,
                              TimePoint aDue,
                              TimePoint aNow)
{
  if (aDue < aNow || aDue - aNow > kMaxAhead ||
      this->bookings >= kMaxBookings) {
    return;
  }
  ++this->services[aService].slots[slotOf(aDue)].bookings;
  ++this->bookings;
}

/** Takes a slot that is over out of the counts of its service. */
void
ReturnSchedule::removeSlot(Service& aService, const Slot& aSlot)
{
  for (const auto& [account, count] : aSlot.byAccount) {
    const auto open = aService.byAccount.find(account);
    open->second -= count;
    if (open->second == 0) {
      aService.byAccount.erase(open);
    }
  }
  for (std::size_t i = 0; i < aSlot.byUrgency.size(); ++i) {
    aService.byUrgency[i] -= aSlot.byUrgency[i];
  }
}

void
ReturnSchedule::expire(TimePoint aNow)
{
  const SlotIndex current = slotOf(aNow);
  for (auto& [name, service] : this->services) {
    auto& slots = service.slots;
    while (!slots.empty() && slots.begin()->first < current) {
      this->bookings -= slots.begin()->second.bookings;
      removeSlot(service, slots.begin()->second);
      slots.erase(slots.begin());
    }
  }
  std::erase_if(this->services, [current](const auto& aEntry) {
    const Service& service = aEntry.second;
    return service.slots.empty() && service.newRequests.sum(current) == 0 &&
           service.ended.sum(current) == 0;
  });
}

} // namespace poplartrack
