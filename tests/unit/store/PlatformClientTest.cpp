#include "poplartrack/store/PlatformClient.h"

#include <atomic>
#include <future>

#include <gtest/gtest.h>

#include "poplartrack/http/HttpServer.h"
#include "standins/lib/PlatformHttp.h"
#include "unit/base/ErrorIn.h"
#include "unit/relay/AnsweringReplica.h"

namespace poplartrack {
namespace {

using standins::PlatformFaults;

/** The client, connected to the platform stand-in over loopback. */
class PlatformClientTest : public testing::Test
{
protected:
  void SetUp() override
  {
    this->listen(Address{ "127.0.0.1", 0 });
    this->http = std::move(HttpClient::create({})).value();
    PlatformClientSettings settings;
    settings.platform = this->server->address();
    this->client = std::make_unique<PlatformClient>(*this->http, settings);
  }

  /** Serves the platform stand-in over HTTP at this address. */
  void listen(const Address& aAddress)
  {
    auto made = HttpServer::create(
      aAddress,
      [this](const HttpRequest& aRequest) {
        if (this->failing) {
          return HttpReply{ 500, {}, "broken", {}, {} };
        }
        return standins::answerPlatformCall(this->platform, aRequest);
      },
      HttpServerLimits{});
    ASSERT_TRUE(made) << describe(made.error());
    this->server = std::move(made).value();
  }

  /** Writes the row "a/b %" of table "t" if it has this version. */
  Result<std::vector<std::uint64_t>> putRow(std::uint64_t aExpect)
  {
    return this->client->transact({ { "t", "a/b %", aExpect, "value" } });
  }

