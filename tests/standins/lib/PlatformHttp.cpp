#include "standins/lib/PlatformHttp.h"

#include <chrono>
#include <limits>
#include <thread>

#include "standins/lib/StandinHttp.h"

namespace poplartrack::standins {
namespace {

using nlohmann::json;

HttpReply
failureReply(const Error& aError)
{
  switch (aError.kind) {
    case ErrorKind::PlatformUnknown:
      return cutReply();
    case ErrorKind::Conflict:
      return errorReply(409, aError.detail);
    case ErrorKind::NotFound:
      return errorReply(404, aError.detail);
    default:
      return errorReply(503, aError.detail);
  }
}

std::string
queryText(const HttpRequest& aRequest, const std::string& aName)
{
  const auto found = aRequest.query.find(aName);
  return found == aRequest.query.end() ? std::string{} : found->second;
}

HttpReply
answerRow(ServedPlatform& aPlatform,
          const std::string& aTable,
          const std::string& aKey)
{
  const Result<std::optional<TableRow>> row = aPlatform.readRow(aTable, aKey);
  if (!row) {
    return failureReply(row.error());
  }
  if (!row.value()) {
    return errorReply(404, "not_found");
  }
  return jsonReply(
    200,
    { { "value", row.value()->value }, { "version", row.value()->version } });
}

HttpReply
answerScan(ServedPlatform& aPlatform,
           const std::string& aTable,
           const HttpRequest& aRequest)
{
  const std::uint64_t named = queryNumber(aRequest, "limit");
  const std::size_t limit =
    named > 0 ? named : std::numeric_limits<std::size_t>::max();
  const Result<std::vector<TableRow>> rows = aPlatform.scanRows(
    aTable, queryText(aRequest, "prefix"), queryText(aRequest, "after"), limit);
  if (!rows) {
    return failureReply(rows.error());
  }
  json list = json::array();
  for (const TableRow& row : rows.value()) {
    list.push_back({ { "key", row.key },
                     { "value", row.value },
                     { "version", row.version } });
  }
  return jsonReply(200, { { "rows", list } });
}

TableWrite
writeFromJson(const json& aWrite)
{
  TableWrite write;
  write.table = aWrite.at("table").get<std::string>();
  write.key = aWrite.at("key").get<std::string>();
  write.expect = aWrite.at("expect").get<std::uint64_t>();
  if (!aWrite.at("value").is_null()) {
    write.value = aWrite.at("value").get<std::string>();
  }
  return write;
}

HttpReply
answerTransaction(ServedPlatform& aPlatform, const json& aBody)
{
  std::vector<TableWrite> writes;
  for (const json& write : aBody.at("writes")) {
    writes.push_back(writeFromJson(write));
  }
  const Result<CommitEnd> end = aPlatform.commit(writes);
  if (!end) {
    return failureReply(end.error());
  }
  if (const auto* versions =
        std::get_if<std::vector<std::uint64_t>>(&end.value())) {
    return jsonReply(200, { { "versions", *versions } });
  }
  json list = json::array();
  for (const TableConflict& conflict :
       std::get<std::vector<TableConflict>>(end.value())) {
    list.push_back({ { "table", conflict.table },
                     { "key", conflict.key },
                     { "version", conflict.version } });
  }
  return jsonReply(409, { { "conflicts", list } });
}

HttpReply
answerObject(ServedPlatform& aPlatform,
             const std::string& aName,
             const HttpRequest& aRequest)
{
  if (aRequest.method == "PUT") {
    const Result<ObjectPut> put = aPlatform.storeObject(aName, aRequest.body);
    if (!put) {
      return failureReply(put.error());
    }
    return jsonReply(put.value() == ObjectPut::Created ? 201 : 200,
                     json::object());
  }
  Result<std::string> bytes = aPlatform.getObject(aName);
  if (!bytes) {
    return failureReply(bytes.error());
  }
  HttpReply reply;
  reply.headers["content-type"] = "application/octet-stream";
  reply.body = std::move(bytes).value();
  return reply;
}

HttpReply
answerInstances(ServedPlatform& aPlatform)
{
  const Result<std::vector<InstanceInfo>> list = aPlatform.listInstances();
  if (!list) {
    return failureReply(list.error());
  }
  json instances = json::array();
  for (const InstanceInfo& instance : list.value()) {
    const bool entry = instance.role == InstanceRole::Entry;
    instances.push_back(
      { { "name", instance.name },
        { "role", entry ? "entry" : "side" },
        { "zone", instance.zone },
        { "region", instance.region },
        { "address", instance.address },
        { "state", instance.draining ? "leaving" : "live" } });
  }
  return jsonReply(200, { { "instances", instances } });
}

HttpReply
answerWeights(ServedPlatform& aPlatform, const HttpRequest& aRequest)
{
  const std::uint64_t from = queryNumber(aRequest, "from");
  const std::uint64_t to = queryNumber(aRequest, "to");
  const auto layers = static_cast<std::uint32_t>(to > from ? to - from : 0);
  const auto transfer = aPlatform.beginTransfer(layers);
  if (!transfer) {
    return failureReply(transfer.error());
  }
  if (const auto* refused = std::get_if<TransferRefused>(&transfer.value())) {
    const auto wait =
      std::chrono::ceil<std::chrono::seconds>(refused->retryAfter);
    HttpReply reply = errorReply(429, "rate");
    reply.headers["retry-after"] = std::to_string(wait.count());
    return reply;
  }
  std::this_thread::sleep_for(
    std::get<TransferGranted>(transfer.value()).lasts);
  return jsonReply(200, json::object());
}

InstanceInfo
instanceFromJson(const json& aInstance)
{
  InstanceInfo instance;
  instance.name = aInstance.at("name").get<std::string>();
  instance.role =
    aInstance.at("role") == "entry" ? InstanceRole::Entry : InstanceRole::Side;
  instance.zone = aInstance.value("zone", "");
  instance.region = aInstance.value("region", "");
  instance.address = aInstance.at("address").get<std::string>();
  instance.draining = aInstance.value("state", "live") == "leaving";
  return instance;
}

Duration
millisOr(const json& aBody, const char* aKey, Duration aDefault)
{
  return aBody.contains(aKey) ? Duration{ std::chrono::milliseconds{
                                  aBody[aKey].get<std::int64_t>() } }
                              : aDefault;
}

void
changeFaults(ServedPlatform& aPlatform, const json& aBody)
{
  PlatformFaults faults = aPlatform.faults();
  faults.outage = aBody.value("outage", faults.outage);
  faults.slowBy = millisOr(aBody, "slowMillis", faults.slowBy);
  faults.loseAfter = aBody.value("loseAfter", faults.loseAfter);
  faults.loseBefore = aBody.value("loseBefore", faults.loseBefore);
  faults.listLag = millisOr(aBody, "listLagMillis", faults.listLag);
  faults.freezeList = aBody.value("freezeList", faults.freezeList);
  aPlatform.setFaults(faults);
}

json
toJson(const CallStats& aStats)
{
  return { { "total", aStats.total },
           { "refused", aStats.refused },
           { "lastSecond", aStats.lastSecond },
           { "peakSecond", aStats.peakSecond } };
}

HttpReply
answerTest(ServedPlatform& aPlatform, const HttpRequest& aRequest)
{
  if (aRequest.path == "/test/stats") {
    const PlatformStats stats = aPlatform.stats();
    return jsonReply(
      200,
      { { "reads", toJson(stats.reads) }, { "writes", toJson(stats.writes) } });
  }
  const json body = json::parse(aRequest.body);
  if (aRequest.path == "/test/faults") {
    changeFaults(aPlatform, body);
    return jsonReply(200, json::object());
  }
  if (aRequest.path == "/test/instances") {
    std::vector<InstanceInfo> list;
    for (const json& instance : body.at("instances")) {
      list.push_back(instanceFromJson(instance));
    }
    aPlatform.setInstances(std::move(list));
    return jsonReply(200, json::object());
  }
  return errorReply(404, "not_found");
}

HttpReply
route(ServedPlatform& aPlatform, const HttpRequest& aRequest)
{
  const std::vector<std::string> path = pathSegments(aRequest.path);
  if (path.empty()) {
    return errorReply(404, "not_found");
  }
  if (path[0] == "test") {
    return answerTest(aPlatform, aRequest);
  }
  if (path[0] == "tables" && path.size() == 3) {
    return answerRow(aPlatform, path[1], path[2]);
  }
  if (path[0] == "tables" && path.size() == 2) {
    return answerScan(aPlatform, path[1], aRequest);
  }
  if (path[0] == "transactions") {
    return answerTransaction(aPlatform, json::parse(aRequest.body));
  }
  if (path[0] == "objects" && path.size() == 2) {
    return answerObject(aPlatform, path[1], aRequest);
  }
  if (path[0] == "instances") {
    return answerInstances(aPlatform);
  }
  if (path[0] == "weights" && path.size() == 3) {
    return answerWeights(aPlatform, aRequest);
  }
  return errorReply(404, "not_found");
}

} // namespace

HttpReply
answerPlatformCall(ServedPlatform& aPlatform, const HttpRequest& aRequest)
{
  return guarded([&] { return route(aPlatform, aRequest); });
}

} // namespace poplartrack::standins
