#pragma once

#include <optional>
#include <string>

#include "poplartrack/base/Clock.h"
#include "poplartrack/retry/Fingerprint.h"

namespace poplartrack {

/** The report that a replica crashed while it had a request with a certain
 * content, or with a certain part in its prompt. */
struct CrashReport
{
  /** The content, or the prompt part whoever sends it. */
  Fingerprint suspect;
  /** Id of one incarnation of the replica. */
  std::string replica;
  /** The replica had just begun to run the request, or had not begun yet. */
  bool early = false;
  /** Of a prompt part: the part in the requests of this client account. */
  std::optional<Fingerprint> accountPart{};
  /** Of a prompt part: the reporting relay had seen a replica begin to answer a
   * request with it shortly before. */
  bool familiar = false;
  /** When the connection of the request ended. Relays notice it at different
   * times, so it is not compared. */
  TimePoint brokenAt{};
  /** The replica fell silent. Not compared: a relay of another zone may see its
   * connection end. */
  bool silent = false;

  friend bool operator==(const CrashReport& aLeft, const CrashReport& aRight)
  {
    return aLeft.suspect == aRight.suspect && aLeft.replica == aRight.replica &&
           aLeft.early == aRight.early &&
           aLeft.accountPart == aRight.accountPart;
  }
};

} // namespace poplartrack
