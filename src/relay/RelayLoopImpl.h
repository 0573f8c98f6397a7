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
#include "PeerStatus.h"
#include "ReplicaConnection.h"
#include "poplartrack/fleet/LinkBudget.h"
#include "poplartrack/fleet/LoadTracker.h"
#include "poplartrack/fleet/LossReports.h"
#include "poplartrack/fleet/PathFinder.h"
#include "poplartrack/fleet/ReplicaHealth.h"
#include "poplartrack/fleet/ReplicaLimits.h"
#include "poplartrack/fleet/StoreReaders.h"
#include "poplartrack/fleet/WaitQueue.h"
#include "poplartrack/relay/RelayLoop.h"
#include "poplartrack/relay/RequestGate.h"
#include "poplartrack/retry/CrashLedger.h"
#include "poplartrack/retry/CrashWatch.h"
#include "poplartrack/retry/Fingerprint.h"
#include "poplartrack/retry/RecentlyServedRequests.h"
#include "poplartrack/retry/RetryBudgets.h"

namespace poplartrack {

/** Bytes that one read takes from a caller or replica. */
constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;

/** Tokens of one event, when the engine writes several at once. */
constexpr int kTokensPerEvent = 2;

/** Pause between two looks for what a request waits for: a path, or what a
 * relay that has just started must know. */
constexpr Duration kWaitPause = std::chrono::milliseconds{ 25 };

/** Timer of the requests that wait for memory. */
constexpr std::uint64_t kWaitingKey = 3;

/** How urgent a request is at a replica, 0 to 9; 0 goes first. The account's
 * word goes before the route's. */
int
urgencyOf(const Exchange& aExchange);

/** What the request asks for, the same for each id under which it comes. */
const Fingerprint&
contentOf(Exchange& aExchange);

/** A rate for the log, which holds whole numbers: thousandths of a request a
 * second. */
std::int64_t
milliOf(double aPerSecond);

/** What a retry of the request would be for. */
RetryPriority
retryNeedOf(const Exchange& aExchange);

/** How the connection under an attempt ended. */
enum class ConnectionEnd : std::uint8_t
{
  /** The replica's instance closed or reset it. */
  Closed,
  /** Nothing came from there any more. */
  Silent,
};

/** Names one life of a relay's process. */
std::string
incarnationName(const Address& aPeer, std::uint64_t aIncarnation);

/** An order to move a running request to another path. */
struct RepathOrder
{
  std::uint64_t exchange = 0;
  LayerPath before;
  LayerPath after;
  /** A replica of the old path leaves; it has not failed. */
  bool planned = false;
};

/** Where an attempt goes. */
struct AttemptTarget
{
  std::string replica;
  /** The name under which it is registered; it refuses work meant for another
   * one. */
  std::string registeredAs;
  Address address;
  /** Empty for plain services. */
  LayerPath path;
};

/** The state of the loop's thread; every member function runs on it but for
 * those that say otherwise. */
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
  /** From any thread. */
  void post(std::function<void()> aWork);
  [[nodiscard]] std::size_t openRequests() const { return this->openCount; }
  [[nodiscard]] const Address& address() const { return this->local; }
  [[nodiscard]] const Address& peersAddress() const { return this->localPeers; }

private:
  using ExchangePtr = std::unique_ptr<Exchange>;

  // RelayLoop.cpp: the thread, timers and the regular work.
  void run();
  void runPosted();
  void onEvent(const ReadyEvent& aEvent);
  void onTimer(std::uint64_t aKey);
  void regularWork();
  void refreshReplicas();
  void publishLost();
  void publishBusy();

  // RelayCallers.cpp: connections of callers.
  void acceptCallers();
  void addCaller(OwnedFd aFd);
  void onCallerReadable(CallerConnection& aCaller);
  void feedCaller(CallerConnection& aCaller);
  void onParseProblem(CallerConnection& aCaller, ParseProblem aProblem);
  void resetParser(CallerConnection& aCaller);
  void sendToCaller(CallerConnection& aCaller, std::string_view aBytes);
  void flushCaller(CallerConnection& aCaller);
  void watchCaller(CallerConnection& aCaller);
  void afterAnswer(CallerConnection& aCaller);
  void onCallerTimer(CallerConnection& aCaller);
  void linger(CallerConnection& aCaller);
  void closeCaller(std::uint64_t aId);
  [[nodiscard]] bool callerLeft(const Exchange& aExchange) const;
  void closeIdlest();
  void answerError(CallerConnection& aCaller,
                   const Error& aError,
                   std::string_view aRequestId,
                   Duration aRetryAfter,
                   bool aClose);

