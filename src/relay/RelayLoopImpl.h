#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "../wire/Poller.h"
#include "../wire/TimerQueue.h"
#include "AnswerLimits.h"
#include "AttemptTarget.h"
#include "BulkReads.h"
#include "CallerClose.h"
#include "CallerConnection.h"
#include "CandidateFilter.h"
#include "ConnectionEnd.h"
#include "CrashState.h"
#include "DemandGauges.h"
#include "DrainState.h"
#include "Exchange.h"
#include "LossProbeState.h"
#include "OutageProbeState.h"
#include "PaceState.h"
#include "PeerDatagram.h"
#include "PeerSending.h"
#include "PeerState.h"
#include "PeerStatus.h"
#include "PeerTraffic.h"
#include "PostedWork.h"
#include "RepathOrder.h"
#include "ReplicaConnection.h"
#include "RetryAdvice.h"
#include "ReturnState.h"
#include "poplartrack/fleet/AccountCapacity.h"
#include "poplartrack/fleet/LinkBudget.h"
#include "poplartrack/fleet/LoadTracker.h"
#include "poplartrack/fleet/LossReports.h"
#include "poplartrack/fleet/OutlierEjection.h"
#include "poplartrack/fleet/OwnLink.h"
#include "poplartrack/fleet/PathFinder.h"
#include "poplartrack/fleet/RecentReplicas.h"
#include "poplartrack/fleet/ReleaseNotices.h"
#include "poplartrack/fleet/ReplicaHealth.h"
#include "poplartrack/fleet/ReplicaLimits.h"
#include "poplartrack/fleet/ReplicaSignals.h"
#include "poplartrack/fleet/RequestedBackoffs.h"
#include "poplartrack/fleet/StatusRepeat.h"
#include "poplartrack/fleet/WaitQueue.h"
#include "poplartrack/relay/LoopLoad.h"
#include "poplartrack/relay/ProvenConfig.h"
#include "poplartrack/relay/RelayLoop.h"
#include "poplartrack/relay/RequestGate.h"
#include "poplartrack/retry/Fingerprint.h"
#include "poplartrack/retry/RetryBudgets.h"

namespace poplartrack {

/** Most bytes that one read takes from a caller or replica. */
constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;

/** Converts a rate from requests a second to thousandths of it: the log holds
 * only whole numbers. */
std::int64_t
toMilliRate(double aPerSecond);

/** The state of the loop's thread. Member functions run on that thread unless
 * their comment says otherwise. */
class RelayLoop::Impl
{
public:
  Impl(RelaySettings aSettings,
       RelayHeaderNames aNames,
       RelayShared& aShared,
       ReplicaCalls aCalls,
       LoopClock aClock,
       Poller aPoller);
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl();

  Result<Done> listen();
  void start();
  /** May be called from any thread. */
  void post(std::function<void()> aWork);
  void stop();
  /** May be called from any thread. */
  [[nodiscard]] std::size_t openRequests() const { return this->openCount; }
  /** May be called from any thread. */
  [[nodiscard]] std::size_t unwrittenAnswers() const
  {
    return this->unwrittenCount;
  }
  [[nodiscard]] const Address& address() const { return this->localCallers; }
  [[nodiscard]] const Address& peersAddress() const { return this->localPeers; }

private:
  // RelayLoop.cpp: the thread, its events and timers.
  void run();
  void endOpenRequests();
  void onEvent(const ReadyEvent& aEvent);
  void onTimer(std::uint64_t aKey);

  // RelayPeriodic.cpp: periodic tasks.
  void runPeriodicTasks();
  void logTurnedAway();
  void refreshReplicas();

  // RelayPublication.cpp: lost and busy replicas, for other threads.
  void publishLostReplicas();
  void publishBusyReplicas();
  [[nodiscard]] LossReport ownLosses() const;
  void announceLosses();
  void logLoss(const std::string& aReplica, bool aCertain);
  [[nodiscard]] std::string_view ownLossSignal(
    const std::string& aReplica) const;

