#include "poplartrack/relay/SnapshotServer.h"

#include <charconv>
#include <optional>
#include <string>
#include <utility>

#include "SnapshotHttp.h"
#include "SnapshotMessage.h"

namespace poplartrack {
namespace {

/** Connections at once. Each has a thread, and each answer may have some
 * hundred kilobytes. A relay that finds no place asks another one. */
constexpr std::size_t kMaxConnections = 32;

constexpr Duration kIdleTimeout = std::chrono::seconds{ 2 };

/** Returns a number in the query; nullopt if it is missing or no number. */
std::optional<std::uint64_t>
numberIn(const HttpRequest& aRequest, const char* aField)
{
  const auto found = aRequest.query.find(aField);
  if (found == aRequest.query.end()) {
    return std::nullopt;
  }
  const std::string& text = found->second;
  std::uint64_t number = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), number);
  const bool whole = error == std::errc{} && end == text.data() + text.size();
  return whole ? std::optional<std::uint64_t>{ number } : std::nullopt;
}

SnapshotQuery
queryFrom(const HttpRequest& aRequest)
{
  SnapshotQuery query;
  query.newerConfig =
    numberIn(aRequest, snapshot_http::kConfigField).value_or(0);
  query.newerReplicas = numberIn(aRequest, snapshot_http::kReplicasField);
  query.relays = aRequest.query.contains(snapshot_http::kRelaysField);
  return query;
}

/** Returns the replica list if it is newer than aKnown. */
std::optional<ReplicaPoll>
listNewerThan(const RelayShared& aShared, std::uint64_t aKnown)
{
  // The version is read before the list: a list that is newer than its version
  // only gets some changes twice, while an older one would miss them.
  const std::uint64_t version = aShared.listVersion;
  const auto view = aShared.replicas.read();
  if (aShared.listUncertain || version <= aKnown) {
    return std::nullopt;
  }
  ReplicaPoll list;
  list.fullSnapshot = true;
  list.present = view->replicas;
  list.lastChange = view->lastChange;
  list.next = version;
  return list;
}

FleetSnapshot
snapshotFor(const RelayShared& aShared, const SnapshotQuery& aQuery)
{
  FleetSnapshot snapshot;
  // The age is read before the configuration: a proof belongs to the
  // configuration that was in force then or to an older one.
  const Duration age = aShared.freshness.age();
  if (const auto config = aShared.config.read()) {
    snapshot.configVersion = config->version;
    snapshot.configAge = age;
    if (config->version > aQuery.newerConfig) {
      snapshot.configText = config->text;
    }
  }
  if (aQuery.newerReplicas) {
    snapshot.replicas = listNewerThan(aShared, *aQuery.newerReplicas);
  }
  if (aQuery.relays) {
    snapshot.relays = *aShared.peers.read();
  }
  return snapshot;
}

HttpReply
answer(RelayShared& aShared, const HttpRequest& aRequest)
{
  HttpReply reply;
  if (aRequest.path != snapshot_http::kPath) {
    reply.status = snapshot_http::kNotFound;
    return reply;
  }
  if (aShared.joining) {
    reply.status = snapshot_http::kUnavailable;
    return reply;
  }
  reply.body = encodeSnapshot(snapshotFor(aShared, queryFrom(aRequest)));
  aShared.metrics.count("snapshots_sent_total");
  aShared.metrics.count("snapshot_bytes_sent_total", reply.body.size());
  return reply;
}

} // namespace

SnapshotServer::SnapshotServer(std::unique_ptr<HttpServer> aServer)
  : server(std::move(aServer))
{
}

Result<std::unique_ptr<SnapshotServer>>
SnapshotServer::create(const Address& aListen, RelayShared& aShared)
{
  HttpServerLimits limits;
  limits.maxConnections = kMaxConnections;
  limits.idleTimeout = kIdleTimeout;
  Result<std::unique_ptr<HttpServer>> server = HttpServer::create(
    aListen,
    [&aShared](const HttpRequest& aRequest) {
      return answer(aShared, aRequest);
    },
    limits);
  if (!server) {
    return server.error();
  }
  return std::unique_ptr<SnapshotServer>(
    new SnapshotServer(std::move(server).value()));
}

} // namespace poplartrack
