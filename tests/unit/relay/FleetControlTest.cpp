#include "poplartrack/relay/FleetControl.h"

#include <fcntl.h>
#include <unistd.h>

#include <condition_variable>
#include <deque>
#include <thread>

#include <gtest/gtest.h>

#include "unit/fleet/FleetSamples.h"

namespace poplartrack {
namespace {

using namespace fleettest;

/** A store with scripted answers. When all have been returned, further polls
 * block until the test calls end(). */
class ScriptedStore
{
public:
  /** Appends an answer to a configuration poll; nullopt: the poll fails. */
  void scriptConfig(std::optional<ConfigPoll> aPoll)
  {
    this->configs.push_back(std::move(aPoll));
  }
  /** Appends an answer to a replica list poll; nullopt: the poll fails. */
  void scriptReplicas(std::optional<ReplicaPoll> aPoll)
  {
    this->lists.push_back(std::move(aPoll));
  }
  /** Waits until the relay has processed every answer: polls of both kinds
   * block. */
  void waitUntilProcessed()
  {
    std::unique_lock lock{ this->guard };
    this->changed.wait(lock, [this] {
      return this->configPollBlocked && this->listPollBlocked;
    });
  }
  /** Lets the polls that block fail. */
  void end()
  {
    const std::scoped_lock lock{ this->guard };
    this->stopped = true;
    this->changed.notify_all();
  }

  Result<ConfigPoll> readConfig(Duration)
  {
    return this->next(this->configs, this->configPollBlocked);
  }
  Result<ConfigPoll> awaitConfig(std::uint64_t, Duration)
  {
    return this->next(this->configs, this->configPollBlocked);
  }
  Result<RelayConfig> parseConfig(const std::string& aText)
  {
    RelayConfig config;
    config.version = std::stoul(aText);
    config.text = aText;
    return config;
  }
  Result<ReplicaPoll> readReplicas(Duration)
  {
    return this->next(this->lists, this->listPollBlocked);
  }
  Result<ReplicaPoll> awaitReplicas(std::uint64_t, Duration)
  {
    return this->next(this->lists, this->listPollBlocked);
  }
  Result<std::optional<TableRow>> readRow(const std::string& aTable,
                                          const std::string& aKey)
  {
    const std::scoped_lock lock{ this->guard };
    const auto found = this->rows.find(aTable + "/" + aKey);
    return found == this->rows.end() ? std::optional<TableRow>{}
                                     : std::optional<TableRow>{ found->second };
  }
  Result<std::vector<TableRow>> scanRows(const std::string& aTable,
                                         const std::string&,
                                         const std::string&,
                                         std::size_t)
  {
    const std::scoped_lock lock{ this->guard };
    return aTable == "relays" ? this->contacts : std::vector<TableRow>{};
  }
  /** Lists a contact of the region; before the relay starts. */
  void addContact(const std::string& aKey, const Address& aAddress)
  {
    this->contacts.push_back(TableRow{ aKey, toText(aAddress), 1 });
  }
  Result<std::vector<std::uint64_t>> transact(
    const std::vector<TableWrite>& aWrites)
  {
    const std::scoped_lock lock{ this->guard };
    for (const TableWrite& write : aWrites) {
      TableRow& row = this->rows[write.table + "/" + write.key];
      if (row.version != write.expect) {
        return fail(ErrorKind::Conflict);
      }
      row = TableRow{ write.key, write.value.value_or(""), ++this->version };
    }
    return std::vector<std::uint64_t>(aWrites.size(), this->version);
  }
  Result<Done> putObject(const std::string&, const std::string&)
  {
    return Done{};
  }
  Result<std::string> getObject(const std::string&)
  {
    return fail(ErrorKind::NotFound);
  }
  Result<std::vector<InstanceInfo>> listInstances()
  {
    return std::vector<InstanceInfo>{};
  }

private:
  template<typename Poll>
  Result<Poll> next(std::deque<std::optional<Poll>>& aScript, bool& aBlocked)
  {
    std::unique_lock lock{ this->guard };
    if (aScript.empty()) {
      aBlocked = true;
      this->changed.notify_all();
      this->changed.wait(lock, [this] { return this->stopped; });
      return fail(ErrorKind::PlatformUnavailable);
    }
    std::optional<Poll> poll = std::move(aScript.front());
    aScript.pop_front();
    if (!poll) {
      return fail(ErrorKind::PlatformUnavailable);
    }
    return std::move(*poll);
  }

