#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "poplartrack/entry/ActiveRun.h"
#include "poplartrack/entry/EntryParts.h"

namespace poplartrack {

/**
 * Executes the actions of the state machines of model requests: chooses routes,
 * sends messages to sides, sets timers. Passes them tokens, reports of failed
 * stages and replies.
 */
class ModelRunner
{
public:
  ModelRunner(EntryParts aParts, RunPolicy aPolicy);

  /** Starts a request on the route that its admission was based on. */
  Result<std::shared_ptr<ActiveRun>> start(const RequestSpec& aSpec,
                                           const RoutePlan& aPlan);

  /** Handles a token from a side. */
  TokenReply onToken(const TokenReady& aToken);
  /** Handles a side's report of a failed stage. */
  void onTrouble(const StageTrouble& aTrouble);
  /** Handles a restart of an endpoint. */
  void onEndpointGone(const std::string& aEndpoint);
  /** Handles a caller that disconnects before the end of its request. */
  void onCallerGone(const std::shared_ptr<ActiveRun>& aRun);
  /** Ends all requests, since the process ends. Others are refused from now
   * on. */
  void endAll();

  /** Returns the query that chooses a request's route. */
  RouteQuery queryFor(const RequestSpec& aSpec, TimePoint aNow) const;

  /** Returns the number of requests in progress. */
  [[nodiscard]] std::size_t active() const;

private:
  using RunPtr = std::shared_ptr<ActiveRun>;
  using Actions = std::vector<RunAction>;

  RunPtr find(const RequestId& aRequest) const;
  [[nodiscard]] std::vector<RunPtr> allRuns() const;
  /** Passes an event to a run and executes the resulting actions. */
  void apply(const RunPtr& aRun,
             const std::function<Actions(RequestRun&, TimePoint)>& aEvent);
  void absorb(ActiveRun& aRun, const Actions& aActions, TimePoint aNow);
  void noteRoute(ActiveRun& aRun, TimePoint aNow);
  void setTimer(const RunPtr& aRun);
  void execute(const RunPtr& aRun, const RunAction& aAction);
  void route(const RunPtr& aRun, const NeedRoute& aNeed);
  /** Chooses a route without the endpoints of the first of these sets, or of
   * the next one if there is none. */
  Result<RoutePlan> choose(
    const ActiveRun& aRun,
    const std::vector<std::set<std::string>>& aAvoidInOrder);
  /** Looks for a route that replaces an attempt which otherwise continues. */
  void replace(const RunPtr& aRun, const NeedRoute& aNeed);
  void chooseAgain(const RunPtr& aRun,
                   const NeedRoute& aNeed,
                   TimePoint aSince);
  void open(const RunPtr& aRun, const SendOpen& aSend);
  void firstStep(const RunPtr& aRun, const SendFirstStep& aSend);
  void fence(const RunPtr& aRun, const SendFence& aSend);
  void noteBlame(ActiveRun& aRun, const NeedRoute& aNeed);
  void noteStall(ActiveRun& aRun, const NeedRoute& aNeed);

  EntryParts parts;
  RunPolicy policy;
  mutable std::mutex guard;
  /** No further request starts. */
  bool isEnding = false;
  std::unordered_map<RequestId, RunPtr> runs;
};

} // namespace poplartrack