  // RelayCallers.cpp: connections from callers.
  void acceptCallers();
  void addCaller(OwnedFd aFd);
  void onCallerReadable(CallerConnection& aCaller);
  void parseCallerInput(CallerConnection& aCaller);
  void onParseProblem(CallerConnection& aCaller, ParseProblem aProblem);
  [[nodiscard]] std::optional<CallerLimits> callerLimits() const;
  [[nodiscard]] bool areLimitsCertain(const CallerConnection& aCaller) const;
  void beginRequest(CallerConnection& aCaller);
  void endRequest(CallerConnection& aCaller);
  void onAnswerWritten(CallerConnection& aCaller);
  void refuseUnread(CallerConnection& aCaller, const Error& aError);
  void armIdleTimer(CallerConnection& aCaller);
  void onCallerTimer(CallerConnection& aCaller);
  bool readAtTimeout(CallerConnection& aCaller);
  void closeCaller(std::uint64_t aId, CallerClose aCause);
  [[nodiscard]] bool callerHasDisconnected(const Exchange& aExchange) const;
  [[nodiscard]] CallerConnection* longestIdleCaller() const;
  void closeLongestIdleCaller();
  bool closeIfUnused(CallerConnection& aCaller, CallerClose aCause);

  // RelayCallerOutput.cpp: answers to callers.
  void answerError(CallerConnection& aCaller,
                   const Error& aError,
                   std::string_view aRequestId,
                   Duration aRetryAfter,
                   bool aClose);
  void sendToCaller(CallerConnection& aCaller, ByteBlocks aBytes);
  void flushCaller(CallerConnection& aCaller);
  void updateCallerInterest(CallerConnection& aCaller);
  void startLingeringClose(CallerConnection& aCaller);

  // RelayMemory.cpp: what is held for slow callers and replicas.
  [[nodiscard]] std::size_t heldLimit() const;
  [[nodiscard]] std::size_t countHeld() const;
  [[nodiscard]] bool holdsTooMuch(std::size_t aMore);
  [[nodiscard]] bool hasMemoryFor(CallerConnection& aCaller);
  [[nodiscard]] std::size_t unfinishedBytes(
    const ReplicaConnection& aConnection) const;
  [[nodiscard]] const ReplicaConnection* nextToFinish() const;
  [[nodiscard]] std::size_t countUnwritten() const;
  [[nodiscard]] const ReplicaConnection* answerToFinish() const;
  [[nodiscard]] CallerConnection* callerOf(
    const ReplicaConnection& aConnection) const;
  [[nodiscard]] bool callerLags(const ReplicaConnection& aConnection);
  [[nodiscard]] ReadPause pauseDue(const ReplicaConnection& aConnection);
  void pauseIfDue(ReplicaConnection& aConnection);
  void resumeReading(ReplicaConnection& aConnection);
  void resumeStreamFor(CallerConnection& aCaller);
  void refreshHeld();

  // RelayExcess.cpp: answers that exceed a bound, and reads in bulk.
  [[nodiscard]] std::optional<AnswerExcess> excessIn(
    const Exchange& aExchange,
    const ReplicaConnection& aConnection) const;
  void countExcess(AnswerExcess aExcess,
                   const std::string& aReplica,
                   const std::string& aRequest);
  void onExcess(Exchange& aExchange, AnswerExcess aExcess);
  bool countBulk(ReplicaConnection& aConnection, std::size_t aBytes);
  void beginBulkPeriod();

  // RelayReplicas.cpp: connections to replicas.
  Result<ReplicaConnection*> connectionTo(const AttemptTarget& aTarget,
                                          bool aRecentOnly);
  void onReplicaEvent(ReplicaConnection& aConnection, const ReadyEvent& aEvent);
  void onReplicaConnected(ReplicaConnection& aConnection);
  void flushReplica(ReplicaConnection& aConnection);
  [[nodiscard]] std::string_view unsentBytes(
    const ReplicaConnection& aConnection) const;
  void setReplicaWriteInterest(ReplicaConnection& aConnection, bool aWrite);
  void updateReplicaInterest(ReplicaConnection& aConnection);
  void releaseReplica(ReplicaConnection& aConnection);
  void abortReplica(std::uint64_t aId);
  void closeReplica(std::uint64_t aId);
  void closeExpiredIdle(TimePoint aNow);
  void resetParser(ReplicaConnection& aConnection);

