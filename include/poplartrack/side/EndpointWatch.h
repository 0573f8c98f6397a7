#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

#include "poplartrack/base/Clock.h"
#include "poplartrack/side/EngineClient.h"
#include "poplartrack/wire/LoadHint.h"

namespace poplartrack {

/**
 * What a side knows of its endpoint: who it is, its incarnation, its load as
 * the side itself sees it. Thread-safe.
 */
class EndpointWatch
{
public:
  /** aIncarnation is the side's first; it grows when the endpoint restarts. */
  explicit EndpointWatch(std::uint64_t aIncarnation);

  /** The endpoint said who it is. The new incarnation when it was restarted
   * since. */
  std::optional<std::uint64_t> onInfo(const EngineInfo& aInfo);
  /** A step's answer named the endpoint's incarnation. */
  std::optional<std::uint64_t> onEngineIncarnation(std::uint64_t aIncarnation);
  /** The endpoint's own report, for what the side cannot see. */
  void onReport(const LoadHint& aReport);
  /** The endpoint did not answer the watch. */
  void onSilence();

  void onStepStarted();
  /** aDecodeStep: a step of one input; its duration is the time for a token. */
  void onStepEnded(Duration aTook, bool aDecodeStep);

  [[nodiscard]] std::optional<EngineInfo> info() const;
  [[nodiscard]] std::uint64_t incarnation() const;
  /** The load now; attempts are the ledger's to fill in. */
  [[nodiscard]] LoadHint load() const;

private:
  std::optional<std::uint64_t> adopt(std::uint64_t aEngineIncarnation);

  mutable std::mutex guard;
  std::uint64_t ownIncarnation;
  std::optional<EngineInfo> known;
  std::optional<std::uint64_t> engineIncarnation;
  LoadHint report;
  /** Steps handed to the endpoint, those in its own queue included. */
  std::uint32_t running = 0;
  /** The largest batch it has reported: what is above it waits. */
  std::uint32_t batch = 0;
  double stepMicros = 0;
};

} // namespace poplartrack
