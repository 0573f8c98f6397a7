#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "poplartrack/place/ModelCoverage.h"
#include "poplartrack/place/PlacementInput.h"
#include "poplartrack/place/PlacementPlan.h"

namespace poplartrack {

/** Builds a placement plan in steps, starting with the layers that the
 * endpoints hold now. Used by planPlacement(). */
class PlacementBuilder
{
public:
  PlacementBuilder(const PlacementInput& aInput,
                   const PlacementPolicy& aPolicy);

  /** Assigns layers to empty endpoints, those with the largest capacity
   * first. */
  void fillEmpty();
  /** Moves endpoints whose layers have spare copies to layers with fewer than
   * minCopies. */
  void fillMissing();
  /** Moves a few endpoints from layers with low load to layers with high
   * load. */
  void balance();
  /** Returns the plan that the steps so far have built. */
  [[nodiscard]] PlacementPlan plan() const;

private:
  /** A model of the configuration and its current coverage. */
  struct Model
  {
    std::string name;
    std::string version;
    ModelCoverage coverage;
  };
  /** The layers that one endpoint is to hold. */
  struct Assignment
  {
    /** Index in models. */
    std::size_t model = 0;
    LayerRange holds;
  };
  /** An endpoint and its assignment in the plan so far. */
  struct Engine
  {
    const PlacementEndpoint* endpoint = nullptr;
    /** Index of its availability zone. */
    std::size_t zone = 0;
    /** Empty if it is to hold nothing. */
    std::optional<Assignment> assignment;
    /** The layers that it held before planning, if they still fit the
     * configuration and its memory. */
    std::optional<Assignment> initial;
  };
  /** A possible assignment and its benefit. */
  struct ScoredAssignment
  {
    Assignment assignment;
    /** Copies that it adds to layers with fewer than minCopies. */
    std::uint32_t missingFilled = 0;
    /** Load cost that it removes. */
    double gain = 0;
  };
  /** An engine that can be moved without leaving a layer below minCopies. */
  struct Donor
  {
    /** Index in engines. */
    std::size_t engineIndex = 0;
    /** Its best new assignment. */
    ScoredAssignment target;
    /** Load cost that removing its current assignment adds. */
    double loss = 0;
  };

  /** Reads the models of the configuration, with scaled demand. */
  void addModels(const PlacementInput& aInput);
  /** Assigns to each engine the layers that it already holds. */
  void addInitialAssignments();
  /** Returns the layers that the endpoint holds, if they still fit the
   * configuration and its memory. */
  [[nodiscard]] std::optional<Assignment> currentAssignment(
    const PlacementEndpoint& aEndpoint) const;
  /** Returns what the engine adds to its model's coverage. */
  [[nodiscard]] CoverPart coverPartOf(const Engine& aEngine,
                                      const Assignment& aAssignment) const;
  void assign(Engine& aEngine, const Assignment& aAssignment);
  void unassign(Engine& aEngine);
  /** Returns the best assignment over all models: most missing copies first,
   * then greatest gain. */
  [[nodiscard]] ScoredAssignment bestAssignment(const Engine& aEngine) const;
  /** Returns the engine that is best moved; if aForMissing, only one that adds
   * missing copies. */
  [[nodiscard]] std::optional<Donor> bestDonor(bool aForMissing) const;
  /** Returns the number of missing copies of all models. */
  [[nodiscard]] std::uint32_t missingCopies() const;

  PlacementPolicy policy;
  std::vector<Model> models;
  /** Index in models, by name. */
  std::map<std::string, std::size_t> modelIndex;
  std::vector<Engine> engines;
  std::size_t zoneCount = 0;
};

} // namespace poplartrack
