#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "../wire/Poller.h"
#include "../wire/TimerQueue.h"
#include "CallerConnection.h"
#include "Exchange.h"
#include "PeerDatagram.h"
#include "PeerStatus.h"
#include "ReplicaConnection.h"
#include "poplartrack/fleet/LinkBudget.h"
#include "poplartrack/fleet/LoadTracker.h"
#include "poplartrack/fleet/LossReports.h"
#include "poplartrack/fleet/PathFinder.h"
#include "poplartrack/fleet/RecentReplicas.h"
#include "poplartrack/fleet/ReplicaHealth.h"
#include "poplartrack/fleet/ReplicaLimits.h"
#include "poplartrack/fleet/ReplicaSignals.h"
#include "poplartrack/fleet/RequestedBackoffs.h"
#include "poplartrack/fleet/StatusRepeat.h"
#include "poplartrack/fleet/StoreReaders.h"
#include "poplartrack/fleet/WaitQueue.h"
#include "poplartrack/relay/LoopLoad.h"
#include "poplartrack/relay/ProvenConfig.h"
#include "poplartrack/relay/RelayLoop.h"
#include "poplartrack/relay/RequestGate.h"
#include "poplartrack/retry/CrashLedger.h"
#include "poplartrack/retry/CrashWatch.h"
#include "poplartrack/retry/Fingerprint.h"
#include "poplartrack/retry/RecentlyServedRequests.h"
#include "poplartrack/retry/RetryBudgets.h"

namespace poplartrack {

/** Most bytes that one read takes from a caller or replica. */
constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;

/** Number of tokens that an event is assumed to hold: the engine may write
 * several at once. */
constexpr int kTokensPerEvent = 2;

/** Interval at which a waiting request is tried again. It waits for a path, or
 * after the start of the relay for the configuration and the replica list. */
constexpr Duration kWaitRetryInterval = std::chrono::milliseconds{ 25 };

/** Key of the timer that retries the requests in the wait queue. */
constexpr std::uint64_t kWaitQueueTimerKey = 3;

/** Returns the urgency of a request at a replica, from 0, the most urgent,
 * to 9. The account's priority takes precedence over the route's. */
int
urgencyOf(const Exchange& aExchange);

/** Converts a rate from requests a second to thousandths of it: the log holds
 * only whole numbers. */
std::int64_t
toMilliRate(double aPerSecond);

/** Returns the kind of retry that the request would need, depending on whether
 * its answer has started. */
RetryPriority
retryNeedOf(const Exchange& aExchange);

/** Returns whether the status of an answer is a success (2xx). */
bool
isSuccess(int aStatus);

/** How the connection of an attempt ended. */
enum class ConnectionEnd : std::uint8_t
{
  /** The replica's instance closed or reset it, or the connection became
   * unusable. */
  Closed,
  /** The replica stopped responding. */
  Silent,
};

/** Returns a name for one incarnation of a relay's process. */
std::string
incarnationName(const Address& aPeer, std::uint64_t aIncarnation);

/** An order to a replica to move a running request to another path. */
struct RepathOrder
{
  std::uint64_t exchange = 0;
  LayerPath before;
  LayerPath after;
  /** A replica of the old path is draining; none has failed. */
  bool planned = false;
};

/** The replica that an attempt is sent to. */
struct AttemptTarget
{
  /** Id of the replica. */
  std::string replica;
  /** The name under which it is registered. A replica refuses requests that
   * name another one. */
  std::string registeredAs;
  Address address;
  /** Empty for plain services. */
  LayerPath path;
};

/** The state of the loop's thread. Member functions run on that thread unless
 * their comment says otherwise. */
class RelayLoop::Impl
{
public:
  Impl(RelaySettings aSettings,
       RelayHeaderNames aNames,
       RelayShared& aShared,
       ReplicaCalls aCalls,
       Poller aPoller);
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl();

  Result<Done> listen();
  void start();
  /** May be called from any thread. */
  void post(std::function<void()> aWork);
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
  using ExchangePtr = std::unique_ptr<Exchange>;

