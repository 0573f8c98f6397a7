#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <msgpack.hpp>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** One entry's demand for one account, sent to the account's owner. */
struct ShareDemand
{
  /** Hash of the account's name, see accountHash(). */
  std::uint64_t account = 0;
  /** Demand relative to the whole limit, in units of 1/1000; at most 65535. */
  std::uint16_t demand = 0;

  friend bool operator==(const ShareDemand&, const ShareDemand&) = default;
  MSGPACK_DEFINE(account, demand);
};

/** The share of an account's limit that the account's owner grants to one
 * entry. */
struct ShareGrant
{
  std::uint64_t account = 0;
  /** Share of the whole limit in units of 1/65535, in addition to the reserved
   * share. */
  std::uint16_t share = 0;

  friend bool operator==(const ShareGrant&, const ShareGrant&) = default;
  MSGPACK_DEFINE(account, share);
};

/** One entry's demands for the accounts that one peer owns. */
struct DemandList
{
  std::string owner;
  std::vector<ShareDemand> demands;
};

/** How account limits are split between entries. */
struct SharePolicy
{
  /** Fraction of each limit that is split evenly between the entries and needs
   * no grant. */
  double reserved = 0.2;
  /** An entry uses a grant for this long after it sent its demand. */
  Duration grantDuration = std::chrono::milliseconds{ 2000 };
  /** The owner counts a grant as in use for this long: grantDuration plus the
   * longest transit time. */
  Duration ownerGrantDuration = std::chrono::milliseconds{ 2500 };
  /** An account without requests for this long is no longer reported. */
  Duration demandTimeout = std::chrono::seconds{ 2 };
};

/**
 * Splits each account's limit between the entries. Each account is owned by one
 * entry, chosen by rendezvous hashing over the live entries. About once a
 * second each entry reports its demand to the owner and receives a share of the
 * limit for a few seconds. The owner never grants more than the limit. This
 * needs no message per request and no table write. Not thread-safe.
 *
 * The limit can be exceeded as follows:
 * - While the entries agree on the list of entries, the rate is not exceeded.
 * - While k entries take themselves for the owner of the account, by
 *   (1 - reserved) * (k - 1) of the limit.
 * - By one request per entry, which is paid back before that entry admits the
 *   account again.
 *
 * When demand moves to another entry, the share follows to within a twentieth
 * of the limit in 5 s.
 */
class AccountShares
{
public:
  explicit AccountShares(const SharePolicy& aPolicy);

  /** Sets the live entries; self is added if it is missing. Before the first
   * call this entry is the only one. Accounts whose ownership moves to this
   * entry are granted only after the grants of the previous owner have ended.
   */
  void setEntries(std::string aSelf,
                  std::vector<std::string> aEntries,
                  TimePoint aNow);
  /** Returns the entry that owns the account; self if it is the only entry. */
  [[nodiscard]] const std::string& ownerOf(std::uint64_t aAccount) const;

  /** Records the demand of one request, in seconds of the account's whole
   * limit. */
  void onDemand(std::uint64_t aAccount, double aSecondsOfLimit, TimePoint aNow);
  /** Returns the share of the account's limit that this entry may use now, 0 to
   * 1. */
  double shareOf(std::uint64_t aAccount, TimePoint aNow);

  /** Returns the demands to send, by owner. Demands for accounts that this
   * entry owns are granted at once and not returned. */
  std::vector<DemandList> demands(TimePoint aNow);
  /** As the owner, grants shares in answer to one entry's demands. Accounts
   * that this entry may not grant yet are left out. */
  std::vector<ShareGrant> grant(const std::string& aEntry,
                                const std::vector<ShareDemand>& aDemands,
                                TimePoint aNow);
  /** Takes over the owner's grants; aRequestedAt is when the demands were sent.
   */
  void onGrants(const std::vector<ShareGrant>& aGrants, TimePoint aRequestedAt);

  /** Returns the number of accounts with state here, as user and as owner. */
  [[nodiscard]] std::size_t accountsKnown() const;

private:
  /** One account as this entry uses it. */
  struct LocalAccount
  {
    /** Smoothed demand relative to the whole limit, as of lastDemand. */
    double demand = 0;
    TimePoint lastDemand{};
    /** Granted share of the limit. */
    double share = 0;
    TimePoint shareEnds{};
    /** When the demand was sent that the share answers. */
    TimePoint grantRequestedAt{};
  };
  /** A grant that may still be in use. */
  struct LiveGrant
  {
    double share = 0;
    TimePoint endsAt{};
  };
  /** An entry with grants for an account that this entry owns. */
  struct Holder
  {
    std::string entry;
    double demand = 0;
    std::vector<LiveGrant> grants;

    /** Returns the largest share among its grants. */
    [[nodiscard]] double largestGrant() const;
  };

  /** A list of entries that has been replaced. */
  struct PreviousList
  {
    std::vector<std::string> entries;
    /** When the last grant made under it ends. */
    TimePoint endsAt{};
  };

  /** Returns whether this entry owns the account and no grant of another owner
   * can still be in use. */
  [[nodiscard]] bool mayGrant(std::uint64_t aAccount, TimePoint aNow) const;
  /** Returns this entry's part of the reserved share. */
  [[nodiscard]] double reservedPerEntry() const;
  void dropEndedGrants(TimePoint aNow);
  /** Grants aEntry a share by its demand and records the grant. */
  double grantShare(std::vector<Holder>& aHolders,
                    const std::string& aEntry,
                    double aDemand,
                    TimePoint aNow) const;

  std::string self;
  SharePolicy policy;
  std::vector<std::string> entries{ {} };
  /** Replaced lists under which grants may still be in use. */
  std::vector<PreviousList> previousLists;
  /** By account hash. */
  std::unordered_map<std::uint64_t, LocalAccount> localAccounts;
  /** Accounts that this entry owns, by account hash. */
  std::unordered_map<std::uint64_t, std::vector<Holder>> owned;
};

/** Returns the hash that stands for an account's name in messages. */
std::uint64_t
accountHash(std::string_view aAccount);

} // namespace poplartrack
