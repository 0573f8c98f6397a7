#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

#include "poplartrack/admit/AccountShares.h"
#include "poplartrack/admit/AdmissionPolicy.h"
#include "poplartrack/admit/ModelGate.h"
#include "poplartrack/admit/RetryAfter.h"
#include "poplartrack/admit/TokenBucket.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Priority.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/config/Configuration.h"

namespace poplartrack {

/** One request for which admission is asked. */
struct AdmitQuery
{
  std::string account;
  /** The model; empty for a plain call, to which only the account's limits and
   * the deadline apply. */
  std::string model;
  Priority priority = Priority::Normal;
  std::uint32_t promptTokens = 0;
  std::uint32_t tokensWanted = 0;
  TimePoint deadline{};
  /** Expected times of the chosen route; 0 if unknown. */
  Duration expectedFirstToken{ 0 };
  Duration expectedPerToken{ 0 };
  /** The part of expectedPerToken that is spent in queues. */
  Duration expectedWait{ 0 };
};

/** The request is admitted. The ticket is returned with finish(). */
struct Admitted
{
  std::uint64_t ticket = 0;
};

/** The request is rejected; nothing ran. */
struct Refused
{
  Error error;
  /** Time after which the caller may try again; random, and longer under
   * overload. */
  Duration retryAfter{ 0 };
};

/**
 * Decides whether a request is admitted, by account limits, deadline, priority,
 * fair share and the limit on requests in flight. There is no wait queue: a
 * request that cannot run now is rejected at once. Each entry has one object of
 * this class. Not thread-safe: callers hold a lock.
 */
class AdmissionControl
{
public:
  /** Returns BadSettings if the policy is out of range. */
  static Result<AdmissionControl> create(const AdmissionPolicy& aPolicy,
                                         std::uint64_t aSeed);

  /** Takes over the configured accounts and priority floors. Known accounts
   * keep the levels of their token buckets. */
  void configure(const Configuration& aConfiguration, TimePoint aNow);

  /** Admits or rejects a request. Errors: Unauthorized (no such account),
   * AccountOverLimit, DeadlineTooClose, Overloaded; after any of them the
   * request has not run. */
  std::variant<Admitted, Refused> admit(const AdmitQuery& aQuery,
                                        TimePoint aNow);

  /** Ends an admitted request. Unused tokens are refunded to the account. If
   * the answer is incomplete, all tokens are refunded: partial answers are not
   * charged. */
  void finish(std::uint64_t aTicket,
              std::uint32_t aUsedTokens,
              bool aWhole,
              TimePoint aNow);

  /** Records how long a step of the model waited in a queue, in addition to the
   * waits that queries report as expectedWait. */
  void onQueueDelay(const std::string& aModel, Duration aDelay, TimePoint aNow);

  /** Returns this entry's shares of the account limits. */
  [[nodiscard]] AccountShares& shares() { return this->accountShares; }
  /** Returns the model's requests in flight at this entry. */
  [[nodiscard]] std::uint32_t inFlight(const std::string& aModel) const;
  /** Returns the model's current limit on requests in flight at this entry. */
  [[nodiscard]] double limit(const std::string& aModel) const;

private:
  /** An account and its limits at this entry. */
  struct Account
  {
    AccountSpec spec;
    /** Hash of its name, see accountHash(). */
    std::uint64_t hash = 0;
    TokenBucket requests;
    TokenBucket tokens;
  };
  /** What finish() needs to undo an admission. */
  struct Ticket
  {
    std::string account;
    std::string model;
    Priority priority = Priority::Normal;
    /** Tokens taken from the account's bucket. */
    std::uint32_t charged = 0;
  };

  AdmissionControl(const AdmissionPolicy& aPolicy, std::uint64_t aSeed);
  /** Records the demand and returns a rejection if the account is over a limit.
   */
  std::optional<Refused> checkAccount(Account& aAccount,
                                      const AdmitQuery& aQuery,
                                      TimePoint aNow);
  /** Returns the model's gate and creates it on first use. */
  ModelGate& gateOf(const std::string& aModel);
  /** Returns a rejection if the request is not expected to complete before its
   * deadline. */
  std::optional<Refused> checkDeadline(const AdmitQuery& aQuery,
                                       TimePoint aNow);
  /** Sets the account's buckets to this entry's share of its limits. */
  void applyShare(Account& aAccount, TimePoint aNow);
  /** Builds a rejection with a retry time of at least aMinRetryAfter. */
  Refused refuse(ErrorKind aKind,
                 std::string aDetail,
                 Duration aMinRetryAfter,
                 TimePoint aNow);

  AdmissionPolicy policy;
  AccountShares accountShares;
  RetryAfter retryAfter;
  std::unordered_map<std::string, Account> accounts;
  /** By model. */
  std::map<std::string, ModelGate> gates;
  /** By priority: fraction of each model's limit that is reserved for it. */
  std::array<double, kPriorityCount> floors{};
  std::unordered_map<std::uint64_t, Ticket> tickets;
  std::uint64_t nextTicket = 1;
};

} // namespace poplartrack
