#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "harness/ChildProcess.h"
#include "harness/TcpForwarder.h"
#include "poplartrack/base/OwnedFd.h"
#include "soak/SoakAccounts.h"
#include "soak/SoakPlan.h"
#include "soak/SoakRecord.h"
#include "standins/lib/UsersStoreStandin.h"

namespace poplartrack::soak {

/** How large a run is. */
struct SoakSize
{
  std::size_t relays = 2;
  std::size_t plain = 2;
  /** Replicas that hold layers of the model, in each of two zones. */
  std::size_t engines = 3;
  /** Several client accounts, too little memory for all they ask, engines of
   * two kinds, and relays that make all decisions under load. */
  bool contention = false;
};

/**
 * The store, real relays and stand-in replicas as processes, and the links
 * between them. Faults begin and end on the caller's thread; other threads may
 * ask for relays meanwhile.
 */
class SoakWorld
{
public:
  /** @param aBuild the folder of the programs
   *  @param aFolder where settings and outputs go */
  SoakWorld(std::string aBuild,
            std::string aFolder,
            SoakSize aSize,
            SoakRecord& aRecord);

  [[nodiscard]] const std::vector<Address>& callers() const
  {
    return this->relayAddresses;
  }
  void begin(const PlannedFault& aFault);
  void end(const PlannedFault& aFault);
  /** Whether the account sends far more than usual. */
  [[nodiscard]] bool floods(std::size_t aAccount) const
  {
    return this->flooding.at(aAccount) > 0;
  }
  /** Starts the replicas that have crashed under a request again, and relays
   * that were told of new settings before they ran. */
  void restartCrashed();
  /** The relays whose process has taken more memory than its instance has. */
  [[nodiscard]] std::vector<std::string> overMemory() const;
  /** The lines for the judge that replicas and relays have printed, of all
   * their lives. */
  [[nodiscard]] std::vector<std::string> lines() const;

private:
  struct Relay
  {
    std::unique_ptr<harness::TcpForwarder> storeLink;
    std::string settings;
    std::unique_ptr<harness::ChildProcess> process;
    int lives = 0;
    /** It got SIGHUP before its first output. */
    bool hungUpEarly = false;
  };
  struct Replica
  {
    std::string service;
    std::string zone;
    std::string kind;
    std::string id;
    Address listen;
    std::unique_ptr<harness::TcpForwarder> link;
    std::unique_ptr<harness::ChildProcess> process;
    int lives = 0;
    /** When its last silence ended, in ms of the clock that counts suspension.
     */
    std::int64_t lastSilence = 0;
  };

  void pushConfig();
  /** A port that nobody has and no connection takes while its process is down:
   * below those that the system gives to connections. */
  Address ownAddress();
  void addRelay(std::size_t aNumber);
  void startRelay(Relay& aRelay);
  /** Sends SIGHUP, also to a process that has just begun. */
  void hangUp(Relay& aRelay);
  void startReplica(Replica& aReplica);
  void sayLeaving(const Replica& aReplica);
  void restoreStore();
  /** Who is disturbed by the fault, as the record names it; empty: nobody. */
  std::string disturbedBy(const PlannedFault& aFault);
  /** Whose loss the fault is, as the record names it; empty: nobody's. */
  std::string lostBy(const PlannedFault& aFault);
  void beginSilence(Replica& aReplica);
  void endSilence(Replica& aReplica);
  /** The process of a relay or replica; starts a dead one first. */
  Relay& relay(std::size_t aWho);
  [[nodiscard]] std::string relayAddress(std::size_t aWho) const;
  Replica& replica(std::size_t aWho);
  /** A plain replica, or one at which paths usually begin: others get no
   * requests of their own. */
  Replica& usedReplica(std::size_t aWho);

  std::string build;
  std::string folder;
  SoakRecord& record;
  standins::UsersStoreStandin store;
  std::vector<Address> relayAddresses;
  std::vector<std::unique_ptr<Relay>> relays;
  std::vector<std::unique_ptr<Replica>> replicas;
  std::vector<std::string> outputs;
  /** By account: floods that have begun and not ended. */
  std::array<std::atomic<int>, kFloodAccounts> flooding{};
  /** Holds the range of ports of this run. */
  OwnedFd ownRange;
  std::uint16_t nextPort;
  int version = 0;
  bool secondKey = true;
  /** The configuration has one route more. */
  bool extraRoute = false;
  /** By MemberChange: changes that have begun and not ended. */
  std::array<int, kMemberChangeNames.size()> changes{};
  bool contention;
  /** The first replicas, which usedReplica() chooses from. */
  std::size_t used;
};

} // namespace poplartrack::soak
