#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

#include "poplartrack/base/Clock.h"
#include "poplartrack/side/EngineClient.h"
#include "poplartrack/wire/LoadHint.h"

namespace poplartrack {

/** What a query without an answer changes. */
enum class WatchChange : std::uint8_t
{
  None,
  /** The endpoint is now silent, and a last resort. */
  Silent,
  /** The endpoint now counts as dead. */
  Gone,
};

/**
 * What a side knows of its endpoint: its identity, its incarnation, and its
 * load as the side itself measures it. Thread-safe.
 */
class EndpointWatch
{
public:
  /** An endpoint that has been silent for this long, since the first query
   * without an answer, counts as dead. */
  static constexpr Duration kMaxSilence = std::chrono::seconds{ 3 };

  /** @param aIncarnation the first one; it increases when the endpoint
   * restarts */
  explicit EndpointWatch(std::uint64_t aIncarnation);

  /** Handles the endpoint's description of itself. Returns the new incarnation
   * if it has restarted since the last one. */
  std::optional<std::uint64_t> onInfo(const EngineInfo& aInfo);
  /** Handles the incarnation in the answer to a step. */
  std::optional<std::uint64_t> onEngineIncarnation(std::uint64_t aIncarnation);
  /** Handles the endpoint's own load report, for what the side cannot
   * measure. */
  void onReport(const LoadHint& aReport);
  /** Handles any answer of the endpoint. Returns how long it had been silent,
   * if it was. */
  std::optional<Duration> onAnswer(TimePoint aNow);
  /** Handles a query, sent at aAskedAt, that got no answer in time: a sound
   * endpoint may fall silent for a second, so it keeps its layers until
   * kMaxSilence later. Returns what has changed. */
  WatchChange onSilence(TimePoint aAskedAt, TimePoint aNow);
  /** Handles a query that the endpoint refused or broke off: it holds nothing.
   * Returns what has changed. */
  WatchChange onFailure();

  void onStepStarted();
  /** @param aDecodeStep a step of one input, whose duration is the time for a
   * token */
  void onStepEnded(Duration aTook, bool aDecodeStep);

  [[nodiscard]] std::optional<EngineInfo> info() const;
  /** Returns whether it has not answered the last query. */
  [[nodiscard]] bool silent() const;
  [[nodiscard]] std::uint64_t incarnation() const;
  /** Returns the current load, except for attempts, which the ledger knows. */
  [[nodiscard]] LoadHint load() const;

private:
  std::optional<std::uint64_t> adopt(std::uint64_t aEngineIncarnation);
  WatchChange forget();

  mutable std::mutex guard;
  std::uint64_t ownIncarnation;
  std::optional<EngineInfo> known;
  std::optional<TimePoint> answeredAt;
  std::optional<TimePoint> silentSince;
  std::optional<std::uint64_t> engineIncarnation;
  LoadHint report;
  /** Steps sent to the endpoint, including those in its own queue. */
  std::uint32_t running = 0;
  /** The largest batch it has reported; more steps than that wait. */
  std::uint32_t batch = 0;
  double stepMicros = 0;
};

} // namespace poplartrack
