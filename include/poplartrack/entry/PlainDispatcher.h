#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "poplartrack/entry/EntryParts.h"
#include "poplartrack/entry/PlainRun.h"

namespace poplartrack {

/** How a plain call ended. */
struct PlainEnd
{
  /** The service's answer; nullopt if the call was given up. */
  std::optional<Answer> answer;
  Error error;
  RunState ran = RunState::Unknown;
  std::uint32_t attempts = 0;
  std::string endpoint;
};

/** Executes the actions of the state machines of plain calls, on the caller's
 * thread and the I/O threads. It shares no queue with model requests. */
class PlainDispatcher
{
public:
  PlainDispatcher(EntryParts aParts, PlainPolicy aPolicy);

  /** Runs a call to its end; blocks the calling thread. */
  PlainEnd call(const PlainSpec& aSpec);
  /** Ends all calls, since the process ends. Others are refused from now on. */
  void endAll();

private:
  struct Active;
  using ActivePtr = std::shared_ptr<Active>;
  using Actions = std::vector<PlainAction>;

  /** Returns false if no further call may start. */
  bool add(const ActivePtr& aCall);
  void remove(const ActivePtr& aCall);
  static PlainEnd awaitEnd(Active& aCall);

  void apply(const ActivePtr& aCall,
             const std::function<Actions(PlainRun&, TimePoint)>& aEvent);
  void absorb(Active& aCall, const Actions& aActions);
  void setTimer(const ActivePtr& aCall);
  void execute(const ActivePtr& aCall, const PlainAction& aAction);
  void choose(const ActivePtr& aCall, const NeedEndpoint& aNeed);
  void send(const ActivePtr& aCall, const SendPlain& aSend);
  void fence(const ActivePtr& aCall, const SendFence& aSend);

  EntryParts parts;
  PlainPolicy policy;
  std::mutex guard;
  /** The calls in progress. Protected by guard. */
  std::set<ActivePtr> calls;
  /** No further call starts. Protected by guard. */
  bool isEnding = false;
};

} // namespace poplartrack
