#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <msgpack.hpp>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** What one entry wants of one account's limit. */
struct ShareDemand
{
  /** Hash of the account's name. */
  std::uint64_t account = 0;
  /** Demand over the whole limit in 1/1000, at most 65535. */
  std::uint16_t demand = 0;

  friend bool operator==(const ShareDemand&, const ShareDemand&) = default;
  MSGPACK_DEFINE(account, demand);
};

/** What the owner of one account lets one entry have of the limit. */
struct ShareGrant
{
  std::uint64_t account = 0;
  /** Part of the whole limit in 1/65535, beside the reserved share. */
  std::uint16_t share = 0;

  friend bool operator==(const ShareGrant&, const ShareGrant&) = default;
  MSGPACK_DEFINE(account, share);
};

/** All wishes of one entry for the accounts that one peer owns. */
struct DemandList
{
  std::string owner;
  std::vector<ShareDemand> demands;
};

/** How account limits are split over entries. */
struct SharePolicy
{
  /** Part of each limit that entries split evenly and need no grant for. */
  double reserved = 0.2;
  /** A grant ends this long after the wish was sent. */
  Duration grantFor = std::chrono::milliseconds{ 2000 };
  /** The owner counts a grant this long: grantFor and the longest transit. */
  Duration ownerHolds = std::chrono::milliseconds{ 2500 };
  /** A demand not renewed is not reported after this time. */
  Duration demandFor = std::chrono::seconds{ 2 };
};

/**
 * Splits each account's limit over the entries. Each account is owned by one
 * entry (rendezvous hash over the live ones). Entries tell the owner their
 * demand about once a second and get a part of the limit for a few seconds;
 * the owner never has more granted than the limit. No message per request, no
 * table write. Not thread-safe.
 *
 * How far the limit can be passed: not at all in rate while the entries agree
 * on the list of entries; by (1 - reserved) * (k - 1) of the limit while k of
 * them believe to own the account; and by one request per entry, paid back
 * before that entry lets the account in again. A share follows demand that
 * moves to another entry to within a twentieth of the limit in 5 s.
 */
class AccountShares
{
public:
  explicit AccountShares(const SharePolicy& aPolicy);

  /** The live entries, self included; until told, this entry is alone.
   * Ownership that moves to this entry is used only after the grants of the
   * owner before have ended. */
  void setEntries(std::string aSelf,
                  std::vector<std::string> aEntries,
                  TimePoint aNow);
  /** Who owns the account; self when alone. */
  [[nodiscard]] const std::string& ownerOf(std::uint64_t aAccount) const;

  /** Demand of one request, as a part of a second of the account's limit. */
  void onDemand(std::uint64_t aAccount, double aSecondsOfLimit, TimePoint aNow);
  /** The part of the account's limit that this entry may use now, 0 to 1. */
  double shareOf(std::uint64_t aAccount, TimePoint aNow);

  /** What to send, by owner, for accounts with demand; self is served here. */
  std::vector<DemandList> demands(TimePoint aNow);
  /** The owner's side: answers one entry's wishes. */
  std::vector<ShareGrant> grant(const std::string& aEntry,
                                const std::vector<ShareDemand>& aDemands,
                                TimePoint aNow);
  /** The owner's answer came; aAsked is when the wishes were sent. */
  void onGrants(const std::vector<ShareGrant>& aGrants, TimePoint aAsked);

  [[nodiscard]] std::size_t accountsKnown() const;

private:
  /** This entry as a user of one account. */
  struct Local
  {
    /** Demand as a part of the limit, smoothed. */
    double demand = 0;
    TimePoint lastDemand{};
    double share = 0;
    TimePoint shareEnds{};
    TimePoint askedAt{};
  };
  /** One grant that may still be in use. */
  struct LiveGrant
  {
    double share = 0;
    TimePoint ends{};
  };
  /** One entry's part of an account that this entry owns. */
  struct Holder
  {
    std::string entry;
    double demand = 0;
    std::vector<LiveGrant> grants;

    [[nodiscard]] double largestGrant() const;
  };

  /** A list of entries that is no longer in force. */
  struct FormerList
  {
    std::vector<std::string> entries;
    /** When the last grant made under it has ended. */
    TimePoint ends{};
  };

  [[nodiscard]] bool ownedThroughout(std::uint64_t aAccount,
                                     TimePoint aNow) const;
  [[nodiscard]] double reservedEach() const;
  void dropEnded(TimePoint aNow);
  double grantOne(std::vector<Holder>& aHolders,
                  const std::string& aEntry,
                  double aDemand,
                  TimePoint aNow) const;

  std::string self;
  SharePolicy policy;
  std::vector<std::string> entries{ {} };
  /** Lists that were in force before, while their owners' grants may last. */
  std::vector<FormerList> formerLists;
  std::unordered_map<std::uint64_t, Local> locals;
  std::unordered_map<std::uint64_t, std::vector<Holder>> owned;
};

/** The hash under which an account's name travels. */
std::uint64_t
accountHash(std::string_view aAccount);

} // namespace poplartrack
