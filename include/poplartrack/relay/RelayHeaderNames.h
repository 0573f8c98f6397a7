#pragma once

#include <functional>
#include <string>

#include "poplartrack/fleet/LayerPath.h"

namespace poplartrack {

/** Names of the header fields that callers, replicas and relays exchange. The
 * platform adapter fills them in; no other code contains their text. */
struct RelayHeaderNames
{
  /** Identifies one attempt of a caller; replicas echo its value. */
  std::string requestId;
  /** How much longer the caller waits, in ms. */
  std::string deadline;
  /** Token counts "P,A": length of the prompt, maximum length of the answer. */
  std::string tokens;
  /** The parts of the prompt, in order: "ID:TOKENS,...". Requests share parts;
   * the last one belongs to the request alone. */
  std::string promptParts;
  /** The caller's estimate of the answer's length in tokens. */
  std::string lengthHint;
  /** The caller's API key; never forwarded. */
  std::string apiKey;
  /** Name of the client account; only the relay sets it. */
  std::string account;
  /** Id of the replica that the request is meant for; any other replica refuses
   * it. */
  std::string expectReplica;
  /** On an answer: the replica did not execute the request. */
  std::string notRun;
  /** The replicas that a request passes through, with the layers that each one
   * computes. */
  std::string path;
  /** Urgency of the request at the replicas, 0 (most urgent) to 9. */
  std::string urgency;
  /** On a refusal: address of the responsible replica. */
  std::string faultyReplica;
  /** On an answer: the replica's rate limit, in requests a second from all
   * relays together, as a decimal number. It holds as long as the replica's
   * answers carry it. */
  std::string rateLimit;
  /** On an answer: "1" if the replica drains. */
  std::string draining;
  /** Id of the last event that the receiver of a stream has. */
  std::string lastEventId;
  /** Proves that an answer came from a replica. */
  std::string stamp;
  /** Formats a path as the value of the path field. */
  std::function<std::string(const LayerPath&)> pathText;
};

} // namespace poplartrack