  // RelayReplicas.cpp: connections to replicas.
  Result<ReplicaConnection*> connectionTo(const AttemptTarget& aTarget,
                                          bool aRecentOnly);
  void onReplicaEvent(ReplicaConnection& aConnection, const ReadyEvent& aEvent);
  void onReplicaConnected(ReplicaConnection& aConnection);
  void readReplica(ReplicaConnection& aConnection);
  void feedReplica(std::uint64_t aConnection);
  bool feedOnce(ReplicaConnection& aConnection);
  void onReplicaEnd(std::uint64_t aConnection,
                    bool aClean,
                    std::string_view aCause,
                    ConnectionEnd aEnd = ConnectionEnd::Closed);
  void flushReplica(ReplicaConnection& aConnection);
  void watchReplica(ReplicaConnection& aConnection, bool aWrite);
  void releaseReplica(ReplicaConnection& aConnection);
  void closeReplica(std::uint64_t aId);
  void closeStaleIdle(TimePoint aNow);
  void resetParser(ReplicaConnection& aConnection);

  // RelayAdmission.cpp: the way of a request in.
  void beginExchange(CallerConnection& aCaller, MessageHead aHead);
  [[nodiscard]] bool waitsForStart(const Exchange& aExchange);
  void admit(Exchange& aExchange);
  [[nodiscard]] std::string requestHead(const Exchange& aExchange,
                                        const AttemptTarget& aTarget) const;
  [[nodiscard]] ConfigProof configProof() const;
  [[nodiscard]] bool fresh(const Exchange& aExchange) const;

  // RelayExchange.cpp: the course of an admitted request.
  void dispatch(Exchange& aExchange);
  void send(Exchange& aExchange, const AttemptTarget& aTarget);
  void onExchangeTimer(Exchange& aExchange);
  void armExchange(Exchange& aExchange);
  void dropAttempt(Exchange& aExchange, bool aMayHaveRun);
  void endExchange(Exchange& aExchange);
  void onCallerGone(std::uint64_t aExchange);
  void refuse(Exchange& aExchange, const Error& aError, bool aNotRun);
  [[nodiscard]] bool mayHaveRun(const Exchange& aExchange) const;

  // RelayWaiting.cpp: requests without a path.
  [[nodiscard]] Waiter waiterOf(const Exchange& aExchange) const;
  Result<AttemptTarget> chooseQueued(Exchange& aExchange);
  void beginRound();
  void tryWaiting();
  bool mayWait(Exchange& aExchange, ErrorKind aReason);

  // RelayAnswer.cpp: what replicas answer.
  void onAnswerHead(Exchange& aExchange, ReplicaConnection& aConnection);
  void onAnswerBody(Exchange& aExchange, ReplicaConnection& aConnection);
  void noteRepaired(Exchange& aExchange);
  void onAnswerDone(std::uint64_t aExchange, std::uint64_t aConnection);
  void onNotRun(Exchange& aExchange, const MessageHead& aHead);
  void onBroken(Exchange& aExchange,
                ReplicaFailure aFailure,
                std::string_view aCause);
  void passEvents(Exchange& aExchange, const std::string& aBytes, bool aEnd);
  void passWhole(Exchange& aExchange,
                 const MessageHead& aHead,
                 const std::string& aBody);
  [[nodiscard]] std::string answerHead(const Exchange& aExchange,
                                       const MessageHead& aHead,
                                       std::string_view aFraming) const;

  // RelayLimits.cpp: replicas that limit what they take.
  void noteLimit(Exchange& aExchange, const MessageHead& aHead);
  [[nodiscard]] bool takesRequests(const std::string& aReplica);
  void shareLimits();
  void addLimits(PeerStatus& aStatus) const;
  void onPeerLimits(const PeerStatus& aStatus);

  // RelayChoice.cpp: where an attempt goes.
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
  [[nodiscard]] const Replica* replicaAt(const Address& aAddress) const;
  [[nodiscard]] const Replica* replicaOf(const std::string& aId) const;
  [[nodiscard]] TokenNeed needOf(const Exchange& aExchange) const;
  [[nodiscard]] Result<LayerPath> findPathFor(const Exchange& aExchange,
                                              PathDemand aDemand);
  void payCrossings(const Exchange& aExchange, const LayerPath& aPath);
  void addLoad(Exchange& aExchange);
  void removeLoad(Exchange& aExchange);
  void endPrefill(Exchange& aExchange);

  // RelayStall.cpp: work that stands still.
  [[nodiscard]] Duration stallTimeoutOf(const Exchange& aExchange) const;
  void onOverdue(Exchange& aExchange);
  void ask(const PathPart& aPart, Duration aPause);
  void askRestOfPaths(const std::string& aFirst);
  void askSlowOnes();
  void onReport(const std::string& aReplica, const ReplicaReport& aReport);
  [[nodiscard]] bool throughLost(const Exchange& aExchange) const;
  void hurryThrough(const std::string& aReplica);
  [[nodiscard]] bool movesAt(const std::string& aReplica) const;

  // RelayRepair.cpp: moving requests off what was lost.
  void onFaultyReplica(const std::string& aReplica);
  [[nodiscard]] std::vector<std::uint64_t> requestsThrough(
    const std::string& aReplica) const;
  void repair(Exchange& aExchange, bool aPlanned);
  void leaveFirst(Exchange& aExchange);
  void onRepath(const RepathOrder& aOrder, RepathOutcome aOutcome);

