#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "poplartrack/entry/ActiveRun.h"
#include "poplartrack/entry/EntryParts.h"

namespace poplartrack {

/**
 * Carries out what the state machines of model requests ask for: routes,
 * messages to sides, timers. Brings them tokens, trouble and replies.
 */
class ModelRunner
{
public:
  ModelRunner(EntryParts aParts, RunPolicy aPolicy);

  /** Starts a request on the route that admission was judged by. */
  Result<std::shared_ptr<ActiveRun>> start(const RequestSpec& aSpec,
                                           const RoutePlan& aPlan);

  /** A side brings a token. */
  TokenReply onToken(const TokenReady& aToken);
  /** A side reports trouble. */
  void onTrouble(const StageTrouble& aTrouble);
  /** An endpoint's earlier incarnation is gone. */
  void onEndpointGone(const std::string& aEndpoint);
  /** The caller's connection has closed before the end. */
  void onCallerGone(const std::shared_ptr<ActiveRun>& aRun);

  /** The query by which a request's route is chosen. */
  RouteQuery queryFor(const RequestSpec& aSpec, TimePoint aNow) const;

  /** Requests that have not ended. */
  [[nodiscard]] std::size_t active() const;

private:
  using RunPtr = std::shared_ptr<ActiveRun>;
  using Actions = std::vector<RunAction>;

  RunPtr find(const RequestId& aRequest) const;
  /** Gives one event to a run and carries out what comes of it. */
  void apply(const RunPtr& aRun,
             const std::function<Actions(RequestRun&, TimePoint)>& aEvent);
  void absorb(ActiveRun& aRun, const Actions& aActions, TimePoint aNow);
  void noteRoute(ActiveRun& aRun, TimePoint aNow);
  void setTimer(const RunPtr& aRun);
  void execute(const RunPtr& aRun, const RunAction& aAction);
  void route(const RunPtr& aRun, const NeedRoute& aNeed);
  void chooseAgain(const RunPtr& aRun,
                   const NeedRoute& aNeed,
                   TimePoint aSince);
  void open(const RunPtr& aRun, const SendOpen& aSend);
  void firstStep(const RunPtr& aRun, const SendFirstStep& aSend);
  void fence(const RunPtr& aRun, const SendFence& aSend);
  void noteBlame(ActiveRun& aRun, const NeedRoute& aNeed);

  EntryParts parts;
  RunPolicy policy;
  mutable std::mutex guard;
  std::unordered_map<RequestId, RunPtr> runs;
};

} // namespace poplartrack
