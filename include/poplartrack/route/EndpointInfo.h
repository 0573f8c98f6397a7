#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/LayerRange.h"
#include "poplartrack/wire/LoadHint.h"

namespace poplartrack {

/** The last reported state of one endpoint. It may be outdated and proves
 * nothing about the present. */
struct EndpointInfo
{
  std::string name;
  /** The side's incarnation; each restart has a new one. */
  std::uint64_t incarnation = 0;
  /** The side's address, "A.B.C.D:PORT". */
  std::string address;
  std::string zone;
  std::string region;
  /** "engine", or the name of the plain service. */
  std::string service;
  std::string accelerator;
  std::string model;
  std::string modelVersion;
  /** Layers of the model that the endpoint holds. */
  LayerRange holds;
  /** When a probe last reported model, version and holds; replies to requests
   * update only the load. */
  TimePoint holdsReportedAt{};
  /** Number of layers that fit the endpoint's memory; 0 if not reported. */
  std::uint32_t capacityLayers = 0;
  /** Nominal speed in layers of one token per second; 0 if not reported. */
  std::uint32_t layersPerSecond = 0;
  /** Draining, according to the instance list or to the side itself. */
  bool draining = false;
  /** It does not answer its side: a last resort. */
  bool silent = false;
  LoadHint load;
  /** When the load was last reported. */
  TimePoint loadReportedAt{};
  /** Smoothed round trip to the side. */
  Duration roundTrip{ 0 };
  /** Number of consecutive failed calls to it. */
  std::uint32_t failures = 0;
};

/** Number of consecutive failed calls that make an endpoint a last resort. */
constexpr std::uint32_t kLastResortFailures = 2;

/** Returns whether the endpoint is used only if no other covers a layer. */
[[nodiscard]] inline bool
isLastResort(const EndpointInfo& aInfo)
{
  return aInfo.silent || aInfo.failures >= kLastResortFailures;
}

/** All endpoints that an entry knows. An update replaces the whole view. */
struct EndpointView
{
  std::vector<EndpointInfo> endpoints;
};

} // namespace poplartrack
