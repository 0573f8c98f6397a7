/**
 * Time of a booking and of a look-up of returning callers, beside the choice by
 * a hash that a relay makes without bookings, and the bytes that the bookings
 * add to what a relay receives in status messages, by the number of relays. The
 * bytes are those of rows at the given rate of rejections, in a region of eight
 * zones: all messages of the own zone, every second one of the others.
 */
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include <msgpack.hpp>

#include "poplartrack/fleet/ExpectedReturns.h"
#include "poplartrack/fleet/ReturnSchedule.h"
#include "relay/PeerStatus.h"
#include "relay/RetryAdvice.h"

namespace {

using namespace poplartrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<std::size_t, 3> kRelays{ 30, 300, 1'000 };
constexpr std::size_t kZones = 8;
constexpr double kStatusPerSecond = 5;
constexpr TimePoint kStart{ seconds{ 1'000 } };
constexpr std::uint64_t kAccounts = 100;
constexpr int kServices = 17;
constexpr int kCalls = 200'000;

/** Prints the mean time of a call. */
template<typename Call>
void
measure(const char* aWhat, Call aCall, int aCalls = kCalls)
{
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < aCalls; ++i) {
    aCall(i);
  }
  const auto took = std::chrono::steady_clock::now() - begin;
  std::printf(
    "%-44s %8.0f ns\n",
    aWhat,
    static_cast<double>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(took).count()) /
      aCalls);
}

RefusalState
stateOf(int aCall)
{
  RefusalState state;
  state.timeLeft = seconds{ 30 };
  state.jitterSeed = static_cast<std::uint64_t>(aCall) * 7'919;
  return state;
}

/** A relay rejects a request each millisecond and expires each 200 ms. */
void
measureBooking(const char* aWhat, int aEndedPerSlot)
{
  ReturnSchedule schedule;
  measure(aWhat, [&](int aCall) {
    const TimePoint now = kStart + milliseconds{ aCall };
    const auto service = static_cast<std::uint16_t>(aCall % kServices);
    for (int i = 0; i < aEndedPerSlot && aCall % 100 < kServices; ++i) {
      schedule.onEnded(service, now);
    }
    const ReturnRequest request{ service,
                                 static_cast<std::uint64_t>(aCall) % kAccounts,
                                 aCall % 3,
                                 static_cast<std::uint64_t>(aCall) };
    if (!bookRetry(stateOf(aCall), request, schedule, now)) {
      std::abort();
    }
    if (aCall % 200 == 0) {
      schedule.expire(now);
    }
  });
}

void
measureExpected()
{
  ExpectedReturns full;
  for (std::uint32_t i = 0; i < ExpectedReturns::kMaxEntries; ++i) {
    full.add(i, 1, kStart, kStart);
  }
  measure("look-up of a new request, 8,192 expected", [&](int aCall) {
    if (full.take(static_cast<std::uint32_t>(aCall) + 1'000'000, kStart)) {
      std::abort();
    }
  });
  measure("look-up of a return, 8,192 expected", [&](int aCall) {
    static_cast<void>(full.take(static_cast<std::uint32_t>(aCall) %
                                  ExpectedReturns::kMaxEntries,
                                kStart));
  });
  ExpectedReturns peers;
  std::vector<ReturnReport> rows(kMaxReturnRows);
  measure("row of a peer, 64 in a message, 8,192 known", [&](int aCall) {
    const auto index = static_cast<std::size_t>(aCall) % rows.size();
    rows[index] = { static_cast<std::uint32_t>(aCall), 1, seconds{ 4 } };
    if (index + 1 == rows.size()) {
      static_cast<void>(peers.onPeer({ 1, kStart }, rows, kStart));
    }
  });
  constexpr int kDrops = 2'000;
  measure(
    "drop of what is over, 8,192 entries, none over",
    [&](int) { full.expire(kStart); },
    kDrops);
}

/** Returns the bytes that this many rows add to a status message. */
std::size_t
bytesOf(std::size_t aRows)
{
  PeerStatus status;
  msgpack::sbuffer without;
  msgpack::pack(without, status);
  for (std::size_t i = 0; i < aRows; ++i) {
    status.returns.push_back(
      ReturnRow{ 0x80000000U + static_cast<std::uint32_t>(i), 4'000, 0x8000 });
  }
  msgpack::sbuffer with;
  msgpack::pack(with, status);
  return with.size() - without.size();
}

} // namespace

int
main()
{
  Duration sum{ 0 };
  measure("baseline: delay by a hash",
          [&](int aCall) { sum += retryAdvice(stateOf(aCall)); });
  if (sum == Duration{ 0 }) {
    std::abort();
  }
  measureBooking("booking, all slots full", 0);
  measureBooking("booking, room for 5 in a slot", 5);
  measureExpected();
  std::printf("\n%6s %22s %12s %12s\n",
              "relays",
              "rejected/s at a relay",
              "B a message",
              "received B/s");
  for (const std::size_t relays : kRelays) {
    for (const std::size_t rejected : { 0U, 1U, 12U, 64U }) {
      const std::size_t bytes = bytesOf(std::min(rejected, kMaxReturnRows));
      const double own = static_cast<double>(relays) / kZones;
      const double messages =
        kStatusPerSecond * (own + (static_cast<double>(relays) - own) / 2);
      std::printf("%6zu %22zu %12zu %12.0f\n",
                  relays,
                  rejected,
                  bytes,
                  messages * static_cast<double>(bytes));
    }
  }
  return 0;
}
