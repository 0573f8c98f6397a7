// Requests that run when what they contain is put into quarantine.

#include "PeerSocket.h"
#include "RelayReplacementFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

class RelayQuarantineTest : public RelayReplacementFixture
{
protected:
  /** Puts the content of the request of the test into quarantine. */
  void quarantineContent()
  {
    const Fingerprint content =
      fingerprintOf({ "shop", "shop.example", "POST", "/once/x", "" });
    this->world.shared.storedQuarantine.replace(
      std::make_shared<const std::vector<Suspect>>(1, contentSuspect(content)));
    ASSERT_TRUE(this->world.advanceUntil(
      [this] { return !this->world.shared.quarantine.read()->empty(); }));
    this->world.advance(kRound);
  }
  /** Returns a status message by which two parts of prompts are equally suspect
   * of three crashes. */
  static PeerStatus crashesUnderTwoParts()
  {
    PeerStatus status;
    status.incarnation = 1;
    status.zone = "a";
    status.sentAt = 1;
    for (const char* part : { "aa", "bb" }) {
      for (const char* replica : { "x1", "x2", "x3" }) {
        status.crashes.push_back({ fingerprintOfPart(part),
                                   replica,
                                   true,
                                   true,
                                   fingerprintOfPart(part, "shop"),
                                   false,
                                   0 });
      }
    }
    return status;
  }
};

TEST_F(RelayQuarantineTest, AnAnswerThatHasBegunIsForwardedWhole)
{
  // Guards against 502 for a request whose replica was sending its answer.
  this->startWith("plain", { "one" });
  this->openRequest("/once/x", "Connection: close\r\n");
  const std::string answer = RelayWorld::answer("id-1", "whole");
  this->replica->send(answer.substr(0, answer.size() - 2));
  this->world.settle();
  this->quarantineContent();
  this->replica->send(answer.substr(answer.size() - 2));
  const std::string forwarded = this->caller->readToEnd();
  EXPECT_TRUE(forwarded.starts_with("HTTP/1.1 200 OK")) << forwarded;
}

TEST_F(RelayQuarantineTest, ARequestThatWasSentIsNotCalledNotRun)
{
  // Guards against 503 for a request that may run once and has been sent.
  this->startWith("plain", { "one" });
  this->openRequest("/once/x");
  this->quarantineContent();
  this->expectStatus("502 ");
  EXPECT_TRUE(this->replica->readToReset());
}

TEST_F(RelayQuarantineTest, ASilentPartOfAPathEndsNoAttempt)
{
  // Guards against 502 for a request that shares a prompt part with a crash and
  // one of whose replicas is silent.
  const Address second{ "127.0.0.1", 2 };
  const PeerSocket peer;
  this->world.onQuery = [&](const Address& aReplica, const auto& aDone) {
    ReplicaReport report;
    report.reached = true;
    if (aReplica == this->one.address()) {
      report.stalled.push_back({ "id-1", second });
    }
    aDone(report);
  };
  this->world.setPeers({ peer.address() });
  this->world.addModelReplica("one", this->one.address(), { 0, 5 }, "a");
  this->world.addModelReplica("two", second, { 5, 10 }, "a");
  this->world.replicas["one"].slots = 4;
  this->world.start();
  this->openRequest(
    "/stream/x",
    "X-Tokens: 5,50\r\nX-Parts: aa:5,own:5\r\nConnection: close\r\n");
  peer.send(this->world.loop->peersAddress(), crashesUnderTwoParts());
  ASSERT_TRUE(this->world.advanceUntil(
    [this] { return !this->world.shared.quarantine.read()->empty(); }));
  this->passSilence();
  this->replica->send(RelayWorld::streamHead("id-1") + RelayWorld::event(1) +
                      RelayWorld::kLastChunk);
  const std::string answer = this->caller->readToEnd();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 OK")) << answer;
}

} // namespace
} // namespace poplartrack
