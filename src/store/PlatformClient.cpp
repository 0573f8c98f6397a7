#include "poplartrack/store/PlatformClient.h"

#include <utility>

#include "PlatformJson.h"
#include "poplartrack/base/PercentEncoding.h"
#include "poplartrack/store/CallFailure.h"

namespace poplartrack {
namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

Error
unreadableReply()
{
  return fail(ErrorKind::PlatformUnavailable, "the answer cannot be read");
}

} // namespace

PlatformClient::PlatformClient(HttpClient& aHttp,
                               PlatformClientSettings aSettings)
  : http(aHttp)
  , settings(std::move(aSettings))
{
}

HttpResult
PlatformClient::send(HttpCall aCall)
{
  aCall.url = "http://" + toText(this->settings.platform) + aCall.url;
  aCall.timeout = this->settings.timeout;
  aCall.connectTimeout = this->settings.connectTimeout;
  return this->http.sendAndWait(std::move(aCall));
}

HttpResult
PlatformClient::write(HttpCall aCall)
{
  // libcurl silently repeats a request when a kept-alive connection breaks
  // during it. The repeated write would meet the effect of the first one, or
  // be refused after it: its answer says nothing about the first one.
  aCall.freshConnection = true;
  return this->send(std::move(aCall));
}

Result<std::string>
PlatformClient::get(const std::string& aPath)
{
  HttpCall call;
  call.url = aPath;
  HttpResult result = this->send(std::move(call));
  if (result.outcome != CallOutcome::Replied || result.status != kOk) {
    return readFailure(result, kNotFound);
  }
  return std::move(result.body);
}

Result<std::optional<TableRow>>
PlatformClient::readRow(const std::string& aTable, const std::string& aKey)
{
  const Result<std::string> text =
    this->get("/tables/" + percentEncode(aTable) + "/" + percentEncode(aKey));
  if (!text && text.error().kind == ErrorKind::NotFound) {
    return std::optional<TableRow>{};
  }
  if (!text) {
    return text.error();
  }
  std::optional<TableRow> row = rowFromJson(text.value(), aKey);
  if (!row) {
    return unreadableReply();
  }
  return row;
}

Result<std::vector<TableRow>>
PlatformClient::scanRows(const std::string& aTable,
                         const std::string& aPrefix,
                         const std::string& aAfter,
                         std::size_t aLimit)
{
  const Result<std::string> text = this->get(
    "/tables/" + percentEncode(aTable) + "?prefix=" + percentEncode(aPrefix) +
    "&after=" + percentEncode(aAfter) + "&limit=" + std::to_string(aLimit));
  if (!text) {
    return text.error();
  }
  std::optional<std::vector<TableRow>> rows = rowsFromJson(text.value());
  if (!rows) {
    return unreadableReply();
  }
  return std::move(*rows);
}

Result<std::vector<std::uint64_t>>
PlatformClient::transact(const std::vector<TableWrite>& aWrites)
{
  HttpCall call;
  call.method = "POST";
  call.url = "/transactions";
  call.body = transactionToJson(aWrites);
  const HttpResult result = this->write(std::move(call));
  if (result.outcome != CallOutcome::Replied || result.status != kOk) {
    return writeFailure(result, kConflict);
  }
  std::optional<std::vector<std::uint64_t>> versions =
    versionsFromJson(result.body);
  if (!versions || versions->size() != aWrites.size()) {
    return fail(ErrorKind::PlatformUnknown, "the answer cannot be read");
  }
  return std::move(*versions);
}

Result<Done>
PlatformClient::putObject(const std::string& aName, const std::string& aBytes)
{
  HttpCall call;
  call.method = "PUT";
  call.url = "/objects/" + percentEncode(aName);
  call.body = aBytes;
  const HttpResult result = this->write(std::move(call));
  const bool stored = result.status == kOk || result.status == kCreated;
  if (result.outcome != CallOutcome::Replied || !stored) {
    return writeFailure(result, kConflict);
  }
  return Done{};
}

Result<std::string>
PlatformClient::getObject(const std::string& aName)
{
  return this->get("/objects/" + percentEncode(aName));
}

Result<std::vector<InstanceInfo>>
PlatformClient::listInstances()
{
  const Result<std::string> text = this->get("/instances");
  if (!text) {
    return text.error();
  }
  std::optional<std::vector<InstanceInfo>> instances =
    instancesFromJson(text.value());
  if (!instances) {
    return unreadableReply();
  }
  return std::move(*instances);
}

static_assert(PlatformLike<PlatformClient>);

} // namespace poplartrack
