// Work that is blocked on a replica that answers this relay.

#include <atomic>

#include "RelayReplacementFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

const Address kSecondPart{ "127.0.0.1", 2 };
const Address kThirdPart{ "127.0.0.1", 3 };

/** The first replica cannot reach the second one; this relay reaches both. */
class RelayBlockedTest : public RelayReplacementFixture
{
protected:
  void block(bool aProbes)
  {
    this->world.load.lossProbes = aProbes;
    this->world.repathOutcome = RepathOutcome::Moved;
    this->world.onQuery = [this](const Address& aReplica, const auto& aDone) {
      ReplicaReport report;
      report.reached = true;
      if (this->blocked && aReplica != kSecondPart) {
        report.stalled.push_back({ "id-1", kSecondPart });
      }
      aDone(report);
    };
    this->world.addModelReplica("one", this->one.address(), { 0, 5 }, "a");
    this->world.addModelReplica("a-two", kSecondPart, { 5, 10 }, "a");
    this->world.replicas["one"].slots = 4;
    this->world.start();
    this->openStream("X-Tokens: 5,50\r\n");
    this->world.addModelReplica("three", kThirdPart, { 5, 10 }, "b");
    this->world.publishReplicas(2);
    // Its parts have answered before.
    for (int i = 0; i < 16; ++i) {
      this->world.advance(kRound);
    }
    this->blocked = true;
    this->passSilence();
  }
  void expectMoved()
  {
    EXPECT_GT(this->world.repaths, 0);
    EXPECT_TRUE(has(this->world.lastRepath(), "three"))
      << this->world.lastRepath();
    EXPECT_TRUE(has(this->world.logText(), "event=lost replica=a-two"))
      << this->world.logText();
  }

  std::atomic<bool> blocked{ false };
};

TEST_F(RelayBlockedTest, AStreamLeavesAPartThatItsFirstReplicaCannotReach)
{
  // Guards against work that waits for a part that answers only this relay.
  this->block(false);
  this->expectMoved();
}

TEST_F(RelayBlockedTest, AStreamLeavesSuchAPartThatIsProbed)
{
  // Guards against probes whose answers hide that a part blocks others.
  this->block(true);
  this->expectMoved();
}

} // namespace
} // namespace poplartrack
