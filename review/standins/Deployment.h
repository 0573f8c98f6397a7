#pragma once

#include <cstddef>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../../tests/standins/lib/UsersStoreStandin.h"
#include "PlainReplica.h"
#include "Record.h"
#include "RelayProcess.h"

namespace poplartrack::review {

/** Arguments of a case: the relay's program, the template of its settings, the
 * file of the record, and whether there is a disruption. */
struct CaseArguments
{
  std::string program;
  std::string settingsTemplate;
  std::string record;
  bool trouble = true;
};

/** Exit codes of a case. */
enum class Verdict : int
{
  Held = 0,
  Broken = 1,
  NotRun = 2,
};

/** Parses "PROGRAM TEMPLATE RECORD", and TROUBLE of the environment. */
std::optional<CaseArguments>
parseArguments(int aCount, char** aWords);

/** A service, and the route to it: "/NAME/". */
struct ServiceSpec
{
  std::string name;
  std::string kind = "idempotent";
  int attempts = 1;
  std::size_t replicas = 3;
  std::chrono::milliseconds work{ 60 };
  ReadPace replicaReadPace;
  /** Two replicas of three stop each such stream in the middle of an event; 0:
   * none does. */
  int stopEvery = 0;
};

/** A small deployment: the store, replicas of plain services, and a relay. */
class Deployment
{
public:
  Deployment(const CaseArguments& aArguments,
             const std::vector<ServiceSpec>& aServices,
             Record& aRecord);
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  ~Deployment();

  RelayProcess& relay() { return *this->relayProcess; }
  /** Waits until the relay is ready, and for the time from the start of the
   * machines to the start of traffic; false if it does not become ready. */
  bool waitForTraffic();

private:
  void pushConfig(const std::vector<ServiceSpec>& aServices);
  /** Writes the entries of the replicas. They do not change later: a heartbeat
   * that only raises Sequence is no change of an entry. */
  void registerReplicas();

  std::filesystem::path folder;
  standins::UsersStoreStandin store;
  std::vector<std::unique_ptr<PlainReplica>> replicas;
  std::unique_ptr<RelayProcess> relayProcess;
};

} // namespace poplartrack::review
