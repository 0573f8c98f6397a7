#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "poplartrack/admit/FairShare.h"
#include "poplartrack/fleet/AccountTokens.h"
#include "poplartrack/fleet/AccountUse.h"

namespace poplartrack {

/** What the peers of a relay report of the accounts of one service. Not
 * thread-safe. */
class PeerAccounts
{
public:
  /** Adds a row of one account. */
  void add(const AccountUse& aRow);
  /** Removes a row that was added. */
  void remove(const AccountUse& aRow);
  /** Adds the row of a peer's accounts without a row of their own.
   * @param aSmallest The fewest tokens in a row of this peer for one account.
   *   Each of the accounts without a row has at most as many. */
  void addRest(const std::string& aPeer,
               const AccountUse& aRow,
               double aSmallest);
  /** Removes the row that was added by addRest(). */
  void removeRest(const std::string& aPeer, const AccountUse& aRow);

  /** Sum over the rows of all peers, by account. */
  [[nodiscard]] const AccountTable& byAccount() const { return this->accounts; }
  /** What each peer reported of its accounts without a row, as one claim. Its
   * weight is the least number of accounts that it stands for. */
  [[nodiscard]] const std::map<std::string, ShareClaim>& byRest() const
  {
    return this->rests;
  }
  /** Sum over all rows. */
  [[nodiscard]] const AccountTokens& total() const { return this->sum; }
  [[nodiscard]] bool empty() const
  {
    return this->accounts.empty() && this->rests.empty();
  }
  [[nodiscard]] std::size_t size() const
  {
    return this->accounts.size() + this->rests.size();
  }

private:
  AccountTable accounts;
  std::map<std::string, ShareClaim> rests;
  AccountTokens sum;
};

} // namespace poplartrack
