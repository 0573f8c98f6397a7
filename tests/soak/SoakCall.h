#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace poplartrack::soak {

/** How a request may be repeated. */
enum class RequestKind : std::uint8_t
{
  Once,
  Again,
  Stream,
};

constexpr std::string_view kPlainService = "plain";
constexpr std::string_view kModelService = "model";

/** The service that answers requests of this kind. */
constexpr std::string_view
serviceOf(RequestKind aKind)
{
  return aKind == RequestKind::Stream ? kModelService : kPlainService;
}

/** What a caller saw of one request. */
struct CallRecord
{
  RequestKind kind = RequestKind::Once;
  std::string key;
  /** 0: no answer, or none that could be read. */
  int status = 0;
  /** A success that was whole by its framing. */
  bool whole = false;
  /** Why the answer is wrong; empty: it is right, or there is none. */
  std::string wrong;
  /** The relay that it was sent to. */
  std::string relay = {};
  /** In ms of the clock that counts suspension. */
  std::int64_t sentAt = 0;
  /** When the answer had come or the caller gave up. */
  std::int64_t endedAt = 0;
  /** The only request of its account at that time. */
  bool alone = false;
  /** When a refusal asked the caller to return; 0: it did not. */
  std::chrono::milliseconds retryAfter{ 0 };
  std::size_t bodyBytes = 0;
};

} // namespace poplartrack::soak
