#pragma once

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/**
 * Tells whether packets wait at the network link of this instance. While they
 * do, a replica or relay that does not answer in time shows nothing about
 * itself: the question or the answer is still in this link. The evidence is how
 * long messages of this relay take to be echoed by any other relay. Does no
 * I/O; not thread-safe.
 */
class OwnLink
{
public:
  /** Longest round trip, without the time that the other relay kept the echo,
   * on a link where nothing waits. */
  static constexpr Duration kMaxRoundTrip = std::chrono::milliseconds{ 100 };
  /** A short round trip shows for this long that nothing waits: two intervals
   * of the messages of a zone. */
  static constexpr Duration kProofTime = std::chrono::milliseconds{ 400 };

  /** Records the round trip of a message of this relay. */
  void onEcho(Duration aRoundTrip, TimePoint aNow)
  {
    (aRoundTrip <= kMaxRoundTrip ? this->shortAt : this->longAt) = aNow;
  }
  /** Returns whether packets wait: the latest echoes all took long. A relay
   * that receives no echoes cannot tell. */
  [[nodiscard]] bool isSlow(TimePoint aNow) const
  {
    return this->longAt > this->shortAt && aNow - this->shortAt > kProofTime;
  }

private:
  TimePoint shortAt{};
  TimePoint longAt{};
};

} // namespace poplartrack
