// How much a relay sends to others.

#include <vector>

#include "PeerSocket.h"
#include "RelayWorld.h"

namespace poplartrack {
namespace {

using namespace relaytest;

/** A relay of zone a, and relays that the test plays. */
class RelayBroadcastTest : public ::testing::Test
{
protected:
  RelayBroadcastTest()
  {
    this->world.useManualClock();
    this->world.adjust = [this](RelaySettings& aSettings) {
      aSettings.linkMbps = this->linkMbps;
    };
  }
  void start()
  {
    std::vector<Address> addresses;
    for (const PeerSocket& peer : this->peers) {
      addresses.push_back(peer.address());
    }
    this->world.setPeers(addresses);
    this->world.start();
    for (std::size_t i = 0; i < this->peers.size(); ++i) {
      this->send(i, statusOf(i));
    }
    this->world.settle();
  }
  /** Returns a status message of a relay of zone a. */
  static PeerStatus statusOf(std::size_t aPeer)
  {
    PeerStatus status;
    status.incarnation = aPeer + 1;
    status.zone = "a";
    status.forwards = true;
    return status;
  }
  void send(std::size_t aPeer,
            const PeerStatus& aStatus,
            std::string_view aSection = {})
  {
    this->peers[aPeer].send(
      this->world.loop->peersAddress(), aStatus, aSection);
  }
  /** Returns the messages that have arrived at a relay. */
  std::vector<PeerMessage> received(std::size_t aPeer)
  {
    std::vector<PeerMessage> messages;
    while (auto message = this->peers[aPeer].receive()) {
      messages.push_back(std::move(*message));
    }
    return messages;
  }
  std::uint64_t sentBytes()
  {
    return this->world.counter("status_bytes_zone_total") +
           this->world.counter("status_bytes_other_zones_total");
  }

  double linkMbps = 1'000;
  std::vector<PeerSocket> peers{ 10 };
  RelayWorld world;
};

TEST_F(RelayBroadcastTest, ALossThatOthersReportIsNotPassedOn)
{
  // Each of a hundred relays that passed it on would send to all others.
  this->world.addReplica("one", "model", { "127.0.0.1", 9 });
  this->start();
  this->received(9);
  for (std::size_t i = 0; i < 9; ++i) {
    PeerStatus status = statusOf(i);
    status.sentAt = 1;
    status.unreachable = { "one" };
    this->send(i, status);
    this->world.settle();
  }
  EXPECT_TRUE(this->world.shared.lostReplicas.read()->contains("one"));
  // The clock stands still, so no regular message is due.
  EXPECT_TRUE(this->received(9).empty());
}

TEST_F(RelayBroadcastTest, MessagesToOtherRelaysLeaveMostOfTheLinkFree)
{
  // Requests wait behind them at the link: they arrive after their callers have
  // left, and after their replicas have.
  this->linkMbps = 5;
  this->start();
  PeerStatus large = statusOf(9);
  large.zone = "b";
  for (int i = 0; i < 200; ++i) {
    large.loads.push_back(LoadRow{ "replica-" + std::to_string(i), 1, 1, 1 });
  }
  const std::uint64_t before = this->sentBytes();
  constexpr int kRounds = 200;
  for (int round = 0; round < kRounds; ++round) {
    // Relays of another zone ask this one to forward, as fast as they can.
    for (std::size_t i = 5; i < this->peers.size(); ++i) {
      large.incarnation = i + 1;
      ++large.sentAt;
      this->send(i, large, packForwardRequest());
    }
    this->world.advance(kRound);
  }
  constexpr double kLinkBytesPerSecond = 5e6 / 8;
  const double seconds =
    std::chrono::duration<double>(kRound * kRounds).count();
  EXPECT_LT(static_cast<double>(this->sentBytes() - before),
            0.25 * kLinkBytesPerSecond * seconds);
}

TEST_F(RelayBroadcastTest, ChangesBeyondTheirShareOfTheLinkWait)
{
  constexpr std::uint64_t kReplicas = 100;
  constexpr Duration kRegular = std::chrono::milliseconds{ 200 };
  const auto name = [](std::uint64_t aIndex) {
    return "replica-" + std::to_string(aIndex);
  };
  for (std::uint64_t i = 0; i < kReplicas; ++i) {
    this->world.addReplica(name(i), "model", { "127.0.0.1", 9 });
  }
  this->linkMbps = 1;
  this->start();
  for (std::uint64_t i = 0; i < kReplicas; ++i) {
    this->world.restartReplica(name(i));
    this->world.publishReplicas(i + 2);
    this->world.advance(kRegular);
  }
  const std::uint64_t sent = this->world.counter("changes_sent_total");
  EXPECT_GT(sent, 0U);
  EXPECT_LT(sent, kReplicas);
  EXPECT_GT(this->world.counter("changes_left_to_regular_messages_total"), 0U);
}

} // namespace
} // namespace poplartrack
