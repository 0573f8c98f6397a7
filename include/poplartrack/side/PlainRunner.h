#pragma once

#include <map>
#include <mutex>
#include <vector>

#include "poplartrack/side/StageRunner.h"
#include "poplartrack/wire/StreamServer.h"

namespace poplartrack {

/** Runs plain calls at the endpoint, each request once: duplicates wait for the
 * call in progress or get its answer again. */
class PlainRunner
{
public:
  explicit PlainRunner(SideParts aParts);

  /** Handles a call; aRespond is called with the reply. */
  void call(const PlainCall& aCall, const Responder& aRespond);

private:
  void dispatch(const PlainCall& aCall, TimePoint aDeadline);
  void onEndpointDone(const PlainCall& aCall, const HttpResult& aResult);
  PlainReply judge(const HttpResult& aResult) const;
  std::vector<Responder> takeWaiting(const RequestId& aRequest);

  SideParts parts;
  std::mutex guard;
  /** Those that wait for a call in progress. */
  std::map<RequestId, std::vector<Responder>> waiting;
};

} // namespace poplartrack