  // RelayReplicaInput.cpp: bytes received from replicas.
  void readReplica(ReplicaConnection& aConnection);
  void parseReplicaInput(std::uint64_t aConnection);
  bool parseNextAnswer(ReplicaConnection& aConnection);
  void onUnreadableAnswer(Exchange& aExchange,
                          const ReplicaConnection& aConnection);
  bool handleHead(Exchange& aExchange, ReplicaConnection& aConnection);
  bool skipInterim(Exchange& aExchange, ReplicaConnection& aConnection);
  bool discardAnswer(ReplicaConnection& aConnection);
  void onReplicaDisconnected(std::uint64_t aConnection,
                             ConnectionEnd aEnd,
                             std::string_view aCause);

  // RelayAdmission.cpp: admission of requests.
  void beginExchange(CallerConnection& aCaller, MessageHead aHead);
  const Fingerprint& contentFingerprint(Exchange& aExchange) const;
  const std::vector<PromptPart>& promptParts(Exchange& aExchange) const;
  [[nodiscard]] std::vector<std::string_view> sharedPartIds(
    const Exchange& aExchange) const;
  [[nodiscard]] bool waitsForStart(const Exchange& aExchange);
  void admit(Exchange& aExchange);
  [[nodiscard]] std::string requestHead(const Exchange& aExchange,
                                        const AttemptTarget& aTarget) const;
  [[nodiscard]] ProvenConfig provenConfig() const;
  [[nodiscard]] bool isConfigFresh(const Exchange& aExchange) const;

  // RelayExchange.cpp: attempts, timers and the end of a request.
  bool endAtDeadline(Exchange& aExchange);
  void dispatch(Exchange& aExchange);
  void refuseOrKeep(Exchange& aExchange, const Error& aError);
  void sendAttempt(Exchange& aExchange, const AttemptTarget& aTarget);
  void beginAttempt(Exchange& aExchange,
                    ReplicaConnection& aConnection,
                    const AttemptTarget& aTarget);
  void logWritten(const Exchange& aExchange);
  void onExchangeTimer(Exchange& aExchange);
  void onConnectTimeout(Exchange& aExchange);
  [[nodiscard]] TimePoint connectDeadline(const Exchange& aExchange) const;
  void armExchange(Exchange& aExchange);
  void endExchange(Exchange& aExchange);
  void onCallerDisconnected(std::uint64_t aExchange);
  void refuse(Exchange& aExchange, const Error& aError, bool aNotRun);

  // RelayAttempts.cpp: the end of an attempt without an answer.
  [[nodiscard]] bool mayHaveRun(const Exchange& aExchange) const;
  void logDropped(const Exchange& aExchange, const Attempt& aAttempt);
  void dropAttempt(Exchange& aExchange, bool aMayHaveRun);
  void endAttempt(Exchange& aExchange, bool aMayHaveRun);
  [[nodiscard]] const Replica* faultyReplica(const MessageHead& aHead) const;
  void onNotExecuted(Exchange& aExchange, const MessageHead& aHead);
  [[nodiscard]] bool mayTryAgain(const Exchange& aExchange) const;
  void onAttemptFailed(Exchange& aExchange,
                       ReplicaFailure aFailure,
                       std::string_view aCause);

  // RelayReplacement.cpp: when a running attempt gives way to another one.
  void onAttemptDoubtful(Exchange& aExchange,
                         ReplicaFailure aFailure,
                         std::string_view aCause);
  [[nodiscard]] bool hasUnreadAnswer(const Exchange& aExchange) const;
  [[nodiscard]] bool hasUnreadBytes(std::uint64_t aConnection) const;
  Result<AttemptTarget> chooseReplacement(Exchange& aExchange);
  void onNextConnected(Exchange& aExchange, ReplicaConnection& aConnection);
  void onNextUnreachable(Exchange& aExchange, ReplicaFailure aFailure);
  void dropNext(Exchange& aExchange);
  void stopSearch(Exchange& aExchange);
  void keepAttempt(Exchange& aExchange);
  void endDoubt(Exchange& aExchange);
  void setAttemptAside(Exchange& aExchange);
  void pauseReplaced(Exchange& aExchange);
  [[nodiscard]] bool hasPausedAnswer(const Exchange& aExchange) const;
  [[nodiscard]] static bool isReplaced(const Exchange& aExchange,
                                       std::uint64_t aConnection);
  bool returnToReplaced(Exchange& aExchange, std::string_view aCause);
  void restoreReplaced(Exchange& aExchange, std::string_view aCause);
  void goOnWithReplaced(Exchange& aExchange);
  bool onReplacedAnswer(Exchange& aExchange,
                        const ReplicaConnection& aConnection);
  bool onReplacedDisconnected(Exchange& aExchange,
                              const ReplicaConnection& aConnection,
                              bool aIsFinished);
  void onReplacedRepath(ReplacedAttempt& aReplaced,
                        const RepathOrder& aOrder,
                        RepathOutcome aOutcome);
  void dropReplaced(Exchange& aExchange);
  void recordProgress(Exchange& aExchange);