  // RelayLoop.cpp: the thread, timers and periodic tasks.
  void run();
  void runPosted();
  void onEvent(const ReadyEvent& aEvent);
  void onTimer(std::uint64_t aKey);
  void runPeriodicTasks();
  void refreshReplicas();
  void publishLostReplicas();
  void publishBusyReplicas();

  // RelayCallers.cpp: connections from callers.
  void acceptCallers();
  void addCaller(OwnedFd aFd);
  void onCallerReadable(CallerConnection& aCaller);
  void parseCallerInput(CallerConnection& aCaller);
  void onParseProblem(CallerConnection& aCaller, ParseProblem aProblem);
  void resetParser(CallerConnection& aCaller);
  void onAnswerWritten(CallerConnection& aCaller);
  void refuseUnread(CallerConnection& aCaller);
  void armIdleTimer(CallerConnection& aCaller);
  void onCallerTimer(CallerConnection& aCaller);
  void closeCaller(std::uint64_t aId);
  [[nodiscard]] bool callerHasDisconnected(const Exchange& aExchange) const;
  void closeLongestIdleCaller();

  // RelayCallerOutput.cpp: answers to callers.
  void answerError(CallerConnection& aCaller,
                   const Error& aError,
                   std::string_view aRequestId,
                   Duration aRetryAfter,
                   bool aClose);
  void sendToCaller(CallerConnection& aCaller, std::string aBytes);
  void flushCaller(CallerConnection& aCaller);
  void updateCallerInterest(CallerConnection& aCaller);
  void startLingeringClose(CallerConnection& aCaller);

  // RelayMemory.cpp: what is held for slow callers and replicas.
  [[nodiscard]] std::size_t heldLimit() const;
  [[nodiscard]] std::size_t countHeld() const;
  [[nodiscard]] bool holdsTooMuch(std::size_t aMore);
  [[nodiscard]] bool hasMemoryFor(CallerConnection& aCaller);
  [[nodiscard]] ReplicaConnection* largestAnswer() const;
  void pauseIfTooMuchHeld(ReplicaConnection& aConnection);
  void refreshHeld();

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
  void closeReplica(std::uint64_t aId);
  void closeExpiredIdle(TimePoint aNow);
  void resetParser(ReplicaConnection& aConnection);

  // RelayReplicaInput.cpp: bytes received from replicas.
  void readReplica(ReplicaConnection& aConnection);
  void parseReplicaInput(std::uint64_t aConnection);
  bool parseNextAnswer(ReplicaConnection& aConnection);
  void onReplicaDisconnected(std::uint64_t aConnection,
                             bool aClean,
                             std::string_view aCause,
                             ConnectionEnd aEnd = ConnectionEnd::Closed);

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
  void dispatch(Exchange& aExchange);
  void sendAttempt(Exchange& aExchange, const AttemptTarget& aTarget);
  void onExchangeTimer(Exchange& aExchange);
  void armExchange(Exchange& aExchange);
  void dropAttempt(Exchange& aExchange, bool aMayHaveRun);
  void endExchange(Exchange& aExchange);
  void onCallerDisconnected(std::uint64_t aExchange);
  void refuse(Exchange& aExchange, const Error& aError, bool aNotRun);
  [[nodiscard]] bool mayHaveRun(const Exchange& aExchange) const;

  // RelayWaiting.cpp: requests that wait for a path.
  [[nodiscard]] Waiter waiterOf(const Exchange& aExchange) const;
  Result<AttemptTarget> chooseQueued(Exchange& aExchange);
  void beginDispatchRound();
  void dispatchWaiting();
  bool mayKeepWaiting(Exchange& aExchange, ErrorKind aReason);

