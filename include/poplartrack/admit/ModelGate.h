#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "poplartrack/admit/ConcurrencyLimit.h"
#include "poplartrack/base/Priority.h"

namespace poplartrack {

/**
 * Decides which requests of one model may be in flight at this entry. Each
 * active priority gets at least its floor, more urgent priorities may use more
 * of the limit, and once most of the limit is in use no account gets more than
 * its weighted share. Not thread-safe.
 */
class ModelGate
{
public:
  explicit ModelGate(const AdmissionPolicy& aPolicy);

  /** Returns why one more request is rejected, or an empty text if it may be
   * admitted. Marks the account and the priority as active. */
  std::string_view check(const std::string& aAccount,
                         double aWeight,
                         Priority aPriority,
                         const std::array<double, kPriorityCount>& aFloors,
                         TimePoint aNow);
  /** Counts a request as in flight. */
  void enter(const std::string& aAccount, Priority aPriority);
  /** Counts a request as no longer in flight. */
  void leave(const std::string& aAccount, Priority aPriority);
  /** Records a queue wait; see ConcurrencyLimit::onPressure. */
  void onPressure(double aPressure, TimePoint aNow);

  [[nodiscard]] std::uint32_t inFlight() const { return this->total; }
  [[nodiscard]] double limit() const { return this->concurrency.limit(); }

private:
  /** One account's requests in flight. */
  struct Usage
  {
    std::uint32_t inFlight = 0;
    double weight = 1;
    TimePoint lastRequestAt{};
  };

  /** Sets the account's weight and marks the account as active. */
  void recordRequest(const std::string& aAccount,
                     double aWeight,
                     TimePoint aNow);
  /** Drops accounts that are neither active nor in flight. Runs once per sweep
   * interval. */
  void dropIdle(TimePoint aNow);
  /** Returns the unused part of the floors of the other active priorities, in
   * requests. */
  [[nodiscard]] double reservedForOthers(
    Priority aPriority,
    const std::array<double, kPriorityCount>& aFloors,
    TimePoint aNow) const;

  AdmissionPolicy policy;
  ConcurrencyLimit concurrency;
  /** Requests in flight, in total and by priority. */
  std::uint32_t total = 0;
  std::array<std::uint32_t, kPriorityCount> byPriority{};
  std::array<TimePoint, kPriorityCount> lastRequestAt{};
  std::unordered_map<std::string, Usage> usages;
  /** Sum of the weights in usages. */
  double activeWeight = 0;
  TimePoint nextSweep{};
};

} // namespace poplartrack
