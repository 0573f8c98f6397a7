#pragma once

#include <cstdint>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/**
 * Decides when a PING is sent on a connection with calls in progress, and when
 * the connection counts as dead.
 *
 * A peer that is suspended, or whose network path is cut, does not close its
 * connections: each call to it would wait for its whole timeout. A PING that is
 * not answered in time ends the connection and all its calls at once.
 */
class KeepAlive
{
public:
  enum class Step : std::uint8_t
  {
    Wait,
    /** Send a PING now. */
    Ping,
    /** Close the connection. */
    Dead,
  };

  KeepAlive(Duration aInterval, Duration aTimeout)
    : interval(aInterval)
    , timeout(aTimeout)
  {
  }

  /** Handles received bytes, or the start of the first call. */
  void heard(TimePoint aNow)
  {
    this->lastHeard = aNow;
    this->pinged = false;
  }

  /** Returns what to do now. Call at next(), or at any time. */
  Step check(TimePoint aNow)
  {
    if (aNow < this->next()) {
      return Step::Wait;
    }
    if (this->pinged) {
      return Step::Dead;
    }
    this->pinged = true;
    this->pingedAt = aNow;
    return Step::Ping;
  }

  /** Returns when check() will next return something other than Wait. */
  [[nodiscard]] TimePoint next() const
  {
    return this->pinged ? this->pingedAt + this->timeout
                        : this->lastHeard + this->interval;
  }

private:
  Duration interval;
  Duration timeout;
  TimePoint lastHeard{};
  TimePoint pingedAt{};
  bool pinged = false;
};

} // namespace poplartrack
