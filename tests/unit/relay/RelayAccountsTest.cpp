// Shares of client accounts in a model service that is short of capacity.

#include <algorithm>

#include "PeerSocket.h"
#include "RelayWorld.h"
#include "poplartrack/admit/AccountShares.h"

namespace poplartrack {
namespace {

using namespace relaytest;

/** Requests that the replica of the model takes at once. */
constexpr int kSlots = 8;
/** Longest wait in the relay's wait queue. */
constexpr Duration kLongestWait = std::chrono::milliseconds{ 1'200 };

/** A relay with accounts shop and rival, and one replica of the model. Requests
 * of shop wait for 0.6 s, those of rival for 1.2 s. */
class RelayAccounts : public ::testing::Test
{
protected:
  RelayAccounts()
  {
    this->world.load.accountShares = true;
    RelayConfig& config = *this->world.config;
    config.accounts.push_back(RelayAccount{ "rival", std::nullopt });
    config.keys.emplace("other", 1);
    auto& routes = config.routes["shop.example"];
    const auto stream =
      std::find_if(routes.begin(), routes.end(), [](const RelayRoute& aRoute) {
        return aRoute.prefix == "/stream/";
      });
    stream->objective = std::chrono::milliseconds{ 300 };
    RelayRoute patient = *stream;
    patient.name = patient.prefix = "/patient/";
    patient.objective = std::chrono::seconds{ 10 };
    routes.push_back(patient);
    this->world.addReplica("one", "model", this->replica.address());
    this->world.replicas.at("one").slots = kSlots;
  }

  /** Stops the relay and returns its log. */
  std::string readLog()
  {
    this->world.loop.reset();
    return this->world.logText();
  }
  /** Sends requests of shop that take all slots. */
  void fillSlots()
  {
    for (int i = 0; i < kSlots; ++i) {
      this->callers.push_back(
        this->world.sendRequest("/stream/x", "full-" + std::to_string(i)));
      this->running.push_back(this->replica.accept());
      this->running.back().readUntil("\r\n\r\n");
    }
  }
  /** Sends a request of rival. */
  void sendRival(const std::string& aId,
                 const std::string& aPath = "/patient/x",
                 const std::string& aMore = {})
  {
    std::string text = RelayWorld::request(aPath, aId, aMore);
    text.replace(text.find("secret"), 6, "other");
    this->callers.push_back(this->world.caller());
    this->callers.back().send(text);
  }

  RelayWorld world;
  RawListener replica;
  std::vector<RawSocket> callers;
  std::vector<RawSocket> running;
};

TEST_F(RelayAccounts, AFreeSlotGoesToTheAccountBelowItsShare)
{
  // Guards against an account that keeps all capacity because its requests
  // have waited for longer. The requests must wait at the same time, however
  // slowly the relay runs.
  this->world.useManualClock();
  this->world.start();
  this->fillSlots();
  RawSocket waiting = this->world.sendRequest("/patient/x", "more");
  ASSERT_TRUE(this->world.awaitOpen(kSlots + 1));
  this->sendRival("rival-1");
  ASSERT_TRUE(this->world.awaitOpen(kSlots + 2));
  // Shares are divided anew in every second round.
  this->world.advance(kRound);
  this->world.advance(kRound);
  ASSERT_EQ(this->world.awaitCounter("requests_beyond_share_total", 1), 1U);
  this->running.front().send(
    RelayWorld::answer("full-0",
                       "id: 1\ndata: x\n\n",
                       "200 OK",
                       "X-Stamp: s\r\nConnection: close\r\n"));
  ASSERT_TRUE(this->world.awaitOpen(kSlots + 1));
  this->world.advance(kRound);
  this->running.push_back(this->replica.accept());
  const std::string head = this->running.back().readUntil("\r\n\r\n");
  EXPECT_TRUE(has(head, "X-Account: rival")) << head;
  // The refusal of the account beyond its share is counted as such.
  this->sendRival("rival-2");
  ASSERT_TRUE(this->world.awaitOpen(kSlots + 2));
  for (Duration waited{ 0 }; waited < kLongestWait; waited += kRound) {
    this->world.advance(kRound);
  }
  const std::string refused = waiting.readUntil("}\n");
  EXPECT_TRUE(has(refused, "503")) << refused;
  EXPECT_EQ(this->world.awaitCounter("refused_account_share_total", 1), 1U);
  const std::string lines = this->readLog();
  EXPECT_TRUE(has(lines, "the account uses 140 tokens, its share is 120"))
    << lines;
  EXPECT_TRUE(has(lines, "path: event=beyond_share id=more in_use_tokens=160"))
    << lines;
}

TEST_F(RelayAccounts, RowsAreSentOnlyWhileAServiceIsShortOfCapacity)
{
  // Guards against messages that grow with the accounts at all times. The
  // request must still wait when the relay sends its next message.
  this->world.useManualClock();
  const PeerSocket peer;
  this->world.setPeers({ peer.address() });
  this->world.start();
  PeerStatus status;
  const auto receiveUntil = [&](const auto& aFound) {
    return this->world.advanceUntil([&] {
      const auto message = peer.receive();
      if (message) {
        status = message->status;
      }
      return message && aFound();
    });
  };
  this->fillSlots();
  ASSERT_TRUE(receiveUntil([&] { return !status.loads.empty(); }));
  EXPECT_TRUE(status.accounts.empty());
  this->sendRival("rival-1");
  ASSERT_TRUE(this->world.awaitOpen(kSlots + 1));
  ASSERT_TRUE(receiveUntil([&] { return !status.accounts.empty(); }));
  ASSERT_EQ(status.accounts.size(), 2U);
  // The rows have no order while there are few.
  const bool first = status.accounts[0].inUse > 0;
  EXPECT_EQ(status.accounts[first ? 0 : 1].inUse, 160U);
  EXPECT_EQ(status.accounts[first ? 1 : 0].waiting, 20U);
}

TEST_F(RelayAccounts, SharesAreMeasuredByTheUsualUseOfAllRelays)
{
  // Guards against weights that the relays do not exchange.
  this->world.useManualClock();
  const PeerSocket peer;
  this->world.setPeers({ peer.address() });
  this->world.start();
  this->fillSlots();
  PeerStatus report;
  report.incarnation = 7;
  report.accounts.push_back({ "model", accountHash("rival"), 0, 1, 64 });
  std::optional<PeerMessage> own;
  ASSERT_TRUE(this->world.advanceUntil([&] {
    own = peer.receive();
    peer.send(this->world.loop->peersAddress(), report);
    return own && !own->status.accounts.empty();
  }));
  // Eight requests of 20 tokens before the shortage, as the use of 10 s.
  EXPECT_EQ(own->status.accounts[0].usual, 16U);
  const RawSocket waiting = this->world.sendRequest("/patient/x", "more");
  ASSERT_TRUE(this->world.awaitOpen(kSlots + 1));
  EXPECT_TRUE(has(this->readLog(), "weight_milli=250"));
}

/** Guards against an account beyond its share whose requests fill the paths on
 * which requests within their share are too late and wait. */
TEST_F(RelayAccounts, ARequestBeyondItsShareWaitsBehindOneThatIsHeldBack)
{
  this->world.useManualClock();
  this->world.load.paceAdmission = true;
  this->world.start();
  this->callers.push_back(
    this->world.sendRequest("/stream/x", "long", "X-Tokens: 300000,5\r\n"));
  this->running.push_back(this->replica.accept());
  this->running.back().readUntil("\r\n\r\n");
  this->sendRival("held", "/stream/x", "X-Tokens: 20000,5\r\n");
  ASSERT_TRUE(this->world.awaitOpen(2));
  // Shares are divided anew in every second round.
  this->world.advance(kRound);
  this->world.advance(kRound);
  this->callers.push_back(this->world.sendRequest("/patient/x", "beyond"));
  ASSERT_TRUE(this->world.awaitOpen(3));
  // Capacity that stays free for 250 ms is left to accounts beyond their share.
  for (Duration waited{ 0 }; waited < kLongestWait / 4; waited += kRound) {
    this->world.advance(kRound);
  }
  EXPECT_EQ(this->world.counter("requests_beyond_share_total"), 1U);
  EXPECT_EQ(this->world.counter("starts_beyond_share_total"), 0U);
  this->running.back().send(RelayWorld::streamHead("long") +
                            RelayWorld::event(1));
  this->callers.front().readUntil("data: x");
  this->world.advance(kRound);
  this->running.push_back(this->replica.accept());
  EXPECT_TRUE(has(this->running.back().readUntil("\r\n\r\n"), "X-Id: held"));
}

TEST_F(RelayAccounts, WithoutTheSwitchNoSharesApply)
{
  this->world.load.accountShares = false;
  this->world.start();
  this->fillSlots();
  RawSocket waiting = this->world.sendRequest("/patient/x", "more");
  this->sendRival("rival-1");
  waiting.readUntil("}\n");
  this->world.settle();
  EXPECT_EQ(this->world.counter("requests_beyond_share_total"), 0U);
  EXPECT_FALSE(has(this->readLog(), "share"));
}

} // namespace
} // namespace poplartrack
