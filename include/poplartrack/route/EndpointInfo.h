#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/LayerRange.h"
#include "poplartrack/wire/LoadHint.h"

namespace poplartrack {

/** What an entry believes of one endpoint. Late; never proof. */
struct EndpointInfo
{
  std::string name;
  std::uint64_t incarnation = 0;
  /** The side's address, "A.B.C.D:PORT". */
  std::string address;
  std::string zone;
  std::string region;
  /** "engine", or the plain service's name. */
  std::string service;
  std::string accelerator;
  std::string model;
  std::string modelVersion;
  LayerRange holds;
  /** When model, version and holds were heard, by a probe; replies to requests
   * refresh the load alone. */
  TimePoint holdsReportedAt{};
  /** Layers that fit the endpoint's memory; 0: it did not say. */
  std::uint32_t capacityLayers = 0;
  /** Layers of one token that it nominally runs a second; 0: it did not say. */
  std::uint32_t layersPerSecond = 0;
  /** Leaving by the instance list or by the side's own word. */
  bool draining = false;
  LoadHint load;
  /** When the load was heard. */
  TimePoint loadReportedAt{};
  /** Smoothed round trip to the side. */
  Duration roundTrip{ 0 };
  /** Calls to it that failed in a row. */
  std::uint32_t failures = 0;
};

/** All endpoints an entry knows, replaced whole. */
struct EndpointView
{
  std::vector<EndpointInfo> endpoints;
};

} // namespace poplartrack
