#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "poplartrack/admit/FairShare.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/AccountShare.h"
#include "poplartrack/fleet/AccountTokens.h"
#include "poplartrack/fleet/AccountUse.h"
#include "poplartrack/fleet/PeerAccounts.h"
#include "poplartrack/fleet/UsualUse.h"

namespace poplartrack {

/**
 * Divides the capacity of services that are short of it over the client
 * accounts, counted over all relays. The capacity is the number of tokens in
 * use by all accounts. The weight of an account is what it usually asks for,
 * over all relays, divided by the median over the accounts that ask; an account
 * without history counts as the median.
 *
 * A service is short of capacity while a request of any relay waits for it, or
 * was refused for lack of it within the last second. Otherwise each account may
 * start requests.
 *
 * An account may start a request while its use is at most its share. Its use
 * with the request may be above the share: if that were not allowed, two
 * accounts that both use exactly their share could never start another request,
 * and the capacity would fall with each one that ends.
 *
 * The division is computed at most every 50 ms, and less often with more than
 * 1,000 accounts, so that a decision does not walk all accounts. Pure; not
 * thread-safe.
 */
class AccountCapacity
{
public:
  /** Counts a request in flight, or no longer. */
  void addUse(const std::string& aService,
              std::uint64_t aAccount,
              double aTokens);
  void removeUse(const std::string& aService,
                 std::uint64_t aAccount,
                 double aTokens);
  /** Counts a request that waits for capacity, or no longer. */
  void addWaiting(const std::string& aService,
                  std::uint64_t aAccount,
                  double aTokens);
  void removeWaiting(const std::string& aService,
                     std::uint64_t aAccount,
                     double aTokens);
  /** Records that a request was refused for lack of capacity. */
  void onRefused(const std::string& aService,
                 std::uint64_t aAccount,
                 TimePoint aNow);

  /** Records the first start of a request that has not waited for capacity. It
   * counts as usual use unless the service is short of capacity. */
  void onAccepted(const std::string& aService,
                  std::uint64_t aAccount,
                  double aTokens,
                  TimePoint aNow);

  /** Replaces what another relay reported. */
  void onPeer(const std::string& aPeer,
              std::vector<AccountUse> aRows,
              TimePoint aNow);
  /** Forgets relays that have sent no report for too long, and records whether
   * services are short of capacity. To be called at least once a second. */
  void expire(TimePoint aNow);

  [[nodiscard]] bool isShort(const std::string& aService, TimePoint aNow) const;
  /** Decides whether the account may start one more request. */
  AccountShare accountShareOf(const std::string& aService,
                              std::uint64_t aAccount,
                              TimePoint aNow);

  /** Returns whether a request of an account beyond its share may look for free
   * capacity now: one does so for each service and round of the wait queue. */
  [[nodiscard]] bool mayProbe(const std::string& aService,
                              TimePoint aNow) const;
  /**
   * Records whether such a request has found free capacity, and returns whether
   * it may use it. It may once capacity has been free for so long that the
   * requests within their share at all relays would have taken it; they
   * cannot use it then, for instance because they are larger. Otherwise the
   * capacity would stay unused, and with it all shares would fall.
   */
  bool onProbe(const std::string& aService, bool aFound, TimePoint aNow);

  /** Returns what this relay reports to the others: at most aMaxRows rows, the
   * accounts with the most tokens first. Accounts without requests here come
   * last, those with the most usual use first; without them, the others would
   * know what is usual here only of accounts with requests. Empty unless a
   * service is short of capacity. */
  [[nodiscard]] std::vector<AccountUse> rows(std::size_t aMaxRows,
                                             TimePoint aNow) const;
  /** Returns the number of accounts that are known to use, or wait for, a
   * service that is short of capacity. */
  std::size_t contending(TimePoint aNow);
  /** Returns the number of accounts and services with a usual use here. */
  [[nodiscard]] std::size_t usualEntries() const;
  /** Returns the number of entries by account, for tests of its bounds. */
  [[nodiscard]] std::size_t entries() const;

private:
  /** A refusal for lack of capacity. */
  struct RefusalRecord
  {
    std::uint64_t account = 0;
    TimePoint at{};
  };

  struct Service
  {
    /** The requests of this relay, by account, and their sum. */
    AccountTable own;
    AccountTokens ownTotal;
    PeerAccounts peers;
    /** What accounts usually ask of this relay. */
    UsualUse usual;
    std::optional<RefusalRecord> refusal;
    FairShare share;
    /** Weights used for `share`, by account; accounts not listed have 1. Fixed
     * until the next division: a new weight with the old level would give a
     * share that is too large. */
    std::unordered_map<std::uint64_t, double> weights;
    /** When share was computed. */
    std::optional<TimePoint> dividedAt;
    /** Number of accounts in it. */
    std::size_t accounts = 0;
    TimePoint probedAt{};
    /** Since when each probe has found free capacity. */
    std::optional<TimePoint> freeSince;
  };

  struct Peer
  {
    std::vector<AccountUse> rows;
    TimePoint receivedAt;
  };

  void changeOwn(const std::string& aService,
                 std::uint64_t aAccount,
                 const AccountTokens& aChange,
                 bool aAdd);
  void addRows(const std::string& aPeer, const std::vector<AccountUse>& aRows);
  void removeRows(const std::string& aPeer,
                  const std::vector<AccountUse>& aRows);
  [[nodiscard]] static bool wasRefused(const Service& aService, TimePoint aNow);
  [[nodiscard]] static bool isShort(const Service& aService, TimePoint aNow);
  /** Computes the division unless a recent one exists. */
  static void divide(Service& aService, TimePoint aNow);
  /** Returns what the account has at all relays. */
  [[nodiscard]] static AccountTokens useOf(const Service& aService,
                                           std::uint64_t aAccount);

  std::map<std::string, Service> services;
  std::map<std::string, Peer> peers;
};

} // namespace poplartrack
