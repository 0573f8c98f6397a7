#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/http/HttpClient.h"
#include "poplartrack/store/PlatformLike.h"

namespace poplartrack {

/** Address of the platform and timeouts of calls to it. */
struct PlatformClientSettings
{
  Address platform;
  /** Maximum duration of a call, including its connect. */
  Duration timeout = std::chrono::seconds{ 2 };
  Duration connectTimeout = std::chrono::milliseconds{ 500 };
};

/**
 * Client of the platform's HTTP interface (docs/PLATFORM.md). Satisfies
 * PlatformLike. Calls block for at most the timeout and are never retried here,
 * because only the caller knows whether a retry is safe. May be used from any
 * thread except the HTTP client's own.
 */
class PlatformClient
{
public:
  /** The HTTP client must outlive this object. */
  PlatformClient(HttpClient& aHttp, PlatformClientSettings aSettings);

  Result<std::optional<TableRow>> readRow(const std::string& aTable,
                                          const std::string& aKey);
  Result<std::vector<TableRow>> scanRows(const std::string& aTable,
                                         const std::string& aPrefix,
                                         const std::string& aAfter,
                                         std::size_t aLimit);
  /** Applies all writes or none. Returns the new versions of the rows in the
   * order of the writes; 0 for a deleted row. */
  Result<std::vector<std::uint64_t>> transact(
    const std::vector<TableWrite>& aWrites);
  /** Stores an immutable object. Storing the same bytes again succeeds; storing
   * other bytes under the same name is a Conflict. */
  Result<Done> putObject(const std::string& aName, const std::string& aBytes);
  Result<std::string> getObject(const std::string& aName);
  Result<std::vector<InstanceInfo>> listInstances();

private:
  /** Sends a call, whose URL is a path, to the platform and waits for its
   * end. */
  HttpResult send(HttpCall aCall);
  /** As send, for a call that writes. Its request is sent at most once. */
  HttpResult write(HttpCall aCall);
  /** Sends a GET request and returns the body of the reply. */
  Result<std::string> get(const std::string& aPath);

  HttpClient& http;
  PlatformClientSettings settings;
};

} // namespace poplartrack
