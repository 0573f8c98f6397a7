#include "soak/SoakConfig.h"

#include <nlohmann/json.hpp>

namespace poplartrack::soak {
namespace {

using Json = nlohmann::json;

constexpr int kLayers = 12;

Json
routeOf(const std::string& aName,
        const std::string& aKind,
        const std::string& aService,
        int aAttempts)
{
  return { { "Name", aName },
           { "Host", "soak.example" },
           { "Prefix", "/" + aName + "/" },
           { "Kind", aKind },
           { "Service", aService },
           { "TimeoutMs", 5'000 },
           { "SloMs", 500 },
           { "GapAimMs", 200 },
           { "Attempts", aAttempts },
           { "Resumable", aKind == "streaming" } };
}

/** A model that three replicas hold together with room for a lost one. With
 * contention, they have memory for about 16 requests in all. */
Json
engine(bool aContention)
{
  Json kinds{
    { { "Name", "card" }, { "Mb", 1'200 }, { "pace", 1 }, { "ReadX", 1 } }
  };
  if (aContention) {
    kinds.push_back({ { "Name", kSlowKind },
                      { "Mb", 700 },
                      { "pace", kSlowKindSlowdown },
                      { "ReadX", kSlowKindSlowdown } });
  }
  return {
    { "Slots", 64 },
    { "Layers", kLayers },
    { "LayerMb", 100 },
    { "KvTokenBytes", aContention ? 2'000'000 : 120'000 },
    { "step_ms", 1 },
    { "per_seq_ms", 0.01 },
    { "context_per_k", 0.01 },
    { "read_per_s", 100'000 },
    { "ActBytes", 1'000 },
    { "PipeMbps", 8'000 },
    { "usual", { { "prompt", 40 }, { "answer", 60 } } },
    { "Models", { { { "Name", "m" }, { "LoadS", 1.0 } } } },
    { "Kinds", kinds },
    { "delays",
      { { { "From", "a" }, { "Target", "b" }, { "delay_ms", 0.2 } } } }
  };
}

Json
routesOf(const DesiredState& aState, bool aExtraRoute)
{
  const std::string plain{ kPlainService };
  const std::string model{ kModelService };
  Json routes = Json::array();
  for (const RequestKind kind : aState.routes) {
    switch (kind) {
      case RequestKind::Once:
        routes.push_back(routeOf("once", "non_idempotent", plain, 1));
        break;
      case RequestKind::Again:
        routes.push_back(routeOf("again", "idempotent", plain, 2));
        break;
      case RequestKind::Stream:
        routes.push_back(routeOf("stream", "streaming", model, 2));
        break;
    }
  }
  if (aExtraRoute) {
    routes.push_back(routeOf("extra", "idempotent", plain, 2));
  }
  return routes;
}

Json
accountsOf(const DesiredState& aState)
{
  Json accounts = Json::array();
  for (const auto& [name, keys] : aState.accounts) {
    Json account{ { "Name", name } };
    if (aState.hasKeys) {
      account["ApiKeys"] = keys;
    }
    accounts.push_back(std::move(account));
  }
  return accounts;
}

} // namespace

std::string
configText(const DesiredState& aState,
           int aVersion,
           bool aContention,
           bool aExtraRoute)
{
  Json config{
    { "Version", aVersion },
    { "Routes", routesOf(aState, aExtraRoute) },
    { "Services",
      { { { "Name", kPlainService } },
        { { "Name", kModelService }, { "Engine", engine(aContention) } } } }
  };
  if (aState.hasAccounts) {
    config["Tenants"] = accountsOf(aState);
  }
  if (aState.hasLimits) {
    config["Limits"] = { { "MaxBodyBytes", aState.bodyBytes } };
  }
  return config.dump();
}

} // namespace poplartrack::soak