  SystemClock clock;
  standins::ServedPlatform platform{ clock };
  /** While set, every call is answered with status 500. */
  std::atomic<bool> failing{ false };
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> http;
  std::unique_ptr<PlatformClient> client;
};

TEST_F(PlatformClientTest, rowsReadBackUnderKeysWithReservedCharacters)
{
  const auto versions = this->putRow(0);
  ASSERT_TRUE(versions) << describe(versions.error());
  const auto row = this->client->readRow("t", "a/b %");
  ASSERT_TRUE(row) << describe(row.error());
  EXPECT_EQ(row.value(), (TableRow{ "a/b %", "value", versions.value()[0] }));
  EXPECT_EQ(this->client->readRow("t", "none").value(), std::nullopt);
  EXPECT_EQ(this->client->scanRows("t", "a/", "", 5).value().size(), 1);
  EXPECT_EQ(this->client->scanRows("t", "a/", "a/b %", 5).value().size(), 0);
  EXPECT_EQ(this->putRow(0).error().kind, ErrorKind::Conflict);
}

TEST_F(PlatformClientTest, objectsAreImmutable)
{
  const std::string bytes{ "\0\xFF bytes", 8 };
  EXPECT_TRUE(this->client->putObject("config/1", bytes));
  EXPECT_TRUE(this->client->putObject("config/1", bytes));
  EXPECT_EQ(this->client->putObject("config/1", "other").error().kind,
            ErrorKind::Conflict);
  EXPECT_EQ(this->client->getObject("config/1").value(), bytes);
  EXPECT_EQ(this->client->getObject("config/2").error().kind,
            ErrorKind::NotFound);
}

TEST_F(PlatformClientTest, instancesReadBack)
{
  const std::vector<InstanceInfo> list{
    { "entry-1", InstanceRole::Entry, "oslo-a", "oslo", "127.0.0.1:1", false },
    { "side-1", InstanceRole::Side, "oslo-b", "oslo", "127.0.0.1:2", true }
  };
  this->platform.setInstances(list);
  EXPECT_EQ(this->client->listInstances().value(), list);
}

TEST_F(PlatformClientTest, anOutageOrNoListenerIsUnavailableForReadsAndWrites)
{
  PlatformFaults faults;
  faults.outage = true;
  this->platform.setFaults(faults);
  EXPECT_EQ(this->putRow(0).error().kind, ErrorKind::PlatformUnavailable);
  EXPECT_EQ(this->client->listInstances().error().kind,
            ErrorKind::PlatformUnavailable);
  this->server.reset();
  EXPECT_EQ(this->putRow(0).error().kind, ErrorKind::PlatformUnavailable);
  EXPECT_EQ(this->client->readRow("t", "x").error().kind,
            ErrorKind::PlatformUnavailable);
}

// A write takes effect and its answer is lost. If it were reported as failed,
// the caller would repeat it; if such a write were reported as done, it might
// not have taken effect. The caller must learn that the outcome is unknown, and
// find it out by reading.
TEST_F(PlatformClientTest, aWriteWhoseAnswerIsLostIsUnknown)
{
  ASSERT_TRUE(this->client->readRow("t", "a/b %"));
  PlatformFaults faults;
  faults.loseAfter = 2;
  this->platform.setFaults(faults);
  EXPECT_EQ(this->putRow(0).error().kind, ErrorKind::PlatformUnknown);
  EXPECT_TRUE(this->client->readRow("t", "a/b %").value().has_value());
  EXPECT_EQ(this->client->putObject("name", "bytes").error().kind,
            ErrorKind::PlatformUnknown);
  EXPECT_EQ(this->platform.stats().writes.total, 2);
}

TEST_F(PlatformClientTest, aServerErrorLeavesAWriteUnknownAndFailsARead)
{
  this->failing = true;
  EXPECT_EQ(this->putRow(0).error().kind, ErrorKind::PlatformUnknown);
  EXPECT_EQ(this->client->readRow("t", "x").error().kind,
            ErrorKind::PlatformUnavailable);
}

// The platform does not answer within the client's timeout: the write's outcome
// is unknown, and the caller does not wait any longer.
TEST_F(PlatformClientTest, aWriteToAHungPlatformTimesOutAsUnknown)
{
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  this->platform.onWrite([released] { released.wait(); });
  PlatformClientSettings settings;
  settings.platform = this->server->address();
  settings.timeout = std::chrono::milliseconds{ 50 };
  PlatformClient shortTimeoutClient{ *this->http, settings };
  EXPECT_EQ(shortTimeoutClient.transact({ { "t", "k", 0, "v" } }).error().kind,
            ErrorKind::PlatformUnknown);
  release.set_value();
}

// Guards against an object that counts as stored, and a row as missing.
TEST_F(PlatformClientTest, aReplyCutWithinItsHeadStoresAndReadsNothing)
{
  std::string reply;
  relaytest::AnsweringReplica cut{ [&reply](const std::string&) {
    return reply;
  } };
  PlatformClientSettings settings;
  settings.platform = cut.address();
  PlatformClient cutClient{ *this->http, settings };
  reply = "HTTP/1.1 201 Created\r\nContent-Le";
  EXPECT_EQ(errorIn(cutClient.putObject("name", "bytes")),
            ErrorKind::PlatformUnknown);
  reply = "HTTP/1.1 200 OK\r\nContent-Le";
  EXPECT_EQ(errorIn(cutClient.getObject("name")),
            ErrorKind::PlatformUnavailable);
  reply = "HTTP/1.1 404 Not Found\r\n";
  EXPECT_EQ(errorIn(cutClient.readRow("t", "k")),
            ErrorKind::PlatformUnavailable);
}

// Guards against half an object, whose sender stopped, taken for a whole one.
TEST_F(PlatformClientTest, anObjectWithoutALengthIsNotTakenForAWholeOne)
{
  relaytest::AnsweringReplica unframed{ [](const std::string&) {
    return std::string{ "HTTP/1.1 200 OK\r\n\r\nhalf" };
  } };
  PlatformClientSettings settings;
  settings.platform = unframed.address();
  PlatformClient unframedClient{ *this->http, settings };
  EXPECT_EQ(errorIn(unframedClient.getObject("name")),
            ErrorKind::PlatformUnavailable);
}

} // namespace
} // namespace poplartrack
