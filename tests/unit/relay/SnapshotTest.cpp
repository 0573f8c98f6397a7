#include "poplartrack/relay/SnapshotClient.h"
#include "poplartrack/relay/SnapshotServer.h"

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "relay/SnapshotMessage.h"
#include "unit/fleet/FleetSamples.h"

namespace poplartrack {
namespace {

using namespace fleettest;

Replica
listedReplica(const std::string& aId)
{
  Replica replica = replicaOf(aId, "a", "slow");
  replica.address = { "10.0.0.9", 80 };
  return replica;
}

class SnapshotTest : public ::testing::Test
{
protected:
  SnapshotTest()
    : fd(::open("/dev/null", O_WRONLY))
    , shared(this->fd)
    , server(
        SnapshotServer::create(Address{ "127.0.0.1", 0 }, this->shared).value())
    , http(HttpClient::create(HttpClientLimits{}).value())
    , client(*this->http)
  {
  }
  ~SnapshotTest() override
  {
    this->server.reset();
    ::close(this->fd);
  }
  SnapshotTest(const SnapshotTest&) = delete;
  SnapshotTest& operator=(const SnapshotTest&) = delete;

  void publish(std::uint64_t aConfig, std::uint64_t aList)
  {
    auto config = std::make_shared<RelayConfig>();
    config->version = aConfig;
    config->text = "document";
    this->shared.config.replace(config);
    this->shared.freshness.prove(this->shared.clock.now() -
                                 std::chrono::seconds{ 2 });
    ReplicaView view;
    view.replicas.push_back(listedReplica("one"));
    view.version = aList;
    view.lastChange = aList;
    this->shared.replicas.replace(std::make_shared<const ReplicaView>(view));
    this->shared.listVersion = aList;
    this->shared.addPeers({ { "10.0.0.1", 1 }, { "10.0.0.2", 1 } }, {});
  }
  Result<FleetSnapshot> fetch(const SnapshotQuery& aQuery)
  {
    return this->client.fetch(
      this->server->address(), aQuery, std::chrono::seconds{ 30 });
  }

