#pragma once

#include <optional>
#include <string_view>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** What an answer of a replica says about the replica itself, whatever it
 * answers: a request, an order or a status query. */
struct ReplicaSignals
{
  /** The replica rejected the call and wants no further ones from this relay
   * for this long. */
  std::optional<Duration> backoff;
  /** Rate limit for all relays together, in requests a second. */
  std::optional<double> rateLimit;
  /** The replica drains and takes no new work. */
  bool draining = false;
  /** A field was present whose value could not be parsed. */
  bool hasUnreadableBackoff = false;
  bool hasUnreadableLimit = false;
};

/** The parts of an answer's head that hold signals. A field that the answer
 * does not have is nullopt. */
struct SignalFields
{
  int status = 0;
  /** Seconds, with a fraction or without. */
  std::optional<std::string_view> retryAfter;
  /** Requests a second, as a decimal number. */
  std::optional<std::string_view> rateLimit;
  /** "1" if the replica drains. */
  std::optional<std::string_view> draining;
};

/** Parses the signals of an answer. Only a rejection (429 or 503) asks for a
 * backoff. */
ReplicaSignals
parseSignals(const SignalFields& aFields);

} // namespace poplartrack
