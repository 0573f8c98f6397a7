#include "scenarios/World.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "poplartrack/base/Address.h"
#include "poplartrack/config/SecretHash.h"
#include "standins/lib/ToyModel.h"

namespace poplartrack::scenarios {
namespace {

/** Long enough for a machine that is busy with other builds; a scenario that
 * passes never waits for it. */
constexpr Duration kReadyWait = std::chrono::seconds{ 30 };
constexpr int kDefaultCallMs = 60'000;

std::string
textOf(const Json& aArguments, const char* aKey)
{
  if (!aArguments.contains(aKey) || !aArguments.at(aKey).is_string()) {
    throw std::runtime_error(std::string{ "missing: " } + aKey);
  }
  return aArguments.at(aKey).get<std::string>();
}

Address
addressOf(const std::string& aText)
{
  const Result<Address> address = addressFromText(aText);
  if (!address) {
    throw std::runtime_error(describe(address.error()));
  }
  return address.value();
}

int
signalNumber(const std::string& aName)
{
  static const std::map<std::string, int> kSignals{ { "KILL", SIGKILL },
                                                    { "TERM", SIGTERM },
                                                    { "STOP", SIGSTOP },
                                                    { "CONT", SIGCONT } };
  const auto found = kSignals.find(aName);
  if (found == kSignals.end()) {
    throw std::runtime_error("unknown signal " + aName);
  }
  return found->second;
}

std::string
readFile(const std::string& aPath)
{
  std::ifstream file{ aPath };
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

HttpCall
httpCallOf(const Json& aArguments)
{
  HttpCall call;
  call.method = aArguments.value("method", "GET");
  call.url = textOf(aArguments, "url");
  call.body = aArguments.value("body", "");
  call.timeout =
    std::chrono::milliseconds{ aArguments.value("ms", kDefaultCallMs) };
  call.freshConnection = true;
  const Json headers = aArguments.value("headers", Json::object());
  for (const auto& [name, value] : headers.items()) {
    call.headers[name] = value.get<std::string>();
  }
  return call;
}

Json
describeResult(const HttpResult& aResult)
{
  constexpr std::array<const char*, 3> kOutcomes{ "replied",
                                                  "not_sent",
                                                  "unknown" };
  return Json{ { "outcome",
                 kOutcomes[static_cast<std::size_t>(aResult.outcome)] },
               { "status", aResult.status },
               { "headers", aResult.headers },
               { "body", aResult.body },
               { "detail", aResult.detail } };
}

} // namespace

World::World(std::string aBuild)
  : build(std::move(aBuild))
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "scenario-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no scratch folder");
  }
  this->scratch = pattern;
  HttpClientLimits limits;
  limits.maxConnectionsPerHost = 256;
  Result<std::unique_ptr<HttpClient>> made = HttpClient::create(limits);
  if (!made) {
    throw std::runtime_error(describe(made.error()));
  }
  this->client = std::move(made).value();
}

World::~World()
{
  this->client.reset();
  this->relays.reset();
  this->processes.clear();
  this->links.clear();
  std::error_code ignored;
  std::filesystem::remove_all(this->scratch, ignored);
}

void
World::keepLogs(const std::string& aFolder) const
{
  std::error_code ignored;
  std::filesystem::remove_all(aFolder, ignored);
  std::filesystem::create_directories(aFolder, ignored);
  std::filesystem::copy(
    this->scratch, aFolder, std::filesystem::copy_options::recursive, ignored);
}

harness::ChildProcess&
World::process(const Json& aArguments)
{
  const std::string name = textOf(aArguments, "name");
  const auto found = this->processes.find(name);
  if (found == this->processes.end()) {
    throw std::runtime_error("no process " + name);
  }
  return *found->second;
}

PendingCall&
World::pending(const Json& aArguments)
{
  const auto found = this->calls.find(aArguments.at("id").get<std::uint64_t>());
  if (found == this->calls.end()) {
    throw std::runtime_error("no such call");
  }
  return *found->second;
}

Json
World::spawn(const Json& aArguments)
{
  const std::string name = textOf(aArguments, "name");
  auto command = aArguments.at("command").get<std::vector<std::string>>();
  command.at(0) = this->build + "/" + command.at(0);
  const std::string base = this->scratch + "/" + name;
  this->processes.erase(name);
  // A process that takes another's place must not find its ready line there.
  std::filesystem::remove(base + ".out");
  Result<std::unique_ptr<harness::ChildProcess>> started =
    harness::ChildProcess::start(command, base + ".out", base + ".log");
  if (!started) {
    throw std::runtime_error(describe(started.error()));
  }
  this->processes[name] = std::move(started).value();
  return true;
}

Json
World::ready(const Json& aArguments)
{
  const Result<std::string> value =
    this->process(aArguments).waitReady(textOf(aArguments, "key"), kReadyWait);
  if (!value) {
    throw std::runtime_error(textOf(aArguments, "name") + ": " +
                             describe(value.error()) + "\n" +
                             this->log(aArguments).get<std::string>());
  }
  return value.value();
}

Json
World::readyLines(const Json& aArguments)
{
  std::ifstream file{ this->process(aArguments).outputPath() };
  Json lines = Json::array();
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("ready")) {
      lines.push_back(line);
    }
  }
  return lines;
}

