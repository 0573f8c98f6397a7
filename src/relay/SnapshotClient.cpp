#include "poplartrack/relay/SnapshotClient.h"

#include <string>
#include <utility>

#include "SnapshotHttp.h"
#include "SnapshotMessage.h"

namespace poplartrack {
namespace {

std::string
urlOf(const Address& aRelay, const SnapshotQuery& aQuery)
{
  using namespace snapshot_http;
  std::string url = "http://" + toText(aRelay) + kPath + "?" + kConfigField +
                    "=" + std::to_string(aQuery.newerConfig);
  if (aQuery.newerReplicas) {
    url += std::string{ "&" } + kReplicasField + "=" +
           std::to_string(*aQuery.newerReplicas);
  }
  if (aQuery.relays) {
    url += std::string{ "&" } + kRelaysField + "=1";
  }
  return url;
}

} // namespace

Result<FleetSnapshot>
SnapshotClient::fetch(const Address& aRelay,
                      const SnapshotQuery& aQuery,
                      Duration aTimeout)
{
  HttpCall call;
  call.url = urlOf(aRelay, aQuery);
  // A kept connection may have gone silent, and the next call to the same relay
  // is seconds away.
  call.headers["Connection"] = "close";
  call.freshConnection = true;
  call.timeout = aTimeout;
  call.connectTimeout = aTimeout;
  const HttpResult result = this->http.sendAndWait(std::move(call));
  if (result.outcome != CallOutcome::Replied ||
      result.status != snapshot_http::kOk) {
    return fail(ErrorKind::PlatformUnavailable,
                "no snapshot from " + toText(aRelay));
  }
  return decodeSnapshot(result.body);
}

} // namespace poplartrack
