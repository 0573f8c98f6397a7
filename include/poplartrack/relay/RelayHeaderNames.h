#pragma once

#include <functional>
#include <string>

#include "poplartrack/fleet/LayerPath.h"

namespace poplartrack {

/** Names of the header fields that callers, replicas and relays exchange. The
 * adapter of a platform fills them in; nothing else knows their text. */
struct RelayHeaderNames
{
  /** Identifies one attempt of a caller; replicas echo it. */
  std::string requestId;
  /** Time that the caller still waits, in ms. */
  std::string deadline;
  /** "prompt,most answer" in tokens. */
  std::string tokens;
  /** The caller's estimate of the answer's tokens. */
  std::string lengthHint;
  /** The caller's API key; never passed on. */
  std::string apiKey;
  /** Name of the client account, set by the relay alone. */
  std::string account;
  /** Id of the replica that is meant; any other refuses. */
  std::string expectReplica;
  /** On an answer: the replica did not run the request. */
  std::string notRun;
  /** The path of a request through replicas. */
  std::string path;
  /** Urgency at the replicas, 0 to 9. */
  std::string urgency;
  /** On a refusal: address of the replica at fault. */
  std::string faultyReplica;
  /** On an answer: requests a second that the replica takes from all relays
   * together, a decimal number, for as long as its answers say so. */
  std::string rateLimit;
  /** Last event that the receiver of a stream has. */
  std::string lastEventId;
  /** Proves that an answer came from a replica. */
  std::string stamp;
  /** Writes a path as the value of its field. */
  std::function<std::string(const LayerPath&)> pathText;
};

} // namespace poplartrack
