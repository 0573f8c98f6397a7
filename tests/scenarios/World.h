#pragma once

#include <map>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "harness/ChildProcess.h"
#include "harness/TcpForwarder.h"
#include "poplartrack/http/HttpClient.h"
#include "scenarios/PendingCall.h"
#include "scenarios/RelayWorld.h"

namespace poplartrack::scenarios {

/** A word's arguments and results travel as JSON between Lua and C++. */
using Json = nlohmann::json;

/**
 * What a scenario has started: processes, links that can be cut, calls in
 * progress. The primitive words work on it; the others are written in Lua
 * (prelude.lua). Errors throw std::runtime_error, which ends the scenario.
 */
class World
{
public:
  /** aBuild: the folder with the programs. */
  explicit World(std::string aBuild);
  World(const World&) = delete;
  World& operator=(const World&) = delete;
  /** Kills what still runs and removes the scratch folder. */
  ~World();

  /** Copies the logs of all processes so far to a folder, in place of what is
   * there. */
  void keepLogs(const std::string& aFolder) const;

  /** spawn{name, command={...}}: a program of the build folder. */
  Json spawn(const Json& aArguments);
  /** ready{name, key}: waits for the process's ready line. */
  Json ready(const Json& aArguments);
  /** ready_lines{name}: all "ready" lines so far. */
  Json readyLines(const Json& aArguments);
  /** signal{name, signal="KILL"}. */
  Json signal(const Json& aArguments);
  /** wait_exit{name, ms}: exit code, or null when it still runs. */
  Json waitExit(const Json& aArguments);
  /** log{name}: the process's log so far. */
  Json log(const Json& aArguments);
  /** file{name, text}: writes a scratch file; gives its path. */
  Json file(const Json& aArguments);
  /** http{method, url, body, headers, ms}: a call to its end. */
  Json http(const Json& aArguments);
  /** begin{...as http}: starts a call; gives its number. */
  Json begin(const Json& aArguments);
  /** progress{id}: bytes that have come and whether it has ended. */
  Json progress(const Json& aArguments);
  /** finish{id}: waits for a call's end. */
  Json finish(const Json& aArguments);
  /** abandon{id}: the caller goes away. */
  Json abandon(const Json& aArguments);
  /** link{name, target}: a forwarder; gives its address. */
  Json link(const Json& aArguments);
  /** link_do{name, what="cut" | "heal" | "freeze" | "delay", delay_ms}. */
  Json linkDo(const Json& aArguments);
  /** right{model, version, layers, prompt, tokens}: the right answer. */
  Json right(const Json& aArguments);
  /** pause{ms}: only between two looks of eventually(). */
  Json pause(const Json& aArguments);
  /** sha256{text}. */
  Json sha256(const Json& aArguments);
  /** relays{relays, plain, engines}: relays and replicas as in the soak. */
  Json startRelays(const Json& aArguments);
  /** relay_fault{name, who, begins}: begins or ends a fault of the soak. */
  Json relayFault(const Json& aArguments);
  /** relay_begin{kind, relay}: starts a request; gives its number. */
  Json relayBegin(const Json& aArguments);
  /** relay_finish{id}: waits for its end; gives {status, whole}. */
  Json relayFinish(const Json& aArguments);
  /** relay_taken{}: how often a replica has taken a request. */
  Json relayTaken(const Json& aArguments);
  /** relay_verdict{}: {calls, whole, through_silence, broken={...}}. */
  Json relayVerdict(const Json& aArguments);

private:
  harness::ChildProcess& process(const Json& aArguments);
  PendingCall& pending(const Json& aArguments);
  RelayWorld& relayWorld();

  std::string build;
  std::string scratch;
  std::unique_ptr<HttpClient> client;
  std::map<std::string, std::unique_ptr<harness::ChildProcess>> processes;
  std::map<std::string, std::unique_ptr<harness::TcpForwarder>> links;
  std::map<std::uint64_t, std::shared_ptr<PendingCall>> calls;
  std::uint64_t nextCall = 1;
  std::unique_ptr<RelayWorld> relays;
};

} // namespace poplartrack::scenarios