  int fd;
  RelayShared shared;
  std::unique_ptr<SnapshotServer> server;
  std::unique_ptr<HttpClient> http;
  SnapshotClient client;
};

TEST_F(SnapshotTest, HandsOutWhatARelayThatStartsNeeds)
{
  this->publish(5, 7);
  SnapshotQuery query;
  query.newerReplicas = 0;
  query.relays = true;
  const Result<FleetSnapshot> answer = this->fetch(query);
  ASSERT_TRUE(answer);
  const FleetSnapshot& snapshot = answer.value();
  EXPECT_EQ(snapshot.configVersion, 5U);
  EXPECT_EQ(snapshot.configText, "document");
  ASSERT_TRUE(snapshot.replicas);
  EXPECT_TRUE(snapshot.replicas->fullSnapshot);
  EXPECT_EQ(snapshot.replicas->next, 7U);
  EXPECT_EQ(snapshot.replicas->present,
            std::vector<Replica>{ listedReplica("one") });
  EXPECT_EQ(snapshot.relays.size(), 2U);
}

TEST_F(SnapshotTest, AProofIsNoYoungerThanTheSendersOwn)
{
  // A relay whose proof is old hands out its configuration. If the age were
  // left out, the receiver would use a key that was revoked meanwhile.
  this->publish(5, 7);
  const Result<FleetSnapshot> answer = this->fetch(SnapshotQuery{});
  ASSERT_TRUE(answer);
  ASSERT_TRUE(answer.value().configAge);
  EXPECT_GE(*answer.value().configAge, std::chrono::seconds{ 2 });
}

TEST_F(SnapshotTest, LeavesOutWhatTheAskingRelayHas)
{
  this->publish(5, 7);
  SnapshotQuery query;
  query.newerConfig = 5;
  query.newerReplicas = 7;
  const Result<FleetSnapshot> answer = this->fetch(query);
  ASSERT_TRUE(answer);
  EXPECT_TRUE(answer.value().configText.empty());
  EXPECT_FALSE(answer.value().replicas);
  EXPECT_TRUE(answer.value().relays.empty());
}

TEST_F(SnapshotTest, HandsOutNoListWithEntriesThatMayExpire)
{
  // After an outage of the store, entries are kept until it is known whether
  // their replicas still run. The receiver would not learn that they were
  // dropped, and send requests to replicas that are gone.
  this->publish(5, 7);
  this->shared.listUncertain = true;
  SnapshotQuery query;
  query.newerReplicas = 0;
  const Result<FleetSnapshot> answer = this->fetch(query);
  ASSERT_TRUE(answer);
  EXPECT_FALSE(answer.value().replicas);
}

TEST_F(SnapshotTest, ARelayThatJoinsItselfHandsOutNothing)
{
  this->shared.joining = true;
  EXPECT_FALSE(this->fetch(SnapshotQuery{}));
}

RC_GTEST_PROP(SnapshotMessage,
              DecodesWhatItEncodes,
              (std::uint64_t aVersion,
               const std::string& aText,
               const std::vector<std::uint16_t>& aPorts))
{
  FleetSnapshot snapshot;
  snapshot.configVersion = aVersion;
  snapshot.configText = aText;
  snapshot.configAge = Duration{ aPorts.size() };
  snapshot.replicas.emplace();
  snapshot.replicas->next = aVersion;
  for (const std::uint16_t port : aPorts) {
    const Address address{ "10.0.0.1", std::max<std::uint16_t>(port, 1) };
    snapshot.relays.push_back(address);
    snapshot.replicas->present.push_back(listedReplica(toText(address)));
  }
  const Result<FleetSnapshot> decoded =
    decodeSnapshot(encodeSnapshot(snapshot));
  RC_ASSERT(decoded.ok());
  RC_ASSERT(decoded.value().configVersion == snapshot.configVersion);
  RC_ASSERT(decoded.value().configText == snapshot.configText);
  RC_ASSERT(decoded.value().configAge == snapshot.configAge);
  RC_ASSERT(decoded.value().relays == snapshot.relays);
  RC_ASSERT(decoded.value().replicas->present == snapshot.replicas->present);
}

RC_GTEST_PROP(SnapshotMessage,
              RejectsATruncatedMessage,
              (std::uint16_t aLength))
{
  // The sender died while it wrote. A list that is cut off would look like one
  // from which replicas were removed.
  FleetSnapshot snapshot;
  snapshot.configText = "document";
  snapshot.replicas.emplace();
  snapshot.replicas->present.push_back(listedReplica("one"));
  const std::string whole = encodeSnapshot(snapshot);
  const std::string part = whole.substr(0, aLength % whole.size());
  RC_ASSERT(!decodeSnapshot(part).ok());
  RC_ASSERT(!decodeSnapshot(whole + part + "x").ok());
}

// Guards against a faulty relay whose answer ends the relays that ask it.
TEST(SnapshotMessage, RejectsDeepNestingAndLengthsWithoutContent)
{
  EXPECT_FALSE(decodeSnapshot(std::string(1'000'000, '\x91')));
  EXPECT_FALSE(decodeSnapshot("\xdd\xff\xff\xff\xff"));
  EXPECT_FALSE(decodeSnapshot("\xdf\xff\xff\xff\xff"));
  EXPECT_FALSE(decodeSnapshot("\xdb\xff\xff\xff\xff"));
}

TEST(SnapshotMessage, RejectsAnotherFormat)
{
  SnapshotMessage message;
  message.format = kSnapshotFormat + 1;
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, message);
  EXPECT_FALSE(decodeSnapshot({ bytes.data(), bytes.size() }));
}

} // namespace
} // namespace poplartrack