  // RelayWaiting.cpp: requests that wait for a path.
  [[nodiscard]] Waiter waiterOf(const Exchange& aExchange) const;
  Result<AttemptTarget> chooseQueued(Exchange& aExchange);
  void beginDispatchRound();
  void dispatchWaiting();
  bool mayKeepWaiting(Exchange& aExchange, ErrorKind aReason);

  // RelayPace.cpp: admission by pace.
  [[nodiscard]] bool isPaced(const Exchange& aExchange) const;
  [[nodiscard]] PaceRequest paceRequestOf(const Exchange& aExchange) const;
  [[nodiscard]] PaceForecast paceForecastOf(const LayerPath& aPath) const;
  std::optional<Error> checkOrder(Exchange& aExchange);
  Result<AttemptTarget> admitByPace(Exchange& aExchange, AttemptTarget aTarget);
  Result<AttemptTarget> chooseFasterPath(const Exchange& aExchange,
                                         const AttemptTarget& aSlow);
  Error holdBack(Exchange& aExchange,
                 const PaceForecast& aForecast,
                 PaceCause aCause,
                 PaceVerdict aVerdict);
  [[nodiscard]] std::string paceText(const Exchange& aExchange) const;
  void recordStart(Exchange& aExchange);
  void recordPace(const Exchange& aExchange);
  void refuseOverLimit();

  // RelayAccounts.cpp: the shares of client accounts in a service's capacity.
  void countUse(Exchange& aExchange);
  void uncountUse(Exchange& aExchange);
  void countWaiting(Exchange& aExchange);
  void uncountWaiting(Exchange& aExchange);
  [[nodiscard]] std::optional<Error> checkShare(Exchange& aExchange);
  Result<AttemptTarget> chooseBeyondShare(Exchange& aExchange,
                                          const Error& aBeyond);
  void countShareRefusal(const Exchange& aExchange);
  void addAccounts(PeerStatus& aStatus) const;
  void onPeerAccounts(const PeerStatus& aStatus, const std::string& aPeer);
  void refreshAccounts();

  // RelayReturns.cpp: rejected callers that return.
  [[nodiscard]] Duration adviseReturn(Exchange& aExchange,
                                      const RefusalState& aState);
  void recognizeReturn(Exchange& aExchange);
  void recordServiceEnd(const Exchange& aExchange);
  void addReturns(PeerStatus& aStatus) const;
  void onPeerReturns(const PeerStatus& aStatus, TimePoint aReceivedAt);
  void refreshReturns();

  // RelayAnswer.cpp: answers of replicas.
  void onAnswerHead(Exchange& aExchange, ReplicaConnection& aConnection);
  void onAnswerDone(std::uint64_t aExchange, std::uint64_t aConnection);
  bool onServerError(Exchange& aExchange,
                     ReplicaConnection& aConnection,
                     int aStatus);
  void forwardWholeAnswer(Exchange& aExchange,
                          const MessageHead& aHead,
                          ByteBlocks aBody);
  [[nodiscard]] std::string answerHead(const Exchange& aExchange,
                                       const MessageHead& aHead,
                                       std::string_view aFraming) const;