  // RelayAnswer.cpp: answers of replicas.
  void onAnswerHead(Exchange& aExchange, ReplicaConnection& aConnection);
  void onAnswerBody(Exchange& aExchange, ReplicaConnection& aConnection);
  void recordRepairTime(Exchange& aExchange);
  void onAnswerDone(std::uint64_t aExchange, std::uint64_t aConnection);
  [[nodiscard]] const Replica* faultyReplica(const MessageHead& aHead) const;
  void onNotExecuted(Exchange& aExchange, const MessageHead& aHead);
  void onAttemptFailed(Exchange& aExchange,
                       ReplicaFailure aFailure,
                       std::string_view aCause);
  void forwardEvents(Exchange& aExchange, const std::string& aBytes, bool aEnd);
  void forwardWholeAnswer(Exchange& aExchange,
                          const MessageHead& aHead,
                          std::string aBody);
  [[nodiscard]] std::string answerHead(const Exchange& aExchange,
                                       const MessageHead& aHead,
                                       std::string_view aFraming) const;

  // RelaySignals.cpp: what replicas say of themselves in their answers.
  ReplicaSignals readSignals(const ReplicaConnection& aConnection,
                             const MessageHead& aHead,
                             bool aIsCurrent);
  void onSignals(const Address& aAddress, const ReplicaSignals& aSignals);
  void recordBackoff(const std::string& aReplica, Duration aBackoff);
  void recordOwnDrainAnnouncement(const std::string& aReplica);
  bool recordDrainAnnouncement(const std::string& aReplica);
  void addDrainAnnouncements(PeerStatus& aStatus) const;
  void forgetDrainAnnouncements(const std::set<std::string>& aKept);
  void publishBackoffs();
  void expireBackoffs();
  [[nodiscard]] bool isBackingOff(const std::string& aReplica) const;
  [[nodiscard]] bool meetsBackoff(const Exchange& aExchange) const;
  [[nodiscard]] bool targetTakesNoWork(const Exchange& aExchange) const;

  // RelayLimits.cpp: rate limits of replicas.
  void recordRateLimit(const std::string& aReplica,
                       const ReplicaSignals& aSignals,
                       bool aIsCurrentSuccess);
  [[nodiscard]] bool takesRequests(const std::string& aReplica);
  void updateLimitShares();
  void addLimits(PeerStatus& aStatus) const;
  void onPeerLimits(const PeerStatus& aStatus);

  // RelayChoice.cpp: choice of replicas and paths.
  Result<AttemptTarget> choose(Exchange& aExchange);
  Result<AttemptTarget> choosePath(const Exchange& aExchange,
                                   const std::string& aFirst);
  Result<AttemptTarget> choosePlain(const Exchange& aExchange);
  [[nodiscard]] const RelayService* pickService(
    const Exchange& aExchange) const;
  [[nodiscard]] double slowdownOf(const std::string& aReplica) const;
  [[nodiscard]] bool isLost(const std::string& aReplica) const;
  [[nodiscard]] std::vector<PathCandidate> candidatesFor(
    const Exchange& aExchange,
    bool aSlowToo);
  [[nodiscard]] const Replica* replicaByAddress(const Address& aAddress) const;
  [[nodiscard]] const Replica* replicaById(const std::string& aId) const;
  [[nodiscard]] TokenNeed estimateTokenNeed(const Exchange& aExchange) const;
  [[nodiscard]] Result<LayerPath> findPathFor(const Exchange& aExchange,
                                              PathDemand aDemand);
  void reserveLinkCapacity(const Exchange& aExchange, const LayerPath& aPath);
  void addLoad(Exchange& aExchange);
  void removeLoad(Exchange& aExchange);
  void endPrefill(Exchange& aExchange);

  // RelayStall.cpp: requests that make no progress.
  [[nodiscard]] Duration stallTimeoutOf(const Exchange& aExchange) const;
  void onStallTimeout(Exchange& aExchange);
  void requestReport(const PathPart& aPart, Duration aMinInterval);
  void requestPathReports(const std::string& aFirst);
  void requestSlowReplicaReports();
  void onReport(const std::string& aReplica, const ReplicaReport& aReport);
  [[nodiscard]] bool usesLostReplica(const Exchange& aExchange) const;
  void rearmStallTimers(const std::string& aReplica);
  [[nodiscard]] bool hasRecentProgress(const std::string& aReplica) const;

