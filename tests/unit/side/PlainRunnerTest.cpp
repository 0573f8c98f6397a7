#include "poplartrack/side/PlainRunner.h"

#include <future>
#include <memory>

#include <gtest/gtest.h>

#include "unit/relay/AnsweringReplica.h"

namespace poplartrack {
namespace {

constexpr std::uint64_t kIncarnation = 7;

/** A runner beside a plain service that answers with the same bytes and closes
 * the connection. */
class PlainRunnerTest : public ::testing::Test
{
protected:
  PlainRunnerTest()
    : http(std::move(HttpClient::create({})).value())
    , peers(std::move(StreamClient::create({})).value())
    , engine(*this->http, toText(this->service.address()))
  {
    EngineInfo info;
    info.incarnation = 1;
    info.service = "plain";
    this->watch.onInfo(info);
  }
  ~PlainRunnerTest() override { this->http.reset(); }
  PlainRunnerTest(const PlainRunnerTest&) = delete;
  PlainRunnerTest& operator=(const PlainRunnerTest&) = delete;

  PlainReply call()
  {
    PlainCall call;
    call.request = RequestId{ 1, ++this->lastRequest };
    call.attempt = 1;
    call.incarnation = kIncarnation;
    call.service = "plain";
    call.operation = "read";
    call.body = "{}";
    call.remainingMicros = 60'000'000;
    const auto frame = std::make_shared<std::promise<std::string>>();
    this->runner.call(call, [frame](std::string aFrame) {
      frame->set_value(std::move(aFrame));
    });
    return decode<PlainReply>(frame->get_future().get()).value();
  }

  std::string answer;
  std::uint64_t lastRequest = 0;
  relaytest::AnsweringReplica service{ [this](const std::string&) {
    return this->answer;
  } };
  std::unique_ptr<HttpClient> http;
  std::unique_ptr<StreamClient> peers;
  SideLedger ledger{ StepLedger::create({}, "endpoint", kIncarnation).value() };
  EndpointWatch watch{ kIncarnation };
  Timers timers;
  Metrics metrics;
  EngineClient engine;
  PlainRunner runner{ SideParts{ this->ledger,
                                 this->watch,
                                 this->engine,
                                 *this->peers,
                                 this->timers,
                                 this->metrics,
                                 "endpoint" } };
};

TEST_F(PlainRunnerTest, AnAnswerCutWithinItsHeadIsNoAnswer)
{
  // Guards against a caller that gets 200 with an empty body, framed as whole.
  for (const std::string head : { "HTTP/1.1 200 OK\r\n",
                                  "HTTP/1.1 200 OK\r\nContent-Ty",
                                  "HTTP/1.1 500 Internal Server Error\r\n" }) {
    SCOPED_TRACE(head);
    this->answer = head;
    const PlainReply reply = this->call();
    EXPECT_EQ(reply.refusal.kind, ErrorKind::OutcomeUnknown);
    EXPECT_TRUE(reply.mayHaveRun);
    EXPECT_EQ(reply.status, 0U);
  }
}

TEST_F(PlainRunnerTest, AnAnswerMayEndWithItsConnection)
{
  this->answer = "HTTP/1.1 200 OK\r\n\r\n{\"whole\":true}";
  const PlainReply reply = this->call();
  EXPECT_FALSE(reply.refusal.refused);
  EXPECT_EQ(reply.body, "{\"whole\":true}");
}

} // namespace
} // namespace poplartrack