  // RelayStream.cpp: events of streams.
  [[nodiscard]] static bool isStream(const Exchange& aExchange, int aStatus);
  void onAnswerBody(Exchange& aExchange, ReplicaConnection& aConnection);
  static std::string takeNewEvents(Exchange& aExchange,
                                   std::string_view aBytes);
  static bool isCompleteStream(Exchange& aExchange);
  [[nodiscard]] static bool mayEndAtClose(const Exchange& aExchange,
                                          const ResponseParser& aParser);
  void forwardEvents(Exchange& aExchange,
                     const std::string& aEvents,
                     bool aEnd);
  void recordEventTime(Exchange& aExchange);
  [[nodiscard]] std::int64_t lateMs(const Exchange& aExchange) const;
  void recordRepairTime(Exchange& aExchange);
  bool endStream(Exchange& aExchange, ReplicaConnection& aConnection);

  // RelaySignals.cpp: what replicas say of themselves in their answers.
  ReplicaSignals readSignals(const ReplicaConnection& aConnection,
                             const MessageHead& aHead,
                             bool aIsCurrent);
  void onSignals(const Address& aAddress, const ReplicaSignals& aSignals);
  void recordBackoff(const std::string& aReplica, Duration aBackoff);
  void recordOwnDrainAnnouncement(const std::string& aReplica);
  bool recordDrainAnnouncement(const std::string& aReplica,
                               std::string_view aFrom);
  void addDrainAnnouncements(PeerStatus& aStatus) const;
  void forgetDrainAnnouncements(const std::set<std::string>& aKept);
  void publishBackoffs();
  void expireBackoffs();
  [[nodiscard]] bool isBackingOff(const std::string& aReplica) const;
  [[nodiscard]] bool meetsBackoff(const Exchange& aExchange) const;
  [[nodiscard]] bool targetTakesNoWork(const std::string& aReplica,
                                       const LayerPath& aPath) const;

  // RelayLimits.cpp: rate limits of replicas.
  void recordRateLimit(const std::string& aReplica,
                       const ReplicaSignals& aSignals,
                       bool aIsCurrentSuccess);
  [[nodiscard]] bool takesRequests(const std::string& aReplica);
  void updateLimitShares();
  void addLimits(PeerStatus& aStatus) const;
  void onPeerLimits(const PeerStatus& aStatus);

  // RelayReleases.cpp: layers that are taken from busy replicas.
  void onPeerReleases(const PeerStatus& aStatus, const std::string& aPeer);
  void addReleases(PeerStatus& aStatus) const;
  void addOutsideReleases(PeerStatus& aStatus) const;
  [[nodiscard]] std::map<std::string, std::uint32_t> requestsOutsideReleases()
    const;
  void refreshReleases();

  // RelayDemand.cpp: what callers ask of the model services.
  void recordDemand(const Exchange& aExchange);
  void addDemand(PeerStatus& aStatus) const;
  void onPeerDemand(const PeerStatus& aStatus, const std::string& aPeer);
  void refreshDemand();
  void publishSlowdowns();

  // RelayChoice.cpp: choice of replicas and paths.
  Result<AttemptTarget> choose(Exchange& aExchange);
  Result<AttemptTarget> choosePath(const Exchange& aExchange,
                                   const std::string& aFirst,
                                   const std::set<std::string>& aAvoided = {});
  Result<AttemptTarget> choosePlain(const Exchange& aExchange);
  [[nodiscard]] double slowdownOf(const std::string& aReplica) const;
  [[nodiscard]] bool isLost(const std::string& aReplica) const;
  [[nodiscard]] std::vector<PathCandidate> candidatesFor(
    const Exchange& aExchange,
    const PathDemand& aDemand,
    const CandidateFilter& aFilter);
  [[nodiscard]] const Replica* replicaByAddress(const Address& aAddress) const;
  [[nodiscard]] const Replica* replicaById(const std::string& aId) const;
  [[nodiscard]] TokenNeed estimateTokenNeed(const Exchange& aExchange) const;
  [[nodiscard]] static std::uint32_t maxCrossingsOf(const Exchange& aExchange);
  [[nodiscard]] Result<LayerPath> findPathFor(const Exchange& aExchange,
                                              PathDemand aDemand);
  [[nodiscard]] bool hasPathSoon(const Exchange& aExchange,
                                 const PathDemand& aDemand);
  void limitCrossings(const Exchange& aExchange, PathDemand& aDemand);
  void reserveLinkCapacity(const Exchange& aExchange, const LayerPath& aPath);
  void addLoad(Exchange& aExchange, const LayerPath* aKept = nullptr);
  [[nodiscard]] LayerPath cachedParts(const Exchange& aExchange) const;
  void removeLoad(Exchange& aExchange);
  void endPrefill(Exchange& aExchange);