  // RelayRepair.cpp: moving requests off lost replicas.
  void onFaultyReplica(const std::string& aReplica);
  [[nodiscard]] std::vector<std::uint64_t> requestsThrough(
    const std::string& aReplica) const;
  void repair(Exchange& aExchange, bool aPlanned);
  void moveOffDrainingFirst(Exchange& aExchange);
  void onRepath(const RepathOrder& aOrder, RepathOutcome aOutcome);

  // RelayDraining.cpp: replicas that drain or restart.
  void recordDraining(const ReplicaView& aLatest);
  void detectRestarts(const ReplicaView& aLatest);
  void endIncarnation(const std::string& aReplica);
  [[nodiscard]] std::set<std::string> drainingReplicas() const;
  void onPeerDraining(const PeerStatus& aStatus);
  void expireDrainReports();
  [[nodiscard]] bool isDraining(const Replica& aReplica) const;
  void moveOffDraining();
  [[nodiscard]] bool usesDrainingReplica(const Exchange& aExchange) const;

  // RelayCrashes.cpp: requests that crash replicas.
  void recordPossibleCrash(Exchange& aExchange, ConnectionEnd aEnd);
  void recordPossibleCrashAt(Exchange& aExchange,
                             const std::string& aReplica,
                             bool aEarly);
  [[nodiscard]] bool hasExited(const std::string& aReplica) const;
  void confirmCrashes();
  void recordBegun(Exchange& aExchange);
  void recordServed(Exchange& aExchange);
  void addCrashes(PeerStatus& aStatus) const;
  void onPeerCrashes(const PeerStatus& aStatus);

  // RelayQuarantine.cpp: what is sent to no replica because of such crashes.
  void applyQuarantineChanges();
  void beginQuarantine(const Suspect& aSuspect, bool aOwn);
  [[nodiscard]] bool isCertain(const Suspect& aSuspect) const;
  void stopQuarantined(const Suspect& aSuspect);
  [[nodiscard]] bool contains(Exchange& aExchange,
                              const Suspect& aSuspect) const;
  [[nodiscard]] std::size_t trialRank(const Fingerprint& aSuspect) const;
  [[nodiscard]] std::vector<Suspect> quarantinedIn(Exchange& aExchange) const;
  [[nodiscard]] Duration quarantineLeft(Exchange& aExchange) const;
  [[nodiscard]] bool isTrialDue(const std::vector<Suspect>& aQuarantined);
  void recordTrial(const Exchange& aExchange,
                   const std::vector<Suspect>& aQuarantined);
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
  void applyPeerFreshness(const PeerStatus& aStatus, const PeerEcho& aEcho);
  [[nodiscard]] SharedRetryBudget& budgetOf(const Exchange& aExchange);

  // RelayStatus.cpp: the datagrams that this relay sends.
  void broadcastStatus(bool aChanged);
  void sendToOtherZones(std::string_view aStatus, bool aDirect);
  [[nodiscard]] bool goesToOtherZones(const PeerStatus& aStatus);
  [[nodiscard]] PeerStatus ownStatus();
  std::size_t sendDatagram(const Address& aPeer,
                           std::string_view aDatagram,
                           std::string_view aSection = {}) const;
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
  /** Bounds on the age of the configuration. */
  GatePolicy gate;

