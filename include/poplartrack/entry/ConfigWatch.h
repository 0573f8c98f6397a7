#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "poplartrack/base/PeriodicThread.h"
#include "poplartrack/base/RcuBox.h"
#include "poplartrack/config/ConfigKeeper.h"
#include "poplartrack/config/ConfigStore.h"
#include "poplartrack/store/PlatformClient.h"
#include "poplartrack/wire/ConfigFetch.h"
#include "poplartrack/wire/StreamClient.h"

namespace poplartrack {

/** Called when another revision takes effect. */
using ConfigInForce =
  std::function<void(const std::shared_ptr<const Configuration>&)>;

/**
 * Keeps the entry's configuration up to date: does the reads that the
 * ConfigKeeper requests, from peers or the store, on a thread of its own, and
 * publishes the revision in force. Thread-safe.
 */
class ConfigWatch
{
public:
  /** @param aSelf this entry's own address, which it does not fetch from */
  ConfigWatch(const KeeperOptions& aOptions,
              PlatformClient& aPlatform,
              StreamClient& aPeers,
              Address aSelf,
              ConfigInForce aInForce);

  /** Starts to read. */
  void start();
  /** Stops reading and waits for a read in progress. The revision in force
   * stays available. */
  void stop();

  /** The configuration in force, without a lock; null while there is none. */
  [[nodiscard]] RcuBox<Configuration>& published() { return this->current; }
  [[nodiscard]] std::uint64_t revision() const;
  /** Another process has reported a revision.
   * @param aPeer the entry to fetch it from; empty if there is none */
  void heard(const std::string& aPeer, std::uint64_t aRevision);
  /** Answers the fetch of a peer. */
  ConfigReply answer(const ConfigFetch& aFetch);
  [[nodiscard]] KeeperCounters counters();

private:
  using Updates = Result<std::vector<RevisionUpdate>>;

  Duration step();
  Updates read(const KeeperFetch& aFetch);
  Updates readPeer(const KeeperFetch& aFetch);
  void publish();

  mutable std::mutex guard;
  ConfigKeeper keeper;
  ConfigStore<PlatformClient> store;
  StreamClient& peers;
  Address self;
  ConfigInForce inForce;
  RcuBox<Configuration> current;
  std::unique_ptr<PeriodicThread> worker;
};

} // namespace poplartrack
