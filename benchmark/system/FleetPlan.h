#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "poplartrack/base/LayerRange.h"
#include "standins/lib/Accelerator.h"

namespace poplartrack::bench {

/** One engine of the measured fleet. */
struct PlannedEngine
{
  std::string name;
  std::string model;
  LayerRange holds;
  standins::Accelerator kind;
  std::string zone;
};

/** What one request of the load asks for, and so what it costs. */
struct RequestShape
{
  std::uint32_t prompt = 5;
  std::uint32_t tokens = 4;
};

/** A model of the fleet. */
struct PlannedModel
{
  std::string name;
  std::uint32_t layers = 0;
};

inline constexpr std::uint32_t kMaxBatch = 8;
/** The version of every model of the fleet. */
inline constexpr const char* kVersion = "v1";

/**
 * Engines of four kinds that hold overlapping layer ranges over three
 * availability zones, and the most that the fleet can do.
 */
class FleetPlan
{
public:
  /** Slows all kinds alike, so that the large model's bound is aBound answer
   * tokens a second for requests of this shape. */
  FleetPlan(double aBound, const RequestShape& aShape);

  [[nodiscard]] const std::vector<PlannedEngine>& engines() const
  {
    return this->planned;
  }
  [[nodiscard]] const std::vector<PlannedModel>& models() const
  {
    return this->known;
  }
  [[nodiscard]] double timeFactor() const { return this->factor; }
  [[nodiscard]] const RequestShape& shape() const { return this->request; }

  /** Answer tokens a second that no routing passes for this model, without
   * the engines in aWithout: the max-flow of the stand-ins' documented rates
   * with full batches, less what prefill takes. */
  [[nodiscard]] double bound(const std::string& aModel,
                             const std::set<std::string>& aWithout = {}) const;

  /** The numbers that go into the bound, as lines for the reader. */
  [[nodiscard]] std::string describe() const;

private:
  RequestShape request;
  std::vector<PlannedModel> known;
  std::vector<PlannedEngine> planned;
  double factor = 1;
};

} // namespace poplartrack::bench