  // RelayOutliers.cpp: replicas that fail the requests they receive.
  void recordFailedStart(const Exchange& aExchange);
  void recordAnswering(const Exchange& aExchange);
  [[nodiscard]] bool mayBeginAt(const Exchange& aExchange,
                                const std::string& aReplica) const;
  [[nodiscard]] bool mayRunAgain(const Exchange& aExchange, int aStatus);
  void expireEjections();
  void addEjected(PeerStatus& aStatus) const;

  // RelayStall.cpp: requests that make no progress.
  [[nodiscard]] Duration stallTimeoutOf(const Exchange& aExchange) const;
  void onStallTimeout(Exchange& aExchange);
  bool requestReport(const PathPart& aPart, Duration aMinInterval);
  void requestPathReports(const std::string& aFirst);
  void requestSlowReplicaReports();
  void onReport(const std::string& aReplica,
                const ReplicaReport& aReport,
                TimePoint aAskedAt);
  void onMissingReport(const std::string& aReplica,
                       const ReplicaReport& aReport,
                       bool aOutageProbe);
  void moveBlockedWork(const std::string& aReporter,
                       const std::vector<StalledWork>& aStalled);
  [[nodiscard]] bool usesLostReplica(const Exchange& aExchange) const;
  void rearmStallTimers(const std::string& aReplica);
  [[nodiscard]] bool hasRecentProgress(const std::string& aReplica) const;
  void onUnreachableReplica(const std::string& aReplica,
                            ReplicaFailure aFailure);

  // RelayLossProbes.cpp: replicas on the paths of late streams.
  [[nodiscard]] std::optional<TimePoint> lateAt(
    const Exchange& aExchange) const;
  void checkIfLate(Exchange& aExchange);
  void scheduleLossCheck(TimePoint aAt);
  [[nodiscard]] std::vector<StreamProgress> streamsToCheck() const;
  void checkLosses();
  void recordReportAnswer(const std::string& aReplica);
  [[nodiscard]] bool isSilenceEvidence(const std::string& aReplica);
  [[nodiscard]] bool mayDeclareLost(const std::string& aReplica,
                                    bool aOutageProbe);

  // RelaySuspects.cpp: replicas that count as lost and may be alive.
  void recheckSuspects();
  [[nodiscard]] RecheckTurn recheckTurn(const std::string& aReplica) const;
  void recheck(const std::string& aReplica);
  void onLossesWithdrawn(const std::set<std::string>& aReplicas);
  void onMissingRecheck(const std::string& aReplica,
                        const ReplicaReport& aReport,
                        TimePoint aAskedAt);
  [[nodiscard]] bool runsModel(const std::string& aReplica) const;
  void onAlive(const std::string& aReplica, TimePoint aAskedAt);
  void recordLosses(const std::set<std::string>& aLost);
  void logReturn(const std::string& aReplica, const LossRecord& aRecord);
  [[nodiscard]] std::optional<LossEvidence> lossEvidenceOf(
    const std::string& aReplica) const;
  [[nodiscard]] bool mayReturnSoon(const std::string& aReplica) const;

  // RelayOutage.cpp: outages of the store.
  void updateOutageView();
  void probeListedReplicas();

  // RelayRepair.cpp: moving requests off lost replicas.
  void onFaultyReplica(const std::string& aReplica);
  [[nodiscard]] std::vector<std::uint64_t> requestsThrough(
    const std::string& aReplica) const;
  void repair(Exchange& aExchange, bool aPlanned);
  void repairPlain(Exchange& aExchange);
  void repairQuarantined(Exchange& aExchange, const Suspect& aSuspect);
  void moveOffDrainingFirst(Exchange& aExchange);
  void onRepath(const RepathOrder& aOrder, RepathOutcome aOutcome);

