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

/** Where the platform is, and how long a call may last. */
struct PlatformClientSettings
{
  Address platform;
  /** A whole call, its connection included. */
  Duration timeout = std::chrono::seconds{ 2 };
  Duration connectTimeout = std::chrono::milliseconds{ 500 };
};

/**
 * The platform over HTTP (docs/PLATFORM.md). Satisfies PlatformLike; calls
 * block for at most the timeout and are never repeated here: whoever calls
 * knows whether a repeat is safe. Safe to call from any thread but the HTTP
 * client's own.
 */
class PlatformClient
{
public:
  /** The HTTP client must outlive this. */
  PlatformClient(HttpClient& aHttp, PlatformClientSettings aSettings);

  Result<std::optional<TableRow>> readRow(const std::string& aTable,
                                          const std::string& aKey);
  Result<std::vector<TableRow>> scanRows(const std::string& aTable,
                                         const std::string& aPrefix,
                                         const std::string& aAfter,
                                         std::size_t aLimit);
  /** Versions of the rows written, in the order of the writes; 0: deleted. */
  Result<std::vector<std::uint64_t>> transact(
    const std::vector<TableWrite>& aWrites);
  /** Objects never change: the same bytes again are Done, others Conflict. */
  Result<Done> putObject(const std::string& aName, const std::string& aBytes);
  Result<std::string> getObject(const std::string& aName);
  Result<std::vector<InstanceInfo>> listInstances();

private:
  HttpResult send(HttpCall aCall);
  Result<std::string> read(const std::string& aPath);

  HttpClient& http;
  PlatformClientSettings settings;
};

} // namespace poplartrack
