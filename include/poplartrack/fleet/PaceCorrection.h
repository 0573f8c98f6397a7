#pragma once

namespace poplartrack {

/** Factors by which actual times differ from the path search's forecasts. */
struct PaceCorrection
{
  double firstEvent = 1;
  double pause = 1;
};

} // namespace poplartrack
