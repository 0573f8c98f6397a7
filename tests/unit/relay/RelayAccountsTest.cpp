// Shares of client accounts in a model service that is short of capacity.

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <thread>

#include "PeerSocket.h"
#include "RelayWorld.h"
#include "poplartrack/admit/AccountShares.h"

namespace poplartrack {
namespace {

using namespace relaytest;

/** Requests that the replica of the model takes at once. */
constexpr int kSlots = 8;
/** Interval of the rounds of the relay's wait queue, and its longest wait. */
constexpr Duration kRound = std::chrono::milliseconds{ 25 };
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
    ::dup2(::fileno(this->log), this->world.logFd);
  }

  ~RelayAccounts() override { static_cast<void>(std::fclose(this->log)); }

  /** Stops the relay and returns its log. */
  std::string readLog()
  {
    this->world.loop.reset();
    std::string text(std::size_t{ 16 } * 1024, ' ');
    static_cast<void>(
      ::pread(::fileno(this->log), text.data(), text.size(), 0));
    return text;
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
  /** Gives the relay a clock that only the test advances. */
  void useManualClock()
  {
    // The relay takes the time 0 for "never".
    this->clock.advance(std::chrono::hours{ 1 });
    this->world.clock = [this] { return this->clock.now(); };
  }
  /** Advances the clock by one round of the wait queue and waits until the
   * relay has done what is due then. */
  void runRound()
  {
    this->clock.advance(kRound);
    // The loop may have read the clock before. Its next iteration runs what is
    // posted before the timers, so only the third one comes after them.
    for (int i = 0; i < 3; ++i) {
      std::atomic<bool> done{ false };
      this->world.loop->post([&done] { done = true; });
      ASSERT_TRUE(waitFor([&done] { return done.load(); }));
    }
  }
  /** Waits until the relay has this many open requests. */
  void awaitOpen(std::size_t aRequests)
  {
    ASSERT_TRUE(
      waitFor([&] { return this->world.loop->openRequests() == aRequests; }));
  }
  std::FILE* log = std::tmpfile();
  ManualClock clock;
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
  this->useManualClock();
  this->world.start();
  this->fillSlots();
  RawSocket waiting = this->world.sendRequest("/patient/x", "more");
  this->awaitOpen(kSlots + 1);
  this->sendRival("rival-1");
  this->awaitOpen(kSlots + 2);
  // Shares are divided anew in every second round.
  this->runRound();
  this->runRound();
  ASSERT_EQ(this->world.awaitCounter("requests_beyond_share_total", 1), 1U);
  this->running.front().send(
    RelayWorld::answer("full-0",
                       "id: 1\ndata: x\n\n",
                       "200 OK",
                       "X-Stamp: s\r\nConnection: close\r\n"));
  this->awaitOpen(kSlots + 1);
  this->runRound();
  this->running.push_back(this->replica.accept());
  const std::string head = this->running.back().readUntil("\r\n\r\n");
  EXPECT_TRUE(has(head, "X-Account: rival")) << head;
  // The refusal of the account beyond its share is counted as such.
  this->sendRival("rival-2");
  this->awaitOpen(kSlots + 2);
  for (Duration waited{ 0 }; waited < kLongestWait; waited += kRound) {
    this->runRound();
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
  // Guards against messages that grow with the accounts at all times.
  PeerSocket peer;
  this->world.shared.peers.replace(
    std::make_shared<const std::vector<Address>>(1, peer.address()));
  this->world.start();
  PeerStatus status;
  const auto receiveUntil = [&](const auto& aFound) {
    while (!aFound()) {
      if (const auto message = peer.receive()) {
        status = message->status;
      }
      std::this_thread::yield();
    }
  };
  this->fillSlots();
  receiveUntil([&] { return !status.loads.empty(); });
  EXPECT_TRUE(status.accounts.empty());
  this->sendRival("rival-1");
  receiveUntil([&] { return !status.accounts.empty(); });
  ASSERT_EQ(status.accounts.size(), 2U);
  // The rows have no order while there are few.
  const bool first = status.accounts[0].inUse > 0;
  EXPECT_EQ(status.accounts[first ? 0 : 1].inUse, 160U);
  EXPECT_EQ(status.accounts[first ? 1 : 0].waiting, 20U);
}

TEST_F(RelayAccounts, SharesAreMeasuredByTheUsualUseOfAllRelays)
{
  // Guards against weights that the relays do not exchange.
  this->useManualClock();
  PeerSocket peer;
  this->world.shared.peers.replace(
    std::make_shared<const std::vector<Address>>(1, peer.address()));
  this->world.start();
  this->fillSlots();
  PeerStatus report;
  report.incarnation = 7;
  report.accounts.push_back({ "model", accountHash("rival"), 0, 1, 64 });
  std::optional<PeerMessage> own;
  EXPECT_TRUE(waitFor([&] {
    peer.send(this->world.loop->peersAddress(), report);
    this->runRound();
    const auto message = peer.receive();
    if (message && !message->status.accounts.empty()) {
      own = message;
    }
    return own.has_value();
  }));
  ASSERT_TRUE(own);
  // Eight requests of 20 tokens before the shortage, as the use of 10 s.
  EXPECT_EQ(own->status.accounts[0].usual, 16U);
  const RawSocket waiting = this->world.sendRequest("/patient/x", "more");
  this->awaitOpen(kSlots + 1);
  EXPECT_TRUE(has(this->readLog(), "weight_milli=250"));
}

/** Guards against an account beyond its share whose requests fill the paths on
 * which requests within their share are too late and wait. */
TEST_F(RelayAccounts, ARequestBeyondItsShareWaitsBehindOneThatIsHeldBack)
{
  this->useManualClock();
  this->world.load.paceAdmission = true;
  this->world.start();
  this->callers.push_back(
    this->world.sendRequest("/stream/x", "long", "X-Tokens: 300000,5\r\n"));
  this->running.push_back(this->replica.accept());
  this->running.back().readUntil("\r\n\r\n");
  this->sendRival("held", "/stream/x", "X-Tokens: 20000,5\r\n");
  this->awaitOpen(2);
  // Shares are divided anew in every second round.
  this->runRound();
  this->runRound();
  this->callers.push_back(this->world.sendRequest("/patient/x", "beyond"));
  this->awaitOpen(3);
  // Capacity that stays free for 250 ms is left to accounts beyond their share.
  for (Duration waited{ 0 }; waited < kLongestWait / 4; waited += kRound) {
    this->runRound();
  }
  EXPECT_EQ(this->world.counter("requests_beyond_share_total"), 1U);
  EXPECT_EQ(this->world.counter("starts_beyond_share_total"), 0U);
  this->running.back().send(RelayWorld::streamHead("long") +
                            RelayWorld::event(1));
  this->callers.front().readUntil("data: x");
  this->runRound();
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
  EXPECT_EQ(this->world.shared.metrics.counter("requests_beyond_share_total"),
            0U);
  EXPECT_FALSE(has(this->readLog(), "share"));
}

} // namespace
} // namespace poplartrack
