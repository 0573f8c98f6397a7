#include "poplartrack/side/StageRunner.h"

#include <atomic>
#include <future>
#include <memory>

#include <gtest/gtest.h>

#include "harness/RawSocket.h"
#include "poplartrack/wire/StreamServer.h"
#include "unit/relay/AnsweringReplica.h"

namespace poplartrack {
namespace {

constexpr std::uint64_t kIncarnation = 7;
constexpr RequestId kRequest{ 1, 2 };

/** The first of two stages, beside an engine that answers each step. The next
 * stage answers steps only while it is not silent. */
class StageRunnerTest : public ::testing::Test
{
protected:
  StageRunnerTest()
    : http(std::move(HttpClient::create({})).value())
    , peers(std::move(StreamClient::create({})).value())
    , client(*this->http, toText(this->engine.address()))
  {
    EngineInfo info;
    info.incarnation = 1;
    info.model = "toy";
    info.modelVersion = "v1";
    info.holds = LayerRange{ 0, 6 };
    this->watch.onInfo(info);
    this->entry = listen([this](const std::string& aFrame) {
      this->reported.set_value(decode<StageTrouble>(aFrame).value());
      return encode(TroubleReply{});
    });
  }
  ~StageRunnerTest() override
  {
    this->http.reset();
    this->timers.stop();
    this->peers.reset();
  }
  StageRunnerTest(const StageRunnerTest&) = delete;
  StageRunnerTest& operator=(const StageRunnerTest&) = delete;

  /** A process that answers each frame for which there is an answer. */
  static std::unique_ptr<StreamServer> listen(
    std::function<std::string(const std::string&)> aAnswer)
  {
    return std::move(StreamServer::create(
                       Address{ "127.0.0.1", 0 },
                       [answer = std::move(aAnswer)](
                         const std::string& aFrame, const Responder& aRespond) {
                         const std::string reply = answer(aFrame);
                         if (!reply.empty()) {
                           aRespond(reply);
                         }
                       },
                       {}))
      .value();
  }

  /** Opens an attempt of which this is the first stage, and runs its first
   * step. */
  void start(const Address& aNext)
  {
    OpenAttempt open;
    open.request = kRequest;
    open.attempt = 1;
    open.model = "toy";
    open.modelVersion = "v1";
    open.layers = 12;
    open.route = { { "first", kIncarnation, "10.0.0.1:1", { 0, 6 } },
                   { "next", kIncarnation, toText(aNext), { 6, 12 } } };
    open.prefillTokens = 1;
    open.tokensWanted = 2;
    open.remainingMicros = 60'000'000;
    open.replyTo = toText(this->entry->address());
    ASSERT_FALSE(this->runner.open(open).refusal.refused);
    RunStep step;
    step.request = kRequest;
    step.attempt = 1;
    step.inputs = { 5 };
    step.remainingMicros = open.remainingMicros;
    ASSERT_FALSE(this->runner.step(step).refusal.refused);
  }

  std::size_t openAttempts()
  {
    return this->ledger.with(
      [](StepLedger& aLedger) { return aLedger.openAttempts(); });
  }

  std::promise<StageTrouble> reported;
  std::unique_ptr<StreamServer> entry;
  relaytest::AnsweringReplica engine{ [](const std::string&) {
    return "HTTP/1.1 200 OK\r\n\r\n{\"outputs\":[\"5\"],\"incarnation\":1}";
  } };
  std::unique_ptr<HttpClient> http;
  std::unique_ptr<StreamClient> peers;
  SideLedger ledger{ StepLedger::create({}, "first", kIncarnation).value() };
  EndpointWatch watch{ kIncarnation };
  Timers timers;
  Metrics metrics;
  EngineClient client;
  StageRunner runner{ SideParts{ this->ledger,
                                 this->watch,
                                 this->client,
                                 *this->peers,
                                 this->timers,
                                 this->metrics,
                                 "first" } };
};

// Guards against an attempt that is ended because its next stage, which is
// sound, took no step for a second and a half.
TEST_F(StageRunnerTest, AnAttemptOutlivesASilentNextStage)
{
  std::atomic<bool> silent{ true };
  std::promise<void> taken;
  const auto next = listen([&](const std::string&) {
    if (silent.load()) {
      return std::string{};
    }
    taken.set_value();
    return encode(StepReply{});
  });
  this->start(next->address());
  const StageTrouble trouble = this->reported.get_future().get();
  EXPECT_EQ(trouble.endpoint, "next");
  EXPECT_TRUE(trouble.mayContinue);
  ASSERT_EQ(this->openAttempts(), 1U);
  silent = false;
  taken.get_future().get();
  EXPECT_EQ(this->openAttempts(), 1U);
}

// Guards against an attempt that waits for a next stage whose process is gone.
TEST_F(StageRunnerTest, AnAttemptEndsAtOnceIfItsNextStageIsRefused)
{
  this->start(harness::deadAddress());
  const StageTrouble trouble = this->reported.get_future().get();
  EXPECT_EQ(trouble.endpoint, "next");
  EXPECT_FALSE(trouble.mayContinue);
  EXPECT_EQ(this->openAttempts(), 0U);
}

} // namespace
} // namespace poplartrack