  // RelayDraining.cpp: replicas that leave.
  void noteDraining(const ReplicaView& aLatest);
  void noteRestarted(const ReplicaView& aLatest);
  void endIncarnation(const std::string& aReplica);
  [[nodiscard]] std::set<std::string> drainingReplicas() const;
  void onPeerDraining(const PeerStatus& aStatus);
  void expireDrainReports();
  [[nodiscard]] bool leaves(const Replica& aReplica) const;
  void moveOffDraining();
  [[nodiscard]] bool usesDrainingReplica(const Exchange& aExchange) const;

  // RelayCrashes.cpp: requests under which replicas end.
  void watchCrash(Exchange& aExchange, ConnectionEnd aEnd);
  [[nodiscard]] bool hasEnded(const std::string& aReplica) const;
  void confirmCrashes();
  void onQuarantine(const Fingerprint& aRequest, bool aOwn);
  void stopQuarantined(const Fingerprint& aRequest);
  [[nodiscard]] std::size_t trialRank(const Fingerprint& aRequest) const;
  [[nodiscard]] std::optional<Duration> quarantineLeft(
    Exchange& aExchange) const;
  void refuseQuarantined(Exchange& aExchange);
  void noteServed(Exchange& aExchange);
  void onReleased(const Fingerprint& aRequest);
  void publishQuarantine();
  void refreshQuarantine();
  void addCrashes(PeerStatus& aStatus) const;
  void onPeerCrashes(const PeerStatus& aStatus);

  // RelayPeers.cpp: datagrams between relays.
  Result<Done> openPeers();
  void readPeers();
  void meet(const Address& aSender);
  void broadcastStatus(bool aChanged);
  [[nodiscard]] PeerStatus ownStatus();
  void sendDatagram(const Address& aPeer, std::string_view aDatagram) const;
  void readDatagram(const char* aBytes,
                    std::size_t aSize,
                    const Address& aFrom);
  void onPeerStatus(const PeerStatus& aStatus,
                    const PeerEcho& aEcho,
                    const Address& aFrom);
  [[nodiscard]] SharedRetryBudget& budgetOf(const Exchange& aExchange);
  void chooseReaders();
  void sendListDelta(const ReplicaListDelta& aDelta);
  void learnFreshness(const PeerStatus& aStatus, const PeerEcho& aEcho);

  void logRequest(const Exchange& aExchange,
                  std::string_view aEvent,
                  std::string_view aReason);

  RelaySettings settings;
  RelayHeaderNames names;
  RelayShared& shared;
  ReplicaCalls calls;
  GatePolicy gate;

  Poller poller;
  OwnedFd listener;
  OwnedFd peerSocket;
  Address local;
  Address localPeers;
  TimerQueue timers;
  std::uint64_t nextId;
  std::unordered_map<std::uint64_t, std::unique_ptr<CallerConnection>> callers;
  std::unordered_map<std::uint64_t, std::unique_ptr<ReplicaConnection>>
    connections;
  std::unordered_map<std::uint64_t, ExchangePtr> exchanges;
  /** Idle connections by replica; the latest used last. */
  std::unordered_map<std::string, std::vector<std::uint64_t>> idle;
  /** Requests in flight from here at plain replicas. */
  std::unordered_map<std::string, std::uint32_t> plainLoad;
  /** When each replica was last asked how it does. */
  std::unordered_map<std::string, TimePoint> askedAt;

  std::shared_ptr<const ReplicaView> view;
  ReplicaHealth health;
  LoadTracker loads;
  RetryBudgets budgets;
  LinkBudget links;
  ReplicaLimits replicaLimits;
  WaitQueue waiting;
  CrashWatch crashWatch;
  CrashLedger crashes;
  RecentlyServedRequests recentlyServed;
  /** What was last taken over of the quarantine in the store. */
  std::shared_ptr<const std::vector<Fingerprint>> quarantineRead;
  /** When the present round of the line began. */
  TimePoint roundAt{};
  /** This life of this process, as it names itself to other relays. */
  std::uint64_t ownIncarnation;
  /** The latest word of another relay. */
  struct PeerState
  {
    PeerEcho echo;
    std::string zone;
    TimePoint heard;
    bool polls = false;
    bool pollsFail = false;
  };
  std::map<Address, PeerState> knownPeers;
  /** Some relay knows its configuration to be the newest. */
  TimePoint peerFreshAt{};
  LossReports reports;
  /** Replicas that leave, and since when this relay knows. */
  std::map<std::string, TimePoint> drainingSince;
  /** Replicas of which a relay with a newer list told that they leave. */
  struct PeerDrainReport
  {
    /** Version of the teller's list. */
    std::uint64_t list;
    TimePoint heard;
  };
  std::map<std::string, PeerDrainReport> peerDrainReports;
  /** Replicas whose endpoint has started again, and since when this relay
   * knows. */
  std::map<std::string, TimePoint> ended;
  TimePoint now{};
  TimePoint startedAt{};
  TimePoint regularAt{};
  std::uint32_t regularCount = 0;

  std::mutex postGuard;
  std::vector<std::function<void()>> posted;
  std::atomic<bool> stopping{ false };
  std::atomic<std::size_t> openCount{ 0 };
  std::thread thread;
};

} // namespace poplartrack
