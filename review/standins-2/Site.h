#pragma once

#include <sys/types.h>

#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "Wire.h"
#include "standins/lib/UsersStoreStandin.h"

namespace review {

/** The record of a run, with the time of each line since its start. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file(aPath)
  {
  }
  void line(const std::string& aText);

private:
  std::mutex guard;
  std::ofstream file;
  Clock::time_point start = Clock::now();
};

/** A request that a replica began to work on. */
struct Run
{
  std::string id;
  std::string method;
  std::string path;
  std::string tenant;
  std::size_t bodyBytes = 0;
};

/** A replica of a plain service, as the pages describe a sound one. */
class Replica
{
public:
  Replica(std::string aId, Record& aRecord);
  ~Replica();

  [[nodiscard]] const std::string& name() const { return this->id; }
  [[nodiscard]] poplartrack::Address address() const;
  /** Returns what has run so far. */
  [[nodiscard]] std::vector<Run> runs() const;

private:
  void acceptAll();
  void serve(Wire& aWire);
  std::string answer(const Message& aRequest);

  std::string id;
  Record& record;
  Listener listener;
  mutable std::mutex guard;
  std::vector<Run> ran;
  std::vector<std::shared_ptr<Wire>> wires;
  std::vector<std::thread> threads;
  std::thread acceptor;
};

/** A relay, started with the command of the deploy file. */
class Relay
{
public:
  Relay(const std::string& aFolder,
        const std::string& aName,
        const poplartrack::Address& aStore);
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;
  ~Relay();

  [[nodiscard]] poplartrack::Address front() const { return this->callers; }
  /** Whether the platform's question for readiness gets a 200. */
  [[nodiscard]] bool isReady() const;
  /** Whether the process is running. */
  [[nodiscard]] bool isAlive() const;

private:
  poplartrack::Address callers;
  poplartrack::Address health;
  poplartrack::Address peers;
  mutable pid_t process = -1;
};

/** A small deployment: the store, two replicas of one service, two relays. */
class Site
{
public:
  explicit Site(Record& aRecord);
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;
  ~Site();

  /** Writes a desired state and returns the time of its ack. */
  Clock::time_point putConfig(const std::string& aJson);
  /** Starts the relays and waits until they are ready, and until traffic
   * begins on the site: machines are in touch by then. */
  bool start();
  [[nodiscard]] const Relay& relay(std::size_t aIndex) const
  {
    return *this->relays.at(aIndex);
  }
  [[nodiscard]] std::size_t relayCount() const { return this->relays.size(); }
  /** Returns the runs at all replicas whose id is one of these. */
  [[nodiscard]] std::vector<Run> runsOf(
    const std::set<std::string>& aIds) const;

private:
  /** Writes the entries of the replicas. They do not change afterwards: a
   * heartbeat changes nothing but Sequence. */
  void registerReplicas();

  Record& record;
  std::string folder;
  poplartrack::standins::UsersStoreStandin store;
  std::vector<std::unique_ptr<Replica>> replicas;
  std::vector<std::unique_ptr<Relay>> relays;
};

/** Returns a desired state. aTenants: the JSON list; aMaxBody: MaxBodyBytes. */
std::string
configText(int aVersion, const std::string& aTenants, std::size_t aMaxBody);

/** Host and prefixes of the routes in configText(). */
constexpr std::string_view kHost = "shop.example";
constexpr std::string_view kOrders = "/orders/";
constexpr std::string_view kLookups = "/lookups/";

/** Formats a request. An empty key is left out. */
std::string
requestText(std::string_view aMethod,
            std::string_view aTarget,
            std::string_view aId,
            std::string_view aKey,
            std::string_view aBody);

/** Returns what a client got: its status, or 0 if the channel ended or nothing
 * came in time. */
int
statusOf(const std::optional<Message>& aAnswer);

/** Whether the run has the disruption; TROUBLE=0 leaves it out. */
bool
hasTrouble();

/** Exit statuses of a case. */
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

} // namespace review
