#include "system/Fleet.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

#include <unistd.h>

#include "poplartrack/config/SecretHash.h"

namespace poplartrack::bench {
namespace {

using nlohmann::json;

constexpr Duration kPatience = std::chrono::seconds{ 30 };
constexpr Duration kPoll = std::chrono::milliseconds{ 50 };
constexpr int kOk = 200;
constexpr std::array<const char*, 3> kZones{ "oslo-a", "oslo-b", "oslo-c" };

void
writeFile(const std::string& aPath, const std::string& aText)
{
  std::filesystem::create_directories(
    std::filesystem::path{ aPath }.parent_path());
  std::ofstream{ aPath } << aText;
}

std::string
readFile(const std::string& aPath)
{
  std::ifstream file{ aPath };
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string
enginesText(const FleetPlan& aPlan)
{
  std::ostringstream text;
  text << "[models]\n";
  for (const PlannedModel& model : aPlan.models()) {
    text << model.name << " = " << model.layers << "\n";
  }
  for (const PlannedEngine& engine : aPlan.engines()) {
    text << "[[endpoint]]\nname = \"" << engine.name << "\"\naccelerator = \""
         << engine.kind.name << "\"\ntimeFactor = " << std::fixed
         << aPlan.timeFactor() << "\nmodel = \"" << engine.model
         << "\"\nversion = \"" << kVersion << "\"\nholds = ["
         << engine.holds.from << ", " << engine.holds.to
         << "]\nmaxBatch = " << kMaxBatch << "\nrunLog = false\n";
  }
  return text.str();
}

std::string
settingsText(const FleetPlan& aPlan)
{
  std::ostringstream text;
  for (const PlannedModel& model : aPlan.models()) {
    text << "[models." << model.name << "]\nlayers = " << model.layers
         << "\nversion = \"" << kVersion << "\"\n[models." << model.name
         << ".versions." << kVersion << "]\nweights = \"" << model.name
         << "\"\n";
  }
  text << "[services.codebook.operations.lookup]\nidempotent = true\n"
          "[services.kituo.operations.location]\nidempotent = true\n"
          "[accounts.bench]\nsecret_sha256 = \""
       << sha256Hex("secret")
       << "\"\nrequests_per_second = 1000000\n"
          "tokens_per_second = 1000000000\n";
  return text.str();
}

} // namespace

Fleet::Fleet(FleetPrograms aPrograms, std::string aFolder)
  : programs(std::move(aPrograms))
  , folder(std::move(aFolder))
{
}

Fleet::~Fleet()
{
  // Those stopped by a signal would not hear SIGTERM: each is killed by its
  // id as its handle goes.
  this->processes.clear();
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

Result<std::unique_ptr<Fleet>>
Fleet::start(const FleetPlan& aPlan, const FleetPrograms& aPrograms)
{
  std::string folder =
    (std::filesystem::temp_directory_path() / "system_bench.XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) {
    return fail(ErrorKind::Internal, "no folder for the run");
  }
  std::unique_ptr<Fleet> fleet{ new Fleet(aPrograms, folder) };
  Result<std::unique_ptr<HttpClient>> http = HttpClient::create({});
  if (!http) {
    return http.error();
  }
  fleet->http = std::move(http).value();
  if (Result<Done> done = fleet->startAll(aPlan); !done) {
    return done.error();
  }
  return fleet;
}

Result<Done>
Fleet::startAll(const FleetPlan& aPlan)
{
  const Result<std::string> address =
    this->spawn("platform",
                { this->programs.build + "/standin_platform", "--port", "0" },
                "address");
  if (!address) {
    return address.error();
  }
  this->platform = address.value();
  if (Result<Done> done = this->startEngines(aPlan); !done) {
    return done;
  }
  if (Result<Done> done = this->startServices(); !done) {
    return done;
  }
  const std::size_t endpoints = this->instances.size();
  for (const char* zone : kZones) {
    if (Result<Done> done = this->startEntry(zone); !done) {
      return done;
    }
  }
  Result<Done> listed =
    this->post("http://" + this->platform + "/test/instances",
               json{ { "instances", this->instances } });
  if (!listed) {
    return listed;
  }
  if (Result<Done> done = this->pushSettings(aPlan); !done) {
    return done;
  }
  return this->awaitEndpoints(endpoints);
}

Result<Done>
Fleet::startEngines(const FleetPlan& aPlan)
{
  writeFile(this->path("engines.toml"), enginesText(aPlan));
  const Result<std::string> port =
    this->spawn("engines",
                { this->programs.build + "/standin_engine",
                  "--endpoints",
                  this->path("engines.toml") },
                "control");
  if (!port) {
    return port.error();
  }
  this->control = port.value();
  std::istringstream lines{ readFile(this->path("engines.out")) };
  std::string line;
  while (std::getline(lines, line)) {
    std::istringstream words{ line };
    std::string ready;
    std::string name;
    std::string address;
    words >> ready >> name >> address;
    if (name.starts_with("endpoint=")) {
      this->engineAddresses[name.substr(name.find('=') + 1)] =
        address.substr(address.find('=') + 1);
    }
  }
  for (const PlannedEngine& engine : aPlan.engines()) {
    Result<Done> done = this->startSide(
      engine.name, "engine", this->engineAddresses[engine.name], engine.zone);
    if (!done) {
      return done;
    }
  }
  return Done{};
}

Result<Done>
Fleet::startServices()
{
  for (const std::string service : { "codebook", "kituo" }) {
    for (std::size_t i = 0; i < kZones.size(); ++i) {
      const std::string name = service + "-" + std::to_string(i);
      const Result<std::string> address =
        this->spawn(name,
                    { this->programs.build + "/standin_service",
                      "--name",
                      name,
                      "--service",
                      service },
                    "address");
      if (!address) {
        return address.error();
      }
      Result<Done> done =
        this->startSide(name, "service", address.value(), kZones[i]);
      if (!done) {
        return done;
      }
    }
  }
  return Done{};
}

Result<Done>
Fleet::startSide(const std::string& aEndpoint,
                 const std::string& aKind,
                 const std::string& aAddress,
                 const std::string& aZone)
{
  const std::string name = "side-" + aEndpoint;
  writeFile(this->path(name + ".toml"),
            this->processText(name, aZone) +
              "[listen]\nwire = \"127.0.0.1:0\"\n"
              "metrics = \"127.0.0.1:0\"\n[endpoint]\nname = \"" +
              aEndpoint + "\"\nkind = \"" + aKind + "\"\naddress = \"" +
              aAddress + "\"\n");
  const Result<std::string> wire =
    this->spawn(name,
                { this->programs.build + "/poplartrack",
                  "side",
                  "--settings",
                  this->path(name + ".toml") },
                "wire");
  if (!wire) {
    return wire.error();
  }
  this->list(name, "side", aZone, wire.value());
  return Done{};
}

Result<Done>
Fleet::startEntry(const std::string& aZone)
{
  const std::string name = "entry-" + aZone;
  writeFile(this->path(name + ".toml"),
            this->processText(name, aZone) +
              "[listen]\ncallers = \"127.0.0.1:0\"\n"
              "wire = \"127.0.0.1:0\"\n[tuning]\nconfig_poll_ms = 500\n"
              "max_callers = 16000\n");
  const Result<std::string> wire =
    this->spawn(name,
                { this->programs.build + "/" + this->programs.entry,
                  "entry",
                  "--settings",
                  this->path(name + ".toml") },
                "wire");
  if (!wire) {
    return wire.error();
  }
  const Result<std::string> address =
    this->processes[name]->waitReady("callers", kPatience);
  if (!address) {
    return address.error();
  }
  this->callers.push_back(address.value());
  this->list(name, "entry", aZone, wire.value());
  return Done{};
}

Result<Done>
Fleet::pushSettings(const FleetPlan& aPlan)
{
  writeFile(this->path("settings/10-bench.toml"), settingsText(aPlan));
  Result<std::unique_ptr<harness::ChildProcess>> push =
    harness::ChildProcess::start({ this->programs.build + "/poplartrack",
                                   "config",
                                   "push",
                                   this->path("settings"),
                                   "--platform",
                                   this->platform,
                                   "--author",
                                   "bench" },
                                 this->path("push.out"),
                                 this->path("push.log"));
  if (!push) {
    return push.error();
  }
  if (push.value()->waitExit(kPatience) != 0) {
    return fail(ErrorKind::BadSettings,
                readFile(this->path("push.log")) +
                  readFile(this->path("push.out")));
  }
  return Done{};
}

Result<Done>
Fleet::awaitEndpoints(std::size_t aCount)
{
  const TimePoint latest = SystemClock{}.now() + kPatience;
  std::set<std::string> ready;
  while (SystemClock{}.now() < latest) {
    for (const std::string& entry : this->callers) {
      const json status = this->get("http://" + entry + "/status");
      const bool configured = status.value("revision", 0U) > 0;
      if (configured && status["endpoints"].size() >= aCount) {
        ready.insert(entry);
      }
    }
    if (ready.size() == this->callers.size()) {
      return Done{};
    }
    std::this_thread::sleep_for(kPoll);
  }
  return fail(ErrorKind::DeadlineExceeded, "entries do not see all endpoints");
}

Result<std::string>
Fleet::spawn(const std::string& aName,
             const std::vector<std::string>& aCommand,
             const std::string& aKey)
{
  Result<std::unique_ptr<harness::ChildProcess>> process =
    harness::ChildProcess::start(
      aCommand, this->path(aName + ".out"), this->path(aName + ".log"));
  if (!process) {
    return process.error();
  }
  Result<std::string> value = process.value()->waitReady(aKey, kPatience);
  this->processes[aName] = std::move(process).value();
  if (!value) {
    return fail(value.error().kind,
                aName + ": " + readFile(this->path(aName + ".log")));
  }
  return value;
}

std::string
Fleet::path(const std::string& aFile) const
{
  return this->folder + "/" + aFile;
}

std::string
Fleet::processText(const std::string& aName, const std::string& aZone) const
{
  return "[process]\nname = \"" + aName + "\"\nzone = \"" + aZone +
         "\"\nregion = \"oslo\"\n[platform]\naddress = \"" + this->platform +
         "\"\n";
}

void
Fleet::list(const std::string& aName,
            const std::string& aRole,
            const std::string& aZone,
            const std::string& aAddress)
{
  this->instances.push_back(json{ { "name", aName },
                                  { "role", aRole },
                                  { "zone", aZone },
                                  { "region", "oslo" },
                                  { "address", aAddress },
                                  { "state", "live" } });
}

json
Fleet::get(const std::string& aUrl)
{
  HttpCall call;
  call.url = aUrl;
  const HttpResult result = this->http->sendAndWait(std::move(call));
  json body = json::parse(result.body, nullptr, false);
  return body.is_object() ? body : json::object();
}

Result<Done>
Fleet::post(const std::string& aUrl, const json& aBody)
{
  HttpCall call;
  call.method = "POST";
  call.url = aUrl;
  call.body = aBody.dump();
  const HttpResult result = this->http->sendAndWait(std::move(call));
  if (result.status != kOk) {
    return fail(ErrorKind::Internal, aUrl + ": " + result.body + result.detail);
  }
  return Done{};
}

Result<Done>
Fleet::engine(const std::string& aName,
              const std::string& aWord,
              const json& aBody)
{
  return this->post(
    "http://" + this->control + "/endpoints/" + aName + "/" + aWord, aBody);
}

bool
Fleet::signalSide(const std::string& aEndpoint, int aSignal)
{
  const auto found = this->processes.find("side-" + aEndpoint);
  return found != this->processes.end() && found->second->signal(aSignal);
}

bool
Fleet::anyEntrySeesFailure(const std::string& aEndpoint)
{
  for (const std::string& entry : this->callers) {
    const json status = this->get("http://" + entry + "/status");
    for (const json& one : status.value("endpoints", json::array())) {
      if (one.value("name", "") == aEndpoint && one.value("failures", 0U) > 0) {
        return true;
      }
    }
  }
  return false;
}

std::vector<std::string>
Fleet::metricLines(const std::string& aStart)
{
  std::vector<std::string> found;
  for (const std::string& entry : this->callers) {
    HttpCall call;
    call.url = "http://" + entry + "/metrics";
    const HttpResult result = this->http->sendAndWait(std::move(call));
    std::istringstream lines{ result.body };
    std::string line;
    while (std::getline(lines, line)) {
      if (line.starts_with(aStart)) {
        found.push_back(line);
      }
    }
  }
  return found;
}

double
Fleet::counter(const std::string& aName)
{
  double sum = 0;
  for (const std::string& line : this->metricLines("poplartrack_" + aName)) {
    sum += std::stod(line.substr(line.rfind(' ') + 1));
  }
  return sum;
}

std::map<std::string, double>
Fleet::retries()
{
  std::map<std::string, double> sums;
  for (const std::string& line :
       this->metricLines("poplartrack_retries_total{")) {
    const std::size_t from = line.find('"') + 1;
    const std::string reason = line.substr(from, line.rfind('"') - from);
    sums[reason] += std::stod(line.substr(line.rfind(' ') + 1));
  }
  return sums;
}

} // namespace poplartrack::bench
