#include "Deployment.h"

#include <array>
#include <chrono>
#include <cstdlib>
#include <string_view>
#include <thread>

#include <nlohmann/json.hpp>

#include "../../platform/WireNames.h"

namespace poplartrack::review {
namespace {

using Json = nlohmann::json;

/** Replicas of a service to which ServiceSpec::stopEvery applies. */
constexpr std::size_t kFaultyReplicas = 2;

/** Traffic starts this long after the machines. */
constexpr std::chrono::seconds kLead{ 10 };

/** Creates a folder for temporary files. */
std::filesystem::path
temporaryFolder()
{
  std::string path =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(path.data()) == nullptr) {
    std::abort();
  }
  return path;
}

Json
routeOf(const ServiceSpec& aService)
{
  return { { "Name", aService.name },
           { "Host", "review.example" },
           { "Prefix", "/" + aService.name + "/" },
           { "Kind", aService.kind },
           { "Service", aService.name },
           { "TimeoutMs", 20'000 },
           { "SloMs", 500 },
           { "Priority", 1 },
           { "Attempts", aService.attempts },
           { "Resumable", aService.kind == "streaming" },
           { "GapAimMs", 200 },
           { "Public", false } };
}

} // namespace

std::optional<CaseArguments>
parseArguments(int aCount, char** aWords)
{
  constexpr int kWords = 4;
  if (aCount != kWords) {
    return std::nullopt;
  }
  CaseArguments arguments;
  arguments.program = aWords[1];
  arguments.settingsTemplate = aWords[2];
  arguments.record = aWords[3];
  const char* trouble = std::getenv("TROUBLE");
  arguments.trouble = trouble == nullptr || std::string_view{ trouble } != "0";
  return arguments;
}

Deployment::Deployment(const CaseArguments& aArguments,
                       const std::vector<ServiceSpec>& aServices,
                       Record& aRecord)
  : folder(temporaryFolder())
{
  this->store.faults.longPolls = true;
  this->pushConfig(aServices);
  for (const ServiceSpec& service : aServices) {
    for (std::size_t i = 0; i < service.replicas; ++i) {
      PlainReplicaSettings settings;
      settings.id = service.name + "-" + std::to_string(i);
      settings.service = service.name;
      settings.work = service.work;
      settings.readPace = service.replicaReadPace;
      settings.streams = service.kind == "streaming";
      settings.stopEvery = i < kFaultyReplicas ? service.stopEvery : 0;
      this->replicas.push_back(
        std::make_unique<PlainReplica>(settings, aRecord));
    }
  }
  this->registerReplicas();
  RelayProcessSettings settings;
  settings.program = aArguments.program;
  settings.settingsTemplate = aArguments.settingsTemplate;
  settings.folder = this->folder.string();
  settings.store = this->store.address();
  this->relayProcess = std::make_unique<RelayProcess>(settings, aRecord);
}

Deployment::~Deployment()
{
  this->relayProcess.reset();
  this->replicas.clear();
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

bool
Deployment::waitForTraffic()
{
  if (!this->relayProcess->waitReady()) {
    return false;
  }
  std::this_thread::sleep_until(this->relayProcess->started() + kLead);
  return true;
}

/** Writes the desired state, with the limits of the small deployments. */
void
Deployment::pushConfig(const std::vector<ServiceSpec>& aServices)
{
  Json routes = Json::array();
  Json services = Json::array();
  for (const ServiceSpec& service : aServices) {
    routes.push_back(routeOf(service));
    services.push_back(Json{ { "Name", service.name },
                             { "HealthPath", "/health" },
                             { "MaxConns", 110 },
                             { "Protocol", "h1" } });
  }
  const Json config{
    { "Version", 1 },
    { "Routes", routes },
    { "Services", services },
    { "Limits",
      { { "MaxHeaderBytes", 16'384 },
        { "MaxBodyBytes", 4'194'304 },
        { "HeaderTimeoutMs", 3'000 },
        { "IdleTimeoutMs", 15'000 } } },
    { "Tenants",
      Json::array({ Json{ { "Name", "tenant" },
                          { "ApiKeys", Json::array({ "key-1" }) } } }) }
  };
  this->store.put(std::string{ wire_names::kOperatorTable },
                  std::string{ wire_names::kConfigKey },
                  config.dump());
}

void
Deployment::registerReplicas()
{
  for (const auto& replica : this->replicas) {
    const PlainReplicaSettings& spec = replica->spec();
    const Json entry{ { "Service", spec.service },
                      { "Address", toText(replica->address()) },
                      { "Zone", "a" },
                      { "Version", "1" },
                      { "Slots", spec.slots },
                      { "State", "ready" },
                      { "ColdLeftMs", 0 },
                      { "Sequence", 1 } };
    this->store.put(
      std::string{ wire_names::kReplicaTable }, spec.id, entry.dump());
  }
}

} // namespace poplartrack::review
