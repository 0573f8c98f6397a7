#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/ErrorKind.h"
#include "poplartrack/observe/AnswerExcess.h"
#include "poplartrack/observe/RetryReason.h"
#include "poplartrack/observe/StoreCall.h"

namespace poplartrack {

class LatencySummary;

/**
 * The counters, gauges and latency summaries of one process, rendered in the
 * Prometheus text format. Counting is one relaxed atomic add.
 */
class Metrics
{
public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  /** One request refused or failed with this kind. */
  void countRefusal(ErrorKind aKind);
  /** One piece of work tried again. */
  void countRetry(RetryReason aReason);
  /** One answer of a replica that exceeded this bound. */
  void countExcess(AnswerExcess aExcess);
  /** Calls of the store for this reason. */
  void countStoreCall(StoreCall aCall, std::uint64_t aAmount = 1);
  /** Adds to a named counter; names follow Prometheus ("..._total"). */
  void count(std::string_view aName, std::uint64_t aAmount = 1);
  /** Sets a named gauge. */
  void set(std::string_view aName, std::int64_t aValue);
  /** Adds one observation to a named summary, rendered in seconds. */
  void observe(std::string_view aName, Duration aValue);

  [[nodiscard]] std::uint64_t refusals(ErrorKind aKind) const;
  [[nodiscard]] std::uint64_t retries(RetryReason aReason) const;
  [[nodiscard]] std::uint64_t excesses(AnswerExcess aExcess) const;
  [[nodiscard]] std::uint64_t storeCalls(StoreCall aCall) const;
  [[nodiscard]] std::uint64_t counter(std::string_view aName) const;
  /** All of it as Prometheus text. */
  [[nodiscard]] std::string render() const;

private:
  std::array<std::atomic<std::uint64_t>, kErrorKindCount> refusalCounts{};
  std::array<std::atomic<std::uint64_t>, kRetryReasonCount> retryCounts{};
  std::array<std::atomic<std::uint64_t>, kAnswerExcessCount> excessCounts{};
  std::array<std::atomic<std::uint64_t>, kStoreCallCount> storeCallCounts{};
  mutable std::mutex named;
  std::map<std::string, std::uint64_t, std::less<>> counters;
  std::map<std::string, std::int64_t, std::less<>> gauges;
  std::map<std::string, std::unique_ptr<LatencySummary>, std::less<>> summaries;
};

} // namespace poplartrack
