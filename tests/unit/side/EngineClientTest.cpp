#include "poplartrack/side/EngineClient.h"

#include <future>
#include <memory>

#include <gtest/gtest.h>

#include "unit/base/ErrorIn.h"
#include "unit/relay/AnsweringReplica.h"

namespace poplartrack {
namespace {

/** A client of an engine that answers with the same bytes and closes the
 * connection. */
class EngineClientTest : public ::testing::Test
{
protected:
  EngineClientTest()
    : http(std::move(HttpClient::create({})).value())
    , client(*this->http, toText(this->engine.address()))
  {
  }

  Result<EngineOutput> step()
  {
    const auto end = std::make_shared<std::promise<Result<EngineOutput>>>();
    this->client.step(
      EngineStep{},
      std::chrono::minutes{ 1 },
      [end](const Result<EngineOutput>& aEnd) { end->set_value(aEnd); });
    return end->get_future().get();
  }
  Result<Done> order()
  {
    const auto end = std::make_shared<std::promise<Result<Done>>>();
    this->client.order(
      "model", "v1", LayerRange{ 0, 4 }, 1, [end](const Result<Done>& aEnd) {
        end->set_value(aEnd);
      });
    return end->get_future().get();
  }

  std::string answer;
  relaytest::AnsweringReplica engine{ [this](const std::string&) {
    return this->answer;
  } };
  std::unique_ptr<HttpClient> http;
  EngineClient client;
};

TEST_F(EngineClientTest, AnOrderWhoseAnswerIsCutWithinItsHeadIsNotAccepted)
{
  // Guards against layers that count as ordered, though the engine crashed.
  this->answer = "HTTP/1.1 200 OK\r\nContent-Le";
  EXPECT_EQ(errorIn(this->order()), ErrorKind::Network);
}

TEST_F(EngineClientTest, AStepWhoseRefusalIsCutWithinItsHeadIsLost)
{
  // Guards against a step that counts as never run, though it may have run.
  this->answer = "HTTP/1.1 409 Conflict\r\nContent-Le";
  EXPECT_EQ(errorIn(this->step()), ErrorKind::StageLost);
}

TEST_F(EngineClientTest, AnAnswerMayEndWithItsConnection)
{
  this->answer =
    "HTTP/1.1 200 OK\r\n\r\n{\"outputs\":[\"5\"],\"incarnation\":1}";
  const Result<EngineOutput> output = this->step();
  ASSERT_TRUE(output) << describe(output.error());
  EXPECT_EQ(output.value().outputs, std::vector<std::uint64_t>{ 5 });
  // Half a JSON object is never a whole one.
  this->answer = "HTTP/1.1 200 OK\r\n\r\n{\"outputs\":[\"5\"],\"incarn";
  EXPECT_FALSE(this->step());
}

} // namespace
} // namespace poplartrack
