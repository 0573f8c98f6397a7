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

/** A store whose answers are written down beforehand. When they have all been
 * given, looks wait until the test lets them end. */
class ScriptedStore
{
public:
  /** Nothing: the look fails. */
  void willAnswer(std::optional<ConfigPoll> aPoll)
  {
    this->configs.push_back(std::move(aPoll));
  }
  void willList(std::optional<ReplicaPoll> aPoll)
  {
    this->lists.push_back(std::move(aPoll));
  }
  /** Waits until every answer has been given and taken in: the next look has
   * begun. */
  void waitUntilGiven()
  {
    std::unique_lock lock{ this->guard };
    this->changed.wait(
      lock, [this] { return this->configsWaiting && this->listsWaiting; });
  }
  void end()
  {
    const std::scoped_lock lock{ this->guard };
    this->ended = true;
    this->changed.notify_all();
  }

  Result<ConfigPoll> readConfig(Duration)
  {
    return this->next(this->configs, this->configsWaiting);
  }
  Result<ConfigPoll> awaitConfig(std::uint64_t, Duration)
  {
    return this->next(this->configs, this->configsWaiting);
  }
  Result<ReplicaPoll> readReplicas(Duration)
  {
    return this->next(this->lists, this->listsWaiting);
  }
  Result<ReplicaPoll> awaitReplicas(std::uint64_t, Duration)
  {
    return this->next(this->lists, this->listsWaiting);
  }
  Result<std::optional<TableRow>> readRow(const std::string& aTable,
                                          const std::string& aKey)
  {
    const std::scoped_lock lock{ this->guard };
    const auto found = this->rows.find(aTable + "/" + aKey);
    return found == this->rows.end() ? std::optional<TableRow>{}
                                     : std::optional<TableRow>{ found->second };
  }
  Result<std::vector<TableRow>> scanRows(const std::string&,
                                         const std::string&,
                                         const std::string&,
                                         std::size_t)
  {
    return std::vector<TableRow>{};
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
  Result<Poll> next(std::deque<std::optional<Poll>>& aScript, bool& aWaiting)
  {
    std::unique_lock lock{ this->guard };
    if (aScript.empty()) {
      aWaiting = true;
      this->changed.notify_all();
      this->changed.wait(lock, [this] { return this->ended; });
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
  std::uint64_t version = 0;
  bool configsWaiting = false;
  bool listsWaiting = false;
  bool ended = false;
};

static_assert(FleetStoreLike<ScriptedStore>);

ConfigPoll
pollOf(std::uint64_t aVersion)
{
  RelayConfig config;
  config.version = aVersion;
  ConfigPoll poll;
  poll.config = std::make_shared<const RelayConfig>(std::move(config));
  poll.asOf = SuspendAwareClock{}.now();
  return poll;
}

ReplicaPoll
listOf(const std::string& aId)
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

  /** Runs the threads until the script has been played. */
  void play()
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
    this->store.waitUntilGiven();
    this->store.end();
  }

  /** Runs the threads, does something once a replica is listed, and gives how
   * many are listed when there are as many as wanted. Bounded, so that a fault
   * ends the test. */
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

  int logFd;
  RelayShared shared;
  RelaySettings settings;
  ScriptedStore store;
};

TEST_F(FleetControlTest, NeverGoesBackToAnOlderConfiguration)
{
  // The store answers two looks out of order. Going back would bring back a
  // key that had been taken away.
  this->store.willAnswer(pollOf(5));
  this->store.willAnswer(pollOf(3));
  this->store.willAnswer(pollOf(6));
  this->store.willAnswer(pollOf(5));
  this->play();
  EXPECT_EQ(this->shared.config.read()->version, 6U);
}

TEST_F(FleetControlTest, KeepsWhatItKnowsThroughAnOutage)
{
  this->store.willAnswer(pollOf(5));
  this->store.willAnswer(std::nullopt);
  this->store.willList(listOf("one"));
  this->store.willList(std::nullopt);
  this->play();
  EXPECT_EQ(this->shared.config.read()->version, 5U);
  EXPECT_EQ(this->shared.replicas.read()->replicas.size(), 1U);
}

TEST_F(FleetControlTest, AnUnreadableConfigurationProvesNothing)
{
  // What stands in the store may have taken a key away; that it could not be
  // read must not count as knowing.
  ConfigPoll broken;
  broken.unreadable.emplace_back("no version");
  broken.asOf = SuspendAwareClock{}.now() + std::chrono::seconds{ 1 };
  this->store.willAnswer(pollOf(5));
  this->store.willAnswer(broken);
  this->play();
  EXPECT_GE(this->shared.freshness.age(), Duration{ 0 });
}

TEST_F(FleetControlTest, WithoutAConfigurationThereIsNoProof)
{
  ConfigPoll empty;
  empty.asOf = SuspendAwareClock{}.now();
  this->store.willAnswer(empty);
  this->play();
  EXPECT_EQ(this->shared.freshness.age(), Duration::max());
}

TEST_F(FleetControlTest, ARelayThatDoesNotLookTakesOverWhatOthersTell)
{
  // Another relay of the zone looks at the store and tells of a new replica.
  // This one lists it without a call of its own; its script has no second
  // answer. News with a hole before them are left alone: what is missing could
  // be that a replica leaves.
  ReplicaPoll first = listOf("one");
  first.next = 5;
  this->store.willAnswer(pollOf(5));
  this->store.willList(first);
  ReplicaListDelta hole{ 8, listOf("three") };
  hole.poll.fullSnapshot = false;
  hole.poll.next = 9;
  ReplicaListDelta joined{ 5, listOf("two") };
  joined.poll.fullSnapshot = false;
  joined.poll.next = 6;
  this->shared.polls = false;
  const auto count = this->listedAfter(
    [&] {
      this->shared.listInbox.push(hole);
      this->shared.listInbox.push(joined);
    },
    2);
  EXPECT_EQ(count, 2U);
  EXPECT_EQ(this->shared.replicas.read()->replicas[1].id, "two");
}

TEST_F(FleetControlTest, WhatVanishesInAnOutageThatOthersTellOfIsKept)
{
  // All relays that look say that the store is away; entries lapse meanwhile.
  // One that does not look hears first of the outage, then that an entry is
  // gone and one is new. The replica of the first serves on.
  ReplicaPoll first = listOf("one");
  first.next = 5;
  this->store.willAnswer(pollOf(5));
  this->store.willList(first);
  ReplicaListDelta lapsed{ 5, listOf("two") };
  lapsed.poll.fullSnapshot = false;
  lapsed.poll.next = 6;
  lapsed.poll.removed = { "one" };
  this->shared.polls = false;
  const auto count = this->listedAfter(
    [&] {
      this->shared.peersSawOutageAt =
        SuspendAwareClock{}.now().time_since_epoch().count();
      this->shared.listInbox.push(lapsed);
    },
    2);
  EXPECT_EQ(count, 2U);
}

} // namespace
} // namespace poplartrack
