#include <nlohmann/json.hpp>

#include "poplartrack/entry/EntryServer.h"

namespace poplartrack {

HttpReply
EntryServer::metricsPage()
{
  this->metrics.set("runs_active",
                    static_cast<std::int64_t>(this->models->active()));
  this->metrics.set("config_revision",
                    static_cast<std::int64_t>(this->configuration->revision()));
  this->metrics.set(
    "endpoints_known",
    static_cast<std::int64_t>(this->endpoints->view()->endpoints.size()));
  this->metrics.set("claim_ends_kept",
                    static_cast<std::int64_t>(this->claimEnds.kept()));
  HttpReply reply;
  reply.headers["content-type"] = "text/plain; version=0.0.4";
  reply.body = this->metrics.render();
  return reply;
}

HttpReply
EntryServer::statusPage()
{
  using nlohmann::json;
  json endpointList = json::array();
  for (const EndpointInfo& info : this->endpoints->view()->endpoints) {
    endpointList.push_back({ { "name", info.name },
                             { "zone", info.zone },
                             { "service", info.service },
                             { "model", info.model },
                             { "version", info.modelVersion },
                             { "holds", { info.holds.from, info.holds.to } },
                             { "accelerator", info.accelerator },
                             { "leaving", info.draining },
                             { "failures", info.failures },
                             { "silent", info.silent },
                             { "attempts", info.load.attempts } });
  }
  const json body{ { "name", this->settings.name },
                   { "zone", this->settings.zone },
                   { "region", this->settings.region },
                   { "revision", this->configuration->revision() },
                   { "draining", this->draining.stop_requested() },
                   { "active", this->models->active() },
                   { "placer", this->placer && this->placer->holds() },
                   { "endpoints", std::move(endpointList) } };
  HttpReply reply;
  reply.headers["content-type"] = "application/json";
  reply.body = body.dump() + "\n";
  return reply;
}

} // namespace poplartrack
