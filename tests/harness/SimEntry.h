#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "harness/SimCall.h"
#include "harness/SimParts.h"
#include "poplartrack/entry/ClaimEndWriter.h"
#include "poplartrack/entry/ClaimWait.h"
#include "poplartrack/entry/IdempotencyClaim.h"
#include "poplartrack/entry/PlainRun.h"
#include "poplartrack/entry/RequestRun.h"
#include "poplartrack/wire/Probe.h"

namespace poplartrack::harness {

/** The model that the simulated engines hold. */
struct SimModel
{
  std::string name = "pairing-llm";
  std::string version = "v1";
  std::uint32_t layers = 12;
};

/** Probes that fail in a row until an endpoint counts as gone. */
constexpr std::uint32_t kFailuresUntilGone = 2;

/** One entry process: the real state machines between fake links, with a
 * route drawn at random from what its probes have told. */
class SimEntry
{
public:
  using Record = std::shared_ptr<SimCallRecord>;

  SimEntry(SimParts& aParts,
           std::string aName,
           SimModel aModel,
           const std::vector<std::string>& aSides);
  SimEntry(const SimEntry&) = delete;
  SimEntry& operator=(const SimEntry&) = delete;

  /** Takes a caller's request; the record hears tokens and the answer. */
  void take(const Record& aRecord);

private:
  struct Seen
  {
    ProbeReply reply;
    std::uint32_t failures = 0;
  };
  struct ModelCall
  {
    RequestRun run;
    Record record;
    std::optional<TimePoint> wake;
  };
  struct ServiceCall
  {
    RequestId id;
    PlainRun run;
    Record record;
    std::optional<ClaimHeld> claim;
    std::optional<TimePoint> wake;
  };
  using ModelPtr = std::shared_ptr<ModelCall>;
  using ServicePtr = std::shared_ptr<ServiceCall>;

  void onFrame(const std::string& aFrame,
               const std::function<void(std::string)>& aRespond);
  void takeModel(const Record& aRecord, const RequestId& aId);
  void takePlain(const Record& aRecord, const RequestId& aId);
  void apply(const ModelPtr& aCall, const std::vector<RunAction>& aActions);
  void execute(const ModelPtr& aCall, const RunAction& aAction);
  void wakeLater(const ModelPtr& aCall);
  /** Claims the call's key, and waits as ClaimWait decides. */
  void claimKey(const ServicePtr& aCall,
                const ClaimRequest& aRequest,
                ClaimWait aWait);
  void startPlain(const ServicePtr& aCall);
  void retryClaimEnds();
  void apply(const ServicePtr& aCall, const std::vector<PlainAction>& aActions);
  void execute(const ServicePtr& aCall, const PlainAction& aAction);
  void endPlain(ServiceCall& aCall, const SimAnswer& aAnswer);
  void wakeLater(const ServicePtr& aCall);
  std::optional<Route> chooseRoute(const std::set<std::string>& aAvoid);
  std::optional<PlainTarget> chooseService(const std::string& aService,
                                           const std::set<std::string>& aAvoid);
  void probeAll();
  void onProbe(const std::string& aSide, const TypedResult<ProbeReply>& aReply);
  void endpointGone(const std::string& aSide);
  RequestId freshId();

  SimParts& parts;
  std::string name;
  SimModel model;
  const std::vector<std::string>& sides;
  std::map<std::string, Seen> seen;
  std::map<RequestId, ModelPtr> models;
  std::map<RequestId, ServicePtr> services;
  ClaimEndWriter claimEnds;
};

} // namespace poplartrack::harness