Json
World::signal(const Json& aArguments)
{
  return this->process(aArguments)
    .signal(signalNumber(textOf(aArguments, "signal")));
}

Json
World::waitExit(const Json& aArguments)
{
  const std::optional<int> code = this->process(aArguments)
                                    .waitExit(std::chrono::milliseconds{
                                      aArguments.value("ms", kDefaultCallMs) });
  return code ? Json(*code) : Json(nullptr);
}

Json
World::log(const Json& aArguments)
{
  return readFile(this->scratch + "/" + textOf(aArguments, "name") + ".log");
}

Json
World::file(const Json& aArguments)
{
  const std::string path = this->scratch + "/" + textOf(aArguments, "name");
  std::filesystem::create_directories(
    std::filesystem::path{ path }.parent_path());
  std::ofstream{ path } << textOf(aArguments, "text");
  return path;
}

Json
World::http(const Json& aArguments)
{
  return describeResult(this->client->sendAndWait(httpCallOf(aArguments)));
}

Json
World::begin(const Json& aArguments)
{
  const auto call = std::make_shared<PendingCall>();
  HttpCall message = httpCallOf(aArguments);
  message.onBytes = [call](std::string_view aBytes) {
    call->onBytes(aBytes);
    return call->wanted();
  };
  this->client->send(std::move(message), [call](HttpResult aResult) {
    call->onDone(std::move(aResult));
  });
  this->calls[this->nextCall] = call;
  return this->nextCall++;
}

Json
World::progress(const Json& aArguments)
{
  PendingCall& call = this->pending(aArguments);
  return Json{ { "bytes", call.bytes() }, { "ended", call.ended() } };
}

Json
World::finish(const Json& aArguments)
{
  return describeResult(this->pending(aArguments).wait());
}

Json
World::abandon(const Json& aArguments)
{
  this->pending(aArguments).abandon();
  return true;
}

Json
World::link(const Json& aArguments)
{
  auto made = std::make_unique<harness::TcpForwarder>(
    addressOf(textOf(aArguments, "target")));
  const std::string address = toText(made->address());
  this->links[textOf(aArguments, "name")] = std::move(made);
  return address;
}

Json
World::linkDo(const Json& aArguments)
{
  const auto found = this->links.find(textOf(aArguments, "name"));
  if (found == this->links.end()) {
    throw std::runtime_error("no such link");
  }
  harness::TcpForwarder& forwarder = *found->second;
  const std::string what = textOf(aArguments, "what");
  if (what == "cut") {
    forwarder.cut();
  } else if (what == "heal") {
    forwarder.heal();
  } else if (what == "freeze") {
    forwarder.freeze();
  } else if (what == "delay") {
    forwarder.delay(
      std::chrono::milliseconds{ aArguments.at("delay_ms").get<int>() });
  } else {
    throw std::runtime_error("unknown link word " + what);
  }
  return true;
}

Json
World::right(const Json& aArguments)
{
  const standins::ToyModel model{
    textOf(aArguments, "model"),
    textOf(aArguments, "version"),
    aArguments.at("layers").get<std::uint32_t>()
  };
  std::vector<std::uint32_t> prompt;
  for (const char letter : textOf(aArguments, "prompt")) {
    prompt.push_back(static_cast<unsigned char>(letter));
  }
  return model.answer(prompt, aArguments.at("tokens").get<std::uint32_t>());
}

Json
World::pause(const Json& aArguments)
{
  std::this_thread::sleep_for(
    std::chrono::milliseconds{ aArguments.at("ms").get<int>() });
  return true;
}

Json
World::sha256(const Json& aArguments)
{
  return sha256Hex(textOf(aArguments, "text"));
}

RelayWorld&
World::relayWorld()
{
  if (!this->relays) {
    throw std::runtime_error("no relays have been started");
  }
  return *this->relays;
}

Json
World::startRelays(const Json& aArguments)
{
  soak::SoakSize size;
  size.relays = aArguments.value("relays", size.relays);
  size.plain = aArguments.value("plain", size.plain);
  size.engines = aArguments.value("engines", size.engines);
  this->relays = std::make_unique<RelayWorld>(this->build, this->scratch, size);
  return true;
}

Json
World::relayFault(const Json& aArguments)
{
  this->relayWorld().fault(textOf(aArguments, "name"),
                           aArguments.at("who").get<std::size_t>(),
                           aArguments.at("begins").get<bool>());
  return true;
}

Json
World::relayBegin(const Json& aArguments)
{
  return this->relayWorld().begin(textOf(aArguments, "kind"),
                                  aArguments.at("relay").get<std::size_t>());
}

Json
World::relayFinish(const Json& aArguments)
{
  const soak::CallRecord call =
    this->relayWorld().finish(aArguments.at("id").get<std::size_t>());
  return { { "status", call.status }, { "whole", call.whole } };
}

Json
World::relayTaken(const Json& /*aArguments*/)
{
  return this->relayWorld().taken();
}

Json
World::relayVerdict(const Json& /*aArguments*/)
{
  return this->relayWorld().verdict();
}

} // namespace poplartrack::scenarios
