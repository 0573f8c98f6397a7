#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "poplartrack/base/LayerRange.h"

namespace poplartrack {

/** One stage of a route: an endpoint and the layers that it runs. */
struct RouteStage
{
  std::string endpoint;
  /** Incarnation of the side. A side that has restarted since rejects the
   * stage. */
  std::uint64_t incarnation = 0;
  /** The side's address, "A.B.C.D:PORT". */
  std::string address;
  /** The layers that it runs, which may be fewer than it holds. */
  LayerRange runs;

  friend bool operator==(const RouteStage&, const RouteStage&) = default;
  MSGPACK_DEFINE(endpoint, incarnation, address, runs);
};

/** Stages that cover [0, L) of one model version once, in order. */
using Route = std::vector<RouteStage>;

} // namespace poplartrack
