#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "poplartrack/base/Clock.h"
#include "poplartrack/route/RoutePolicy.h"

namespace poplartrack {

/** What one entry has learnt about one endpoint from its own traffic and from
 * the endpoint's load hints. */
struct EndpointRecord
{
  /** Open attempts and calls of this entry at the endpoint. */
  std::uint32_t inFlight = 0;
  /** Smoothed ratio of the measured step time to the hinted one. */
  double slowness = 1;
  /** Failures since the last success. */
  std::uint32_t failures = 0;
  /** No new work before this time, unless no other endpoint covers a layer.
   * Afterwards one trial attempt at a time until one succeeds. */
  TimePoint backoffUntil{};
  /** When the last of them was, and whether all were by silence. */
  TimePoint failedAt{};
  bool onlySilent = false;
  /** When this entry first saw the endpoint. */
  TimePoint firstSeen{};
  /** Expected step of one layer and expected hop to the endpoint when it was
   * last chosen, in microseconds. */
  double expectedLayerMicros = 0;
  double expectedHopMicros = 0;
  TimePoint lastUsed{};

  /** Report time of the newest applied hint, and inFlight at that time. */
  TimePoint hintReportedAt{};
  std::uint32_t inFlightAtHint = 0;
  /** Smoothed time that each step in a batch adds to the step of one layer, in
   * microseconds; 0 if never hinted. The step of a layer takes
   * unitMicros * (RoutePolicy::batchKnee + batch size). */
  double unitMicros = 0;
  /** Number of steps that run together when others wait, that is, the size of a
   * full batch; 0 if no step has waited yet. */
  double batchSize = 0;
  /** Smoothed fraction of its attempts that have a step running or queued
   * there; the steps of the others are at other stages. */
  double activeFraction = 0;
  /** Smoothed ratio of queued steps to running steps. */
  double queueRatio = 0;
};

/** Transparent hash: looks up string keys by string_view. */
struct TextHash
{
  using is_transparent = void;
  std::size_t operator()(std::string_view aText) const noexcept
  {
    return std::hash<std::string_view>{}(aText);
  }
};

/** The records of all recently seen endpoints. Not thread-safe. */
class EndpointMemory
{
public:
  /** Returns the record, created if missing. The reference is valid until
   * forget(). */
  EndpointRecord& at(std::string_view aEndpoint, TimePoint aNow);
  /** Returns the record, or nullptr if there is none. */
  [[nodiscard]] const EndpointRecord* find(std::string_view aEndpoint) const;
  EndpointRecord* find(std::string_view aEndpoint);
  /** Removes records without open work that were not used since aBefore. */
  void forget(TimePoint aBefore);
  [[nodiscard]] std::size_t size() const { return this->records.size(); }

private:
  std::unordered_map<std::string, EndpointRecord, TextHash, std::equal_to<>>
    records;
};

} // namespace poplartrack
