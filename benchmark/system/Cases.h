#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "system/CaseResult.h"
#include "system/Fleet.h"
#include "system/LoadRunner.h"

namespace poplartrack::bench {

/** How long and how much a run measures. */
struct BenchOptions
{
  std::string build;
  /** Answer tokens a second that the large model's bound is set to. */
  double bound = 400;
  /** Long enough for the first answers to end: the window counts tokens of
   * answers that were under way when it began. */
  Duration warm = std::chrono::seconds{ 6 };
  Duration measured = std::chrono::seconds{ 6 };
  Duration deadline = std::chrono::seconds{ 10 };
  std::uint64_t seed = 1;
};

/** The cases of the measuring command, each over a running fleet. */
class Cases
{
public:
  Cases(const BenchOptions& aOptions, const FleetPlan& aPlan);

  /** Both models at this part of their bounds. */
  CaseResult steady(Fleet& aFleet, const std::string& aName, double aPart);
  /** Within the run the large model takes all demand. */
  CaseResult uneven(Fleet& aFleet, const std::string& aName);
  /** Plain calls, idle and while model work is at 200%. */
  CaseResult overload(Fleet& aFleet);
  /** One engine and its side are killed at steady load. */
  CaseResult kill(Fleet& aFleet);
  /** A side stopped by a signal, then an engine of a tenth of its speed. */
  CaseResult frozen(Fleet& aFleet);
  CaseResult slow(Fleet& aFleet);
  /** Three of ten engines fail every step. */
  CaseResult brownOut(Fleet& aFleet);

private:
  using Event = std::function<void()>;

  [[nodiscard]] LoadSpec modelLoad(const std::string& aModel,
                                   double aPart,
                                   Duration aFrom,
                                   Duration aUntil) const;
  [[nodiscard]] std::vector<LoadSpec> bothModels(double aPart) const;
  [[nodiscard]] std::vector<LoadSpec> plainLoad() const;
  /** Runs the load and, at the window's start, the event. */
  std::vector<CallRecord> run(Fleet& aFleet,
                              const std::vector<LoadSpec>& aSpecs,
                              const Event& aEvent);
  [[nodiscard]] Window window() const;
  CaseResult result(const std::string& aName,
                    const std::vector<CallRecord>& aCalls,
                    double aBound) const;
  [[nodiscard]] double bothBounds(
    const std::set<std::string>& aWithout = {}) const;
  /** The engine of the large model that a fault befalls. */
  [[nodiscard]] std::string victim() const;
  void addRecovery(CaseResult& aResult,
                   const std::vector<CallRecord>& aCalls,
                   double aWanted) const;

  BenchOptions options;
  const FleetPlan& plan;
  std::map<std::string, std::uint32_t> layers;
  TimePoint start{};
  std::uint64_t runs = 0;
  double processors = 0;
  double ownProcessors = 0;
};

} // namespace poplartrack::bench