  // RelayDraining.cpp: replicas that drain or restart.
  void recordDraining(const ReplicaView& aLatest);
  void logDrain(const std::string& aReplica, std::string_view aFrom);
  void detectRestarts(const ReplicaView& aLatest);
  void endIncarnation(const std::string& aReplica);
  [[nodiscard]] std::set<std::string> drainingReplicas() const;
  void onPeerDraining(const PeerStatus& aStatus, const std::string& aFrom);
  void expireDrainReports();
  [[nodiscard]] bool isDraining(const Replica& aReplica) const;
  void moveOffDraining();
  [[nodiscard]] bool usesDrainingReplica(const Exchange& aExchange) const;

  // RelayCrashes.cpp: requests that crash replicas.
  void recordPossibleCrash(Exchange& aExchange, ConnectionEnd aEnd);
  void recordPossibleCrashAt(Exchange& aExchange,
                             const std::string& aReplica,
                             bool aEarly,
                             bool aSilent);
  [[nodiscard]] std::optional<CrashProof> crashProofOf(
    const std::string& aReplica) const;
  void confirmCrashes();
  void recordBegun(Exchange& aExchange);
  void recordServed(Exchange& aExchange);
  void addCrashes(PeerStatus& aStatus) const;
  void addQuarantine(PeerStatus& aStatus) const;
  void onPeerCrashes(const PeerStatus& aStatus);

  // RelayQuarantine.cpp: what is sent to no replica because of such crashes.
  void applyQuarantineChanges();
  void beginQuarantine(const Suspect& aSuspect, bool aOwn);
  [[nodiscard]] bool isCertain(const Suspect& aSuspect) const;
  [[nodiscard]] bool hasBegunAnswer(const Exchange& aExchange) const;
  void stopQuarantined(const Suspect& aSuspect);
  [[nodiscard]] bool contains(Exchange& aExchange,
                              const Suspect& aSuspect) const;
  [[nodiscard]] std::size_t trialRank(const Fingerprint& aSuspect) const;
  [[nodiscard]] std::vector<Suspect> quarantinedIn(Exchange& aExchange) const;
  [[nodiscard]] Duration quarantineLeft(Exchange& aExchange) const;
  [[nodiscard]] bool isTrialDue(const std::vector<Suspect>& aQuarantined);
  void recordTrial(const Exchange& aExchange,
                   const std::vector<Suspect>& aQuarantined);
  [[nodiscard]] static Error quarantineError(const Suspect& aSuspect);
  void refuseQuarantined(Exchange& aExchange, const Suspect& aSuspect);
  void publishQuarantine();
  void refreshQuarantine();

  // RelayPeers.cpp: the socket for datagrams, and what is received on it.
  Result<Done> openPeers();
  void readPeers();
  void readDatagram(const char* aBytes,
                    std::size_t aSize,
                    const Address& aFrom);
  void onPeerMessage(PeerMessage aMessage, const Address& aFrom);
  void onForwarded(ForwardedStatus aRow);
  void onPeerStatus(const PeerStatus& aStatus,
                    const PeerEcho& aEcho,
                    const Address& aFrom,
                    TimePoint aReceivedAt);
  void addUnlistedPeer(const Address& aSender);
  void recordRoundTrip(const PeerEcho& aEcho);
  void applyPeerFreshness(const PeerStatus& aStatus, const PeerEcho& aEcho);
  [[nodiscard]] SharedRetryBudget& budgetOf(const Exchange& aExchange);

  // RelayStatus.cpp: the datagrams that this relay sends.
  // RelayBroadcast.cpp: the datagrams that this relay sends.
  void updateSendRates();
  [[nodiscard]] Duration otherZonesInterval(std::size_t aBytes) const;
  void broadcastStatus();
  std::size_t sendToZone(std::string_view aStatus, std::string_view aForwarded);
  std::size_t sendToOtherZones(const PeerStatus& aStatus,
                               std::string_view aBytes);
  void announceChange();
  void sendChanges();
  std::size_t sendElsewhere(std::string_view aStatus, bool aDirect);
  [[nodiscard]] bool goesToOtherZones(const PeerStatus& aStatus);
  [[nodiscard]] PeerStatus ownNotice();
  [[nodiscard]] PeerStatus ownStatus();
  std::size_t sendDatagram(const Address& aPeer,
                           std::string_view aDatagram,
                           std::string_view aSection = {});
  void logTraffic();
  [[nodiscard]] bool isSettling() const;
  void updateStorePolling();
  void sendListDelta(const ReplicaListDelta& aDelta);

