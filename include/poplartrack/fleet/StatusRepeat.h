#pragma once

#include <string>
#include <utility>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/**
 * Decides whether a status message is sent to the relays of other zones. Each
 * relay sends one to each of them, so on a fleet at rest nearly all bytes
 * between zones are repetitions. A message with anything new is always sent;
 * one that repeats the last one only often enough that the receivers do not
 * take its sender for lost. Pure; not thread-safe.
 */
class StatusRepeat
{
public:
  /** Interval between messages with the same content. Receivers forget a relay
   * after two seconds, so that one of these messages may be lost. */
  static constexpr Duration kInterval = std::chrono::milliseconds{ 800 };

  /** Returns whether to send a message with this content, and records that it
   * was sent. aContent: what the message says, without the times in it. */
  bool shouldSend(std::string aContent, TimePoint aNow)
  {
    if (aContent == this->sent && aNow - this->sentAt < kInterval) {
      return false;
    }
    this->sent = std::move(aContent);
    this->sentAt = aNow;
    return true;
  }

private:
  std::string sent;
  TimePoint sentAt{};
};

} // namespace poplartrack
