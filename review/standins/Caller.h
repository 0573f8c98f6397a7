#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "RawConnection.h"
#include "Record.h"
#include "poplartrack/base/Address.h"

namespace poplartrack::review {

/** A request of a caller. */
struct CallerRequest
{
  std::string target;
  std::size_t bodyBytes = 0;
  std::chrono::milliseconds deadline{ 20'000 };
  /** Speed at which the caller reads the answer. */
  ReadPace readPace;
};

/** What came of a request, as the caller sees it. */
struct CallerOutcome
{
  std::string requestId;
  /** The request was sent on a connection that had served one before. */
  bool keptConnection = false;
  /** Status of the answer; 0 if there was none. */
  int status = 0;
  std::size_t bytesRead = 0;
  /** The body of a chunked answer. */
  std::string chunkedBody;
  /** The answer is complete. */
  bool complete = false;
  /** How the last read ended. */
  ReadEnd end = ReadEnd::TimedOut;
};

/** A caller with one connection that it keeps open for many requests. */
class Caller
{
public:
  Caller(std::string aName,
         Address aRelay,
         Record& aRecord,
         int aReceiveBuffer = kReceiveBufferBytes)
    : name(std::move(aName))
    , relay(std::move(aRelay))
    , record(aRecord)
    , receiveBuffer(aReceiveBuffer)
  {
  }

  /** Sends a request and reads its answer. Afterwards the connection is kept if
   * the answer is complete and does not close it. */
  CallerOutcome call(const CallerRequest& aRequest);
  /** Repeats a small request until one was served on the connection, which is
   * then a kept one; false if none was in time. */
  bool openKept(const std::string& aTarget);

private:
  void log(const CallerOutcome& aOutcome) const;

  std::string name;
  Address relay;
  Record& record;
  int receiveBuffer;
  std::optional<RawConnection> connection;
  bool kept = false;
  int sent = 0;
};

} // namespace poplartrack::review