  void logRequest(const Exchange& aExchange,
                  std::string_view aEvent,
                  std::string_view aReason);

  RelaySettings settings;
  RelayHeaderNames names;
  RelayShared& shared;
  ReplicaCalls calls;
  LoopClock clock;
  /** Bounds on the age of the configuration. */
  GatePolicy gate;
  /** Bounds on the answers of replicas. */
  AnswerLimits answerBounds;

  Poller poller;
  OwnedFd listener;
  OwnedFd peerSocket;
  /** Address on which callers connect. */
  Address localCallers;
  /** Address on which other relays send; it identifies this relay to them. */
  Address localPeers;
  TimerQueue timers;
  LoopLoad loopLoad;
  /** New connections closed unread since that was logged. */
  std::uint32_t turnedAway = 0;
  /** Next id of a connection or exchange. Ids are also the keys of their timers
   * and of their sockets in the poller. */
  std::uint64_t nextId;
  std::unordered_map<std::uint64_t, std::unique_ptr<CallerConnection>> callers;
  std::unordered_map<std::uint64_t, std::unique_ptr<ReplicaConnection>>
    connections;
  std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> exchanges;
  /** Ids of idle connections by replica; the most recently used is last. */
  std::unordered_map<std::string, std::vector<std::uint64_t>> idleConnections;
  /** Bytes held for callers and replicas: counted in each periodic run, and
   * increased by what has been received since. */
  std::size_t held = 0;
  BulkReads bulkReads;
  /** Number of requests in flight from this relay at each replica of a plain
   * service. */
  std::unordered_map<std::string, std::uint32_t> plainLoad;
  /** When each replica was last asked for a report. */
  std::unordered_map<std::string, TimePoint> reportRequestedAt;

  LossProbeState lossProbeState;
  OutageProbeState outageProbeState;

  /** The replica list that the loop currently works with. */
  std::shared_ptr<const ReplicaView> view;
  RecentReplicas recentReplicas;
  ReplicaHealth health;
  OutlierEjection outliers;
  LoadTracker loads;
  RetryBudgets budgets;
  LinkBudget links;
  ReplicaLimits replicaLimits;
  RequestedBackoffs backoffs;
  WaitQueue waiting;
  /** When the current round of the wait queue began. */
  TimePoint roundStartedAt{};
  AccountCapacity accounts;
  PaceState paceState;
  ReturnState returnState;
  CrashState crashState;
  /** Random number of this process's incarnation, sent to other relays. */
  std::uint64_t ownIncarnation;
  /** Relays from which a status message was received within kPeerTimeout. */
  std::map<Address, PeerState> knownPeers;
  /** When another relay last reported a proof of its configuration that is
   * recent enough to send requests with an API key. */
  TimePoint peerProvedFreshAt{};
  PeerTraffic peerTraffic;
  PeerSending sending;
  OwnLink ownLink;
  StatusRepeat statusRepeat;
  /** Messages that relays of other zones asked this one to forward. */
  StatusQueue forwardQueue;
  /** Lost and slow replicas, as reported by other relays. */
  LossReports reports;
  ReleaseNotices releases;
  DemandTable zoneDemand;
  DemandGauges demandGauges;
  DrainState drainState;
  /** Time of the current iteration of the loop. */
  TimePoint now{};
  /** How long the iteration before took, without its wait. Bytes that are read
   * in this one may have arrived that long before. */
  Duration readDelay{ 0 };
  TimePoint startedAt{};
  TimePoint nextPeriodicAt{};
  /** Number of runs of runPeriodicTasks. */
  std::uint32_t periodicRuns = 0;

  /** Work that the next iteration of the loop runs. */
  PostedWork posted;
  std::atomic<bool> stopping{ false };
  /** Size of exchanges, readable from any thread. */
  std::atomic<std::size_t> openCount{ 0 };
  /** Number of callers with bytes that their socket has not accepted. */
  std::atomic<std::size_t> unwrittenCount{ 0 };
  std::thread thread;
};

} // namespace poplartrack
