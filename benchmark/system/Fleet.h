#pragma once

#include <csignal>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "harness/ChildProcess.h"
#include "poplartrack/http/HttpClient.h"
#include "system/FleetPlan.h"

namespace poplartrack::bench {

/** Where the programs are and which one plays the entries. */
struct FleetPrograms
{
  /** The build folder. */
  std::string build;
  /** The entries' program: the shipped one or a baseline. */
  std::string entry = "poplartrack";
};

/**
 * The whole system as real processes: platform, one engine process with every
 * engine of the plan, plain services, a side for each, an entry in each zone.
 * All of them end with it.
 */
class Fleet
{
public:
  /** Starts everything and waits until every entry sees every endpoint. */
  static Result<std::unique_ptr<Fleet>> start(const FleetPlan& aPlan,
                                              const FleetPrograms& aPrograms);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;
  /** Ends the processes it started, and removes its files. */
  ~Fleet();

  /** The entries' addresses for callers. */
  [[nodiscard]] const std::vector<std::string>& entries() const
  {
    return this->callers;
  }
  /** Sets an engine's faults, or ends it ("die"), by the stand-ins' port. */
  Result<Done> engine(const std::string& aName,
                      const std::string& aWord,
                      const nlohmann::json& aBody);
  /** Signals the side of an endpoint. */
  bool signalSide(const std::string& aEndpoint, int aSignal);
  /** Whether some entry has heard that this endpoint fails. */
  bool anyEntrySeesFailure(const std::string& aEndpoint);
  /** A counter, all labels of it, added up over the entries. */
  double counter(const std::string& aName);
  /** Retries by reason, added up over the entries. */
  std::map<std::string, double> retries();

private:
  Fleet(FleetPrograms aPrograms, std::string aFolder);

  Result<Done> startAll(const FleetPlan& aPlan);
  Result<Done> startEngines(const FleetPlan& aPlan);
  Result<Done> startServices();
  Result<Done> startSide(const std::string& aEndpoint,
                         const std::string& aKind,
                         const std::string& aAddress,
                         const std::string& aZone);
  Result<Done> startEntry(const std::string& aZone);
  Result<Done> pushSettings(const FleetPlan& aPlan);
  Result<Done> awaitEndpoints(std::size_t aCount);
  Result<std::string> spawn(const std::string& aName,
                            const std::vector<std::string>& aCommand,
                            const std::string& aKey);
  [[nodiscard]] std::string path(const std::string& aFile) const;
  [[nodiscard]] std::string processText(const std::string& aName,
                                        const std::string& aZone) const;
  void list(const std::string& aName,
            const std::string& aRole,
            const std::string& aZone,
            const std::string& aAddress);
  /** The lines of all entries' metrics pages that start with this. */
  std::vector<std::string> metricLines(const std::string& aStart);
  nlohmann::json get(const std::string& aUrl);
  Result<Done> post(const std::string& aUrl, const nlohmann::json& aBody);

  FleetPrograms programs;
  std::string folder;
  std::unique_ptr<HttpClient> http;
  std::string platform;
  std::string control;
  std::vector<std::string> callers;
  nlohmann::json instances = nlohmann::json::array();
  std::map<std::string, std::string> engineAddresses;
  std::map<std::string, std::unique_ptr<harness::ChildProcess>> processes;
};

} // namespace poplartrack::bench