  std::mutex guard;
  std::condition_variable changed;
  std::deque<std::optional<ConfigPoll>> configs;
  std::deque<std::optional<ReplicaPoll>> lists;
  std::map<std::string, TableRow> rows;
  std::vector<TableRow> contacts;
  std::uint64_t version = 0;
  bool configPollBlocked = false;
  bool listPollBlocked = false;
  bool stopped = false;
};

static_assert(FleetStoreLike<ScriptedStore>);

ConfigPoll
configPoll(std::uint64_t aVersion)
{
  RelayConfig config;
  config.version = aVersion;
  ConfigPoll poll;
  poll.config = std::make_shared<const RelayConfig>(std::move(config));
  poll.asOf = SuspendAwareClock{}.now();
  return poll;
}

ReplicaPoll
replicaPoll(const std::string& aId)
{
  ReplicaPoll poll;
  poll.fullSnapshot = true;
  poll.present.push_back(replicaOf(aId, "a", "slow"));
  return poll;
}

class FleetControlTest : public ::testing::Test
{
protected:
  FleetControlTest()
    : logFd(::open("/dev/null", O_WRONLY))
    , shared(logFd)
  {
    this->settings.name = "relay-1";
    this->settings.region = "r";
    this->settings.peers = { "127.0.0.1", 7 };
  }
  ~FleetControlTest() override { ::close(this->logFd); }
  FleetControlTest(const FleetControlTest&) = delete;
  FleetControlTest& operator=(const FleetControlTest&) = delete;

  /** Runs the threads until they have processed the script. */
  void runScript()
  {
    FleetControl<ScriptedStore> control{
      this->settings,
      this->shared,
      this->store,
      [](const Replica&,
         LayerRange,
         std::uint64_t,
         const std::function<void(Result<Done>)>&) {}
    };
    this->store.waitUntilProcessed();
    this->store.end();
  }

  /** Runs the threads, calls aAct once a replica is listed, and waits until
   * aWanted replicas are listed. Returns how many are. The wait is bounded, so
   * that a fault ends the test. */
  template<typename Act>
  std::size_t listedAfter(Act aAct, std::size_t aWanted)
  {
    FleetControl<ScriptedStore> control{
      this->settings,
      this->shared,
      this->store,
      [](const Replica&,
         LayerRange,
         std::uint64_t,
         const std::function<void(Result<Done>)>&) {}
    };
    const auto listed = [this] {
      return this->shared.replicas.read()->replicas.size();
    };
    const TimePoint latest = runtimeNow() + std::chrono::seconds{ 60 };
    while (listed() == 0 && runtimeNow() < latest) {
      std::this_thread::yield();
    }
    aAct();
    while (listed() < aWanted && runtimeNow() < latest) {
      std::this_thread::yield();
    }
    const std::size_t count = listed();
    this->store.end();
    return count;
  }

  /** Lists as many contacts as a zone needs. */
  void addContacts()
  {
    for (const char* name : { "3", "4", "5", "6" }) {
      this->store.addContact(std::string{ "r/a/" } + name, { "10.0.0.1", 7 });
    }
  }
  /** Starts the relay as one that may join through its contacts, calls aAct
   * when it has joined, and waits until aIsDone. The waits are bounded, so that
   * a fault ends the test. */
  template<typename Act, typename IsDone>
  void joinAndThen(FetchSnapshot aFetchSnapshot, Act aAct, IsDone aIsDone)
  {
    this->settings.zone = "a";
    this->shared.joining = true;
    FleetControl<ScriptedStore> control{
      this->settings,
      this->shared,
      this->store,
      [](const Replica&,
         LayerRange,
         std::uint64_t,
         const std::function<void(Result<Done>)>&) {},
      std::move(aFetchSnapshot)
    };
    const TimePoint latest = runtimeNow() + std::chrono::seconds{ 60 };
    while ((this->shared.replicas.read()->replicas.empty() ||
            this->shared.joining) &&
           runtimeNow() < latest) {
      std::this_thread::yield();
    }
    aAct();
    while (!aIsDone() && runtimeNow() < latest) {
      std::this_thread::yield();
    }
    this->store.end();
  }
  /** The same without anything to do after the join. */
  void join(FetchSnapshot aFetchSnapshot)
  {
    this->joinAndThen(
      std::move(aFetchSnapshot), [] {}, [] { return true; });
  }

