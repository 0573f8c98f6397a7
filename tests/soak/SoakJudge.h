#pragma once

#include <string>
#include <vector>

#include "soak/SoakRecord.h"

namespace poplartrack::soak {

/** What became of the requests of a run. */
struct SoakVerdict
{
  std::size_t calls = 0;
  std::size_t whole = 0;
  /** Answered 429 or 503: promised not to have run. */
  std::size_t refused = 0;
  /** How often a request was held back for its account's share. */
  std::size_t beyondShare = 0;
  /** How many requests a replica had taken before it fell silent, where neither
   * their relay nor a replica of their service was lost meanwhile. */
  std::size_t throughSilence = 0;
  /** Promises that were broken, one line each. */
  std::vector<std::string> broken;
};

/**
 * Holds what callers saw against what replicas ran:
 * - what may run once has run at most once;
 * - what was refused with a promise has not run;
 * - no run without a request of that id;
 * - each whole answer is the replica's, each stream complete and in order, and
 *   what came of a broken one is its beginning;
 * - no run with a key later than 5 s after it was taken away;
 * - no run that no desired state lets in, and no refusal that callers don't
 *   repeat of what each one lets in, of those that may be in force: the one of
 *   5 s before the request was sent, and all later ones;
 * - at most two requests of a relay reach a replica from half a second after it
 *   has rejected one of that relay until the end of the backoff that it asks
 *   for;
 * - no request that was sent later than 2 s after a relay had passed on an
 *   answer of a replica that announces its drain reaches that replica from it.
 * - at most three replicas crash under a prompt part later than 3 s after the
 *   fifth has.
 * - each request that a replica had taken before it fell silent is answered
 *   whole, unless its relay or a replica of its service was lost, that replica
 *   stopped within the head of its answers, or it was sent when its relay had
 *   been told to end.
 * - no request is held back or refused for its account's share while it is the
 *   only one of its account.
 * The backoffs and drains hold where neither of the two was disturbed
 * meanwhile.
 *
 * @param aLines the log lines of relays about requests beyond their account's
 * share; "run ID MS", "took REPLICA ID MS", "rejected REPLICA ID MS",
 * "announced REPLICA ID MS" and "crashed REPLICA ID MS", as replicas printed
 * them
 */
SoakVerdict
judge(const SoakRecord& aRecord, const std::vector<std::string>& aLines);

} // namespace poplartrack::soak
