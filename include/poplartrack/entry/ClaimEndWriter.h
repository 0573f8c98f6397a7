#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>

#include "poplartrack/base/Clock.h"
#include "poplartrack/entry/IdempotencyClaim.h"

namespace poplartrack {

/** Bounds of the writes that are kept for retries. */
struct ClaimEndPolicy
{
  /** Longer than a waiting call waits for the platform
   * (ClaimWaitPolicy::maxOutage); also the most that it prolongs a drain. */
  Duration maxAge = std::chrono::seconds{ 30 };
  /** 8 MiB if each has an answer of kMaxClaimBody. */
  std::size_t maxKept = 512;
};

/**
 * Writes the ends of claimed calls, and keeps those that the platform did not
 * take for retries, so that no caller's answer waits for the platform to
 * return. Without a recorded end, repeats with the key wait until their
 * deadlines. Safe to call from any thread; one thread calls retry().
 */
class ClaimEndWriter
{
public:
  using Write = std::function<Result<Done>(const ClaimEnd&)>;

  explicit ClaimEndWriter(Write aWrite, ClaimEndPolicy aPolicy = {})
    : writeRow(std::move(aWrite))
    , policy(aPolicy)
  {
  }

  /** Writes an end once, and keeps it if a retry may succeed. Blocks on the
   * platform. */
  void write(ClaimEnd aEnd, TimePoint aNow);

  /** Retries the kept ends until one of them fails again. Returns how many were
   * dropped, because of their age or number, since the last call. Blocks on the
   * platform. */
  std::uint64_t retry(TimePoint aNow);

  [[nodiscard]] std::size_t kept() const;

private:
  struct Kept
  {
    ClaimEnd end;
    TimePoint since;
  };

  [[nodiscard]] bool needsRetry(const ClaimEnd& aEnd) const;

  Write writeRow;
  ClaimEndPolicy policy;
  mutable std::mutex guard;
  std::list<Kept> ends;
  std::uint64_t dropped = 0;
};

} // namespace poplartrack