  /** Returns how often the relay read or polled the configuration or the
   * replica list, without renewals of the freshness proof, which depend on how
   * long the test takes. */
  std::uint64_t storeReads()
  {
    std::uint64_t sum = 0;
    for (const StoreCall call : { StoreCall::ConfigRead,
                                  StoreCall::ConfigPoll,
                                  StoreCall::ConfigCatchUp,
                                  StoreCall::ReplicasRead,
                                  StoreCall::ReplicasPoll,
                                  StoreCall::ReplicasCatchUp }) {
      sum += this->shared.metrics.storeCalls(call);
    }
    return sum;
  }

  int logFd;
  RelayShared shared;
  RelaySettings settings;
  ScriptedStore store;
};

/** The snapshot of a contact with configuration 5 and one replica. */
FleetSnapshot
contactSnapshot()
{
  FleetSnapshot snapshot;
  snapshot.configVersion = 5;
  snapshot.configText = "5";
  snapshot.configAge = std::chrono::milliseconds{ 100 };
  snapshot.replicas = replicaPoll("one");
  snapshot.replicas->next = 9;
  snapshot.relays = { { "10.0.0.2", 7 }, { "10.0.0.3", 7 } };
  return snapshot;
}

TEST_F(FleetControlTest, NeverGoesBackToAnOlderConfiguration)
{
  // The store answers polls out of order. Applying an older version would
  // restore a key that has been removed.
  this->store.scriptConfig(configPoll(5));
  this->store.scriptConfig(configPoll(3));
  this->store.scriptConfig(configPoll(6));
  this->store.scriptConfig(configPoll(5));
  this->runScript();
  EXPECT_EQ(this->shared.config.read()->version, 6U);
}

TEST_F(FleetControlTest, KeepsConfigurationAndReplicasThroughAnOutage)
{
  this->store.scriptConfig(configPoll(5));
  this->store.scriptConfig(std::nullopt);
  this->store.scriptReplicas(replicaPoll("one"));
  this->store.scriptReplicas(std::nullopt);
  this->runScript();
  EXPECT_EQ(this->shared.config.read()->version, 5U);
  EXPECT_EQ(this->shared.replicas.read()->replicas.size(), 1U);
}

TEST_F(FleetControlTest, AnUnreadableConfigurationIsNoProofOfFreshness)
{
  // The configuration in the store may have removed a key. As it could not be
  // read, the poll must not count as proof that the one in force is up to date.
  ConfigPoll broken;
  broken.unreadable.emplace_back("no version");
  broken.asOf = SuspendAwareClock{}.now() + std::chrono::seconds{ 1 };
  this->store.scriptConfig(configPoll(5));
  this->store.scriptConfig(broken);
  this->runScript();
  EXPECT_GE(this->shared.freshness.age(), Duration{ 0 });
}

TEST_F(FleetControlTest, ThereIsNoProofOfFreshnessWithoutAConfiguration)
{
  ConfigPoll empty;
  empty.asOf = SuspendAwareClock{}.now();
  this->store.scriptConfig(empty);
  this->runScript();
  EXPECT_EQ(this->shared.freshness.age(), Duration::max());
}

TEST_F(FleetControlTest, ARelayThatDoesNotPollAppliesUpdatesOfItsPeers)
{
  // A store reader of the zone reports a new replica. This relay lists it
  // without a call of its own; its script has no second answer. An update with
  // a gap before it is ignored: a missing change could be that a replica
  // drains.
  ReplicaPoll first = replicaPoll("one");
  first.next = 5;
  this->store.scriptConfig(configPoll(5));
  this->store.scriptReplicas(first);
  ReplicaListDelta afterGap{ 8, replicaPoll("three") };
  afterGap.poll.fullSnapshot = false;
  afterGap.poll.next = 9;
  ReplicaListDelta contiguous{ 5, replicaPoll("two") };
  contiguous.poll.fullSnapshot = false;
  contiguous.poll.next = 6;
  this->shared.polls = false;
  const auto count = this->listedAfter(
    [&] {
      this->shared.listInbox.push(afterGap);
      this->shared.listInbox.push(contiguous);
    },
    2);
  EXPECT_EQ(count, 2U);
  EXPECT_EQ(this->shared.replicas.read()->replicas[1].id, "two");
}

TEST_F(FleetControlTest, KeepsReplicasThatVanishInAnOutageReportedByPeers)
{
  // All store readers report that the store is unavailable, and entries expire
  // meanwhile. A relay that does not poll learns of the outage, then of an
  // entry that was removed and one that was added. The replica of the removed
  // entry still runs and must stay listed.
  ReplicaPoll first = replicaPoll("one");
  first.next = 5;
  this->store.scriptConfig(configPoll(5));
  this->store.scriptReplicas(first);
  ReplicaListDelta expired{ 5, replicaPoll("two") };
  expired.poll.fullSnapshot = false;
  expired.poll.next = 6;
  expired.poll.removed = { "one" };
  this->shared.polls = false;
  const auto count = this->listedAfter(
    [&] {
      this->shared.peersSawOutageAt =
        SuspendAwareClock{}.now().time_since_epoch().count();
      this->shared.listInbox.push(expired);
    },
    2);
  EXPECT_EQ(count, 2U);
}

TEST_F(FleetControlTest, ADeltaAfterPollsWithoutChangesHasNoGap)
{
  // A poll without changes moves the version of the store reader on, but its
  // peers are not told. A delta that began at the new version would look as if
  // one before it were missing, and each relay of the zone would read the whole
  // list from the store.
  std::optional<ReplicaListDelta> sent;
  this->shared.sendListDelta = [&sent](const ReplicaListDelta& aDelta) {
    sent = aDelta;
  };
  ReplicaPoll first = replicaPoll("one");
  first.next = 5;
  ReplicaPoll unchanged;
  unchanged.next = 9;
  ReplicaPoll change = replicaPoll("two");
  change.fullSnapshot = false;
  change.next = 12;
  this->store.scriptReplicas(first);
  this->store.scriptReplicas(unchanged);
  this->store.scriptReplicas(unchanged);
  this->store.scriptReplicas(change);
  this->runScript();
  ASSERT_TRUE(sent);
  EXPECT_EQ(sent->after, 5U);
  EXPECT_EQ(sent->poll.next, 12U);
}

TEST_F(FleetControlTest, ARelayThatStartsLearnsTheStateFromAContact)
{
  // If each relay that starts read the configuration and the replica list from
  // the store, a start of all would be hundreds of reads of the same bytes.
  this->addContacts();
  SnapshotQuery asked;
  this->join([&asked](const Address&, const SnapshotQuery& aQuery, Duration) {
    asked = aQuery;
    return Result<FleetSnapshot>{ contactSnapshot() };
  });
  EXPECT_EQ(this->storeReads(), 0U);
  EXPECT_TRUE(asked.newerReplicas.has_value());
  EXPECT_EQ(this->shared.config.read()->version, 5U);
  EXPECT_EQ(this->shared.replicas.read()->replicas.size(), 1U);
  EXPECT_GE(this->shared.freshness.age(), std::chrono::milliseconds{ 100 });
  EXPECT_EQ(this->shared.peers.read()->size(), 3U);
  EXPECT_FALSE(this->shared.polls);
}

TEST_F(FleetControlTest, ARelayThatNoContactAnswersReadsTheStore)
{
  this->addContacts();
  this->store.scriptConfig(configPoll(5));
  this->store.scriptReplicas(replicaPoll("one"));
  this->join([](const Address&, const SnapshotQuery&, Duration) {
    return Result<FleetSnapshot>{ fail(ErrorKind::PlatformUnavailable) };
  });
  EXPECT_GT(this->storeReads(), 0U);
  EXPECT_EQ(this->shared.replicas.read()->replicas.size(), 1U);
  EXPECT_EQ(this->shared.joinedPeersAt, 0);
}

TEST_F(FleetControlTest, ARelayWaitsForContactsThatReadTheStore)
{
  // All relays start at once, and the contacts take a second to read the list.
  // If the others gave up just then, they would read it too, and all would be
  // slower than without contacts.
  this->addContacts();
  int asked = 0;
  this->join([&asked](const Address&, const SnapshotQuery&, Duration) {
    constexpr int kAsksUntilRead = 12;
    FleetSnapshot snapshot = contactSnapshot();
    if (++asked < kAsksUntilRead) {
      snapshot.replicas.reset();
    }
    return Result<FleetSnapshot>{ snapshot };
  });
  EXPECT_EQ(this->storeReads(), 0U);
  EXPECT_NE(this->shared.joinedPeersAt, 0);
}

TEST_F(FleetControlTest, ARelayDoesNotJoinThroughAContactWithAnOldProof)
{
  // The contact is cut off from the store. The relay that starts is not, and
  // would begin with a configuration that may be out of date.
  this->addContacts();
  this->store.scriptConfig(configPoll(6));
  this->store.scriptReplicas(replicaPoll("one"));
  this->joinAndThen(
    [](const Address&, const SnapshotQuery&, Duration) {
      FleetSnapshot old = contactSnapshot();
      old.configAge = std::chrono::seconds{ 60 };
      return Result<FleetSnapshot>{ old };
    },
    [] {},
    [this] { return this->storeReads() > 0; });
  EXPECT_GT(this->storeReads(), 0U);
  EXPECT_EQ(this->shared.joinedPeersAt, 0);
}

TEST_F(FleetControlTest, ANewerConfigurationComesFromARelayOfTheZone)
{
  // If each relay read a changed configuration from the store, one change would
  // be a call for each relay of the fleet.
  this->addContacts();
  const Address holder{ "10.0.0.2", 7 };
  std::atomic<bool> askedHolder{ false };
  const auto fetch =
    [&](const Address& aRelay, const SnapshotQuery& aQuery, Duration) {
      FleetSnapshot snapshot = contactSnapshot();
      if (aQuery.newerConfig == 5) {
        askedHolder = aRelay == holder;
        snapshot.configVersion = 6;
        snapshot.configText = "6";
      }
      return Result<FleetSnapshot>{ snapshot };
    };
  const auto version = [this] { return this->shared.config.read()->version; };
  this->joinAndThen(
    fetch,
    [&] {
      this->shared.configHolders.report(6, holder);
      this->shared.peerConfigVersion = 6;
    },
    [&] { return version() == 6; });
  EXPECT_EQ(version(), 6U);
  EXPECT_TRUE(askedHolder);
  EXPECT_EQ(this->storeReads(), 0U);
}

TEST_F(FleetControlTest,
       ANewerConfigurationThatNobodyHandsOutIsReadFromTheStore)
{
  // The only relay of the zone that reported it has died. A configuration must
  // be in force everywhere within its deadline.
  this->addContacts();
  this->store.scriptConfig(configPoll(6));
  const auto fetch = [](const Address&, const SnapshotQuery& aQuery, Duration) {
    return aQuery.newerConfig == 5
             ? Result<FleetSnapshot>{ fail(ErrorKind::PlatformUnavailable) }
             : Result<FleetSnapshot>{ contactSnapshot() };
  };
  const auto version = [this] { return this->shared.config.read()->version; };
  this->joinAndThen(
    fetch,
    [this] {
      this->shared.configHolders.report(6, Address{ "10.0.0.2", 7 });
      this->shared.peerConfigVersion = 6;
    },
    [&] { return version() == 6; });
  EXPECT_EQ(version(), 6U);
}

TEST_F(FleetControlTest, ARelayThatTheStoreRejectsLearnsFromOtherZones)
{
  // The store rejects this relay, the only one of its zone. The relays of other
  // zones have a newer configuration. Without them, it would reject requests as
  // soon as its proof is old, although its peers can be reached.
  this->addContacts();
  const auto fetch = [](const Address&, const SnapshotQuery& aQuery, Duration) {
    FleetSnapshot snapshot = contactSnapshot();
    if (aQuery.newerConfig == 5) {
      snapshot.configVersion = 6;
      snapshot.configText = "6";
    }
    return Result<FleetSnapshot>{ snapshot };
  };
  const auto version = [this] { return this->shared.config.read()->version; };
  this->joinAndThen(
    fetch,
    [this] {
      this->shared.pollsFail = true;
      this->shared.remoteConfigHolders.report(6, Address{ "10.0.0.2", 7 });
      this->shared.peerConfigVersion = 6;
    },
    [&] { return version() == 6; });
  EXPECT_EQ(version(), 6U);
  EXPECT_EQ(this->storeReads(), 0U);
}

TEST_F(FleetControlTest, AListWithAMissedUpdateComesFromARelayOfTheZone)
{
  // The datagram with a change was lost. Its sender still has the list.
  this->addContacts();
  const auto fetch = [](const Address&, const SnapshotQuery& aQuery, Duration) {
    FleetSnapshot snapshot = contactSnapshot();
    snapshot.replicas->lastChange = 9;
    if (aQuery.newerReplicas && *aQuery.newerReplicas == 9) {
      snapshot.replicas->present.push_back(replicaOf("two", "a", "slow"));
      snapshot.replicas->lastChange = 12;
      snapshot.replicas->next = 12;
    }
    return Result<FleetSnapshot>{ snapshot };
  };
  const auto listed = [this] {
    return this->shared.replicas.read()->replicas.size();
  };
  this->joinAndThen(
    fetch,
    [this] {
      this->shared.listHolders.report(12, Address{ "10.0.0.2", 7 });
      this->shared.peerListVersion = 12;
    },
    [&] { return listed() == 2; });
  EXPECT_EQ(listed(), 2U);
  EXPECT_EQ(this->storeReads(), 0U);
}

} // namespace
} // namespace poplartrack
