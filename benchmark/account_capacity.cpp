/**
 * Cost of the shares of client accounts, by the number of relays that report
 * and of accounts of each of them. All accounts have a usual use. Columns:
 * bytes of the rows in a status message; a decision with a recent division, one
 * that computes it, the rows of a status message, the rows of one that has
 * arrived, and recording an accepted request, in ns; share of a core with as
 * many divisions as the bound allows, and the messages of one zone of five
 * received five times a second, of the others 2.5 times. Medians of nine runs.
 */
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "poplartrack/admit/AccountShares.h"
#include "poplartrack/fleet/AccountCapacity.h"
#include "poplartrack/fleet/UsualUse.h"
#include "relay/PeerStatus.h"

namespace {

using namespace poplartrack;

constexpr int kRuns = 9;
constexpr std::array<std::size_t, 3> kRelays{ 30, 300, 1'000 };
/** Accounts with requests at one relay. */
constexpr std::array<std::size_t, 3> kOwnAccounts{ 24, 1'000, 10'000 };
constexpr std::size_t kZones = 5;
constexpr std::uint64_t kAllAccounts = 10'000;
constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
const std::string kService = "model-0123";

std::uint64_t
accountOf(std::size_t aNumber)
{
  return accountHash("account-" + std::to_string(aNumber % kAllAccounts));
}

/** Returns the median time of one of aCalls calls, in ns. */
template<typename Call>
double
timeOf(int aCalls, Call aCall)
{
  std::array<double, kRuns> times{};
  for (double& time : times) {
    const auto from = std::chrono::steady_clock::now();
    for (int i = 0; i < aCalls; ++i) {
      aCall(i);
    }
    time = std::chrono::duration<double, std::nano>(
             std::chrono::steady_clock::now() - from)
             .count() /
           aCalls;
  }
  std::nth_element(times.begin(), times.begin() + kRuns / 2, times.end());
  return times[kRuns / 2];
}

std::size_t
packedBytes(const std::vector<AccountUse>& aRows)
{
  std::vector<AccountRow> rows;
  rows.reserve(aRows.size());
  for (const AccountUse& row : aRows) {
    rows.push_back(AccountRow{ row.service,
                               row.account,
                               static_cast<std::uint32_t>(row.inUse),
                               static_cast<std::uint32_t>(row.waiting),
                               static_cast<std::uint32_t>(row.usual) });
  }
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, rows);
  return bytes.size();
}

void
measure(std::size_t aRelays, std::size_t aAccounts)
{
  AccountCapacity capacity;
  for (std::size_t i = 0; i < aAccounts; ++i) {
    const double tokens = 500 + static_cast<double>(i * 37 % 4'000);
    capacity.onAccepted(kService, accountOf(i), 10 * tokens, kStart);
    capacity.addUse(kService, accountOf(i), tokens);
  }
  for (std::size_t i = 0; i < aAccounts; ++i) {
    capacity.addWaiting(kService, accountOf(i), 400);
  }
  std::vector<std::vector<AccountUse>> reports(aRelays);
  for (std::size_t peer = 0; peer < aRelays; ++peer) {
    for (std::size_t row = 0; row < kMaxAccountRows; ++row) {
      const bool isRest = row + 1 == kMaxAccountRows;
      const std::size_t number =
        aAccounts <= kMaxAccountRows ? row % aAccounts : peer * 31 + row;
      reports[peer].push_back(
        AccountUse{ kService,
                    isRest ? 0 : accountOf(number),
                    4'000.0 + static_cast<double>(10 * row),
                    900,
                    isRest ? 0 : 700.0 + static_cast<double>(10 * row) });
    }
    capacity.onPeer(std::to_string(peer), reports[peer], kStart);
  }
  constexpr int kDecisions = 100'000;
  constexpr int kDivisions = 20;
  const std::vector<std::uint64_t> accounts = [&] {
    std::vector<std::uint64_t> all;
    for (std::size_t i = 0; i < aAccounts; ++i) {
      all.push_back(accountOf(i));
    }
    return all;
  }();
  // Keeps the compiler from leaving the calls out.
  volatile bool within = false;
  const double decision = timeOf(kDecisions, [&](int aCall) {
    const auto share = capacity.accountShareOf(
      kService, accounts[static_cast<std::size_t>(aCall) % aAccounts], kStart);
    within = share.within;
  });
  TimePoint now = kStart;
  const double division = timeOf(kDivisions, [&](int) {
    now += std::chrono::seconds{ 1 };
    within = capacity.accountShareOf(kService, accounts[0], now).within;
  });
  std::size_t bytes = 0;
  const double rows = timeOf(kDivisions, [&](int) {
    bytes = packedBytes(capacity.rows(kMaxAccountRows, now));
  });
  const double arrival = timeOf(10'000, [&](int aCall) {
    const std::size_t peer = static_cast<std::size_t>(aCall) % aRelays;
    capacity.onPeer(std::to_string(peer), reports[peer], now);
  });
  UsualUse usual;
  const double accepted = timeOf(kDecisions, [&](int aCall) {
    usual.onAccepted(accounts[static_cast<std::size_t>(aCall) % aAccounts],
                     900,
                     false,
                     kStart + std::chrono::milliseconds{ aCall });
  });
  const double zoneRelays = static_cast<double>(aRelays) / kZones;
  const double messages =
    5 * zoneRelays + 2.5 * (static_cast<double>(aRelays) - zoneRelays);
  // The interval of divisions grows with the accounts, see AccountCapacity.
  const double known = static_cast<double>(capacity.contending(now));
  const double divisions = std::min(20.0, 1e6 / (50 * known));
  const double perSecond = divisions * division + 5 * rows + messages * arrival;
  std::printf("%6zu %8zu %6zu %9.0f %10.0f %9.0f %9.0f %9.0f %8.3f\n",
              aRelays,
              aAccounts,
              bytes,
              decision,
              division,
              rows,
              arrival,
              accepted,
              perSecond / 1e9 * 100);
}

} // namespace

int
main()
{
  std::printf("%6s %8s %6s %9s %10s %9s %9s %9s %8s\n",
              "relays",
              "accounts",
              "bytes",
              "decision",
              "division",
              "rows",
              "arrival",
              "accepted",
              "core %");
  for (const std::size_t relays : kRelays) {
    for (const std::size_t accounts : kOwnAccounts) {
      measure(relays, accounts);
    }
  }
  return 0;
}