  Poller poller;
  OwnedFd listener;
  OwnedFd peerSocket;
  /** Address on which callers connect. */
  Address localCallers;
  /** Address on which other relays send; it identifies this relay to them. */
  Address localPeers;
  TimerQueue timers;
  LoopLoad loopLoad;
  /** Next id of a connection or exchange. Ids are also the keys of their timers
   * and of their sockets in the poller. */
  std::uint64_t nextId;
  std::unordered_map<std::uint64_t, std::unique_ptr<CallerConnection>> callers;
  std::unordered_map<std::uint64_t, std::unique_ptr<ReplicaConnection>>
    connections;
  std::unordered_map<std::uint64_t, ExchangePtr> exchanges;
  /** Ids of idle connections by replica; the most recently used is last. */
  std::unordered_map<std::string, std::vector<std::uint64_t>> idleConnections;
  /** Bytes held for callers and replicas: counted in each periodic run, and
   * increased by what has been received since. */
  std::size_t held = 0;
  /** Number of requests in flight from this relay at each replica of a plain
   * service. */
  std::unordered_map<std::string, std::uint32_t> plainLoad;
  /** When each replica was last asked for a report. */
  std::unordered_map<std::string, TimePoint> reportRequestedAt;

  /** The replica list that the loop currently works with. */
  std::shared_ptr<const ReplicaView> view;
  RecentReplicas recentReplicas;
  ReplicaHealth health;
  LoadTracker loads;
  RetryBudgets budgets;
  LinkBudget links;
  ReplicaLimits replicaLimits;
  RequestedBackoffs backoffs;
  /** Replicas that have announced in an answer that they drain. They take no
   * new work until their exit, whatever the replica list says: their entry may
   * be older than the announcement, or may never show the drain. */
  std::set<std::string> announcedDrains;
  WaitQueue waiting;
  CrashWatch crashWatch;
  CrashLedger crashes;
  RecentlyServedRequests recentlyServed;
  /** The quarantine of the store that was last merged into crashes. */
  std::shared_ptr<const std::vector<Suspect>> lastStoredQuarantine;
  /** When the current round of the wait queue began. */
  TimePoint roundStartedAt{};
  /** Random number of this process's incarnation, sent to other relays. */
  std::uint64_t ownIncarnation;
  /** From the latest status message of another relay. */
  struct PeerState
  {
    /** Sent back to that relay with the next status message. */
    PeerEcho echo;
    std::string zone;
    TimePoint receivedAt;
    /** It is a store reader. */
    bool polls = false;
    /** Its latest poll failed. */
    bool pollsFail = false;
    /** Rate of its instance's network link, in Mbit/s; 0 if it is unknown. */
    std::uint32_t linkMbps = 0;
    /** It forwards status messages within its zone on request. */
    bool forwards = false;
  };
  /** Relays from which a status message was received within kPeerTimeout. */
  std::map<Address, PeerState> knownPeers;
  /** When another relay last reported a proof of its configuration that is
   * recent enough to send requests with an API key. */
  TimePoint peerProvedFreshAt{};
  StatusRepeat statusRepeat;
  /** Messages that relays of other zones asked this one to forward. */
  StatusQueue forwardQueue;
  /** Lost and slow replicas, as reported by other relays. */
  LossReports reports;
  /** Draining replicas, and when this relay learned of it. */
  std::map<std::string, TimePoint> drainingSince;
  /** A report from a relay with a newer replica list that a replica is
   * draining. */
  struct PeerDrainReport
  {
    /** Version of the sender's list. */
    std::uint64_t list;
    TimePoint receivedAt;
  };
  /** The latest of these reports, by replica. */
  std::map<std::string, PeerDrainReport> peerDrainReports;
  /** Replicas whose endpoint has restarted, and when this relay learned of it.
   * The id names the incarnation before the restart. */
  std::map<std::string, TimePoint> restartedReplicas;
  /** Time of the current iteration of the loop. */
  TimePoint now{};
  TimePoint startedAt{};
  TimePoint nextPeriodicAt{};
  /** Number of runs of runPeriodicTasks. */
  std::uint32_t periodicRuns = 0;

  /** Protects posted. */
  std::mutex postGuard;
  /** Work that the next iteration of the loop runs. */
  std::vector<std::function<void()>> posted;
  std::atomic<bool> stopping{ false };
  /** Size of exchanges, readable from any thread. */
  std::atomic<std::size_t> openCount{ 0 };
  /** Number of callers with bytes that their socket has not accepted. */
  std::atomic<std::size_t> unwrittenCount{ 0 };
  std::thread thread;
};

} // namespace poplartrack
