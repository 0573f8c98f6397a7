#include "poplartrack/entry/EntryServer.h"

#include <poll.h>

#include <atomic>
#include <future>
#include <thread>

#include <gtest/gtest.h>

#include "harness/RawSocket.h"
#include "poplartrack/base/TcpSocket.h"
#include "poplartrack/wire/ConfigFetch.h"
#include "standins/lib/PlatformHttp.h"

namespace poplartrack {
namespace {

/** Far more than a call takes, even on a busy machine. */
constexpr Duration kTimeout = std::chrono::minutes{ 1 };

/** An entry whose platform answers no read of the configuration until it is
 * told to. */
class EntryServerTest : public testing::Test
{
protected:
  void SetUp() override
  {
    auto served = HttpServer::create(
      Address{ "127.0.0.1", 0 },
      [this](const HttpRequest& aRequest) {
        if (aRequest.path != "/instances" && !this->reading.exchange(true)) {
          this->readStarted.set_value();
          this->released.wait();
        }
        return standins::answerPlatformCall(this->platform, aRequest);
      },
      HttpServerLimits{});
    ASSERT_TRUE(served) << describe(served.error());
    this->web = std::move(served).value();
    ProcessSettings settings;
    settings.name = "entry-1";
    settings.zone = "a";
    settings.region = "north";
    settings.callers = Address{ "127.0.0.1", 0 };
    settings.wire = Address{ "127.0.0.1", 0 };
    settings.platform = this->web->address();
    settings.tuning.placement = false;
    auto made = EntryServer::create(settings);
    ASSERT_TRUE(made) << describe(made.error());
    this->entry = std::move(made).value();
    this->peers = std::move(StreamClient::create({})).value();
  }

  /** Asks the entry for its configuration. */
  CallOutcome fetchConfig(const Address& aEntry)
  {
    std::promise<CallOutcome> ended;
    callPeer<ConfigReply>(*this->peers,
                          aEntry,
                          ConfigFetch{},
                          kTimeout,
                          [&](const TypedResult<ConfigReply>& aResult) {
                            ended.set_value(aResult.outcome);
                          });
    return ended.get_future().get();
  }

  /** Returns whether nobody listens at an address any more. */
  static bool isClosed(const Address& aAddress)
  {
    const Result<OwnedFd> fd = connectTcp(aAddress);
    if (!fd) {
      return true;
    }
    pollfd entry{ fd.value().get(), POLLOUT, 0 };
    ::poll(&entry, 1, -1);
    return connectError(fd.value().get()) != 0;
  }

  SystemClock clock;
  standins::ServedPlatform platform{ clock };
  std::atomic<bool> reading{ false };
  std::promise<void> readStarted;
  std::promise<void> release;
  std::shared_future<void> released{ this->release.get_future() };
  std::unique_ptr<HttpServer> web;
  std::unique_ptr<EntryServer> entry;
  std::unique_ptr<StreamClient> peers;
};

// Guards against a crash of an entry that stops while it reads its
// configuration: peers that ask meanwhile reach a part that is gone.
TEST_F(EntryServerTest, aPeerIsAnsweredWhileTheEntryStops)
{
  const Address address = this->entry->wireAddress();
  this->readStarted.get_future().wait();
  const Address callers = this->entry->callersAddress();
  std::thread stopping{ [this] { this->entry.reset(); } };
  // The entry closes the port for its callers first. It answers peers until the
  // read ends, which on a busy machine may be by its timeout of 2 s.
  constexpr int kCallsAfterwards = 200;
  int answered = 0;
  int afterwards = 0;
  bool stops = false;
  while (afterwards < kCallsAfterwards &&
         this->fetchConfig(address) == CallOutcome::Replied) {
    ++answered;
    stops = stops || isClosed(callers);
    afterwards += stops ? 1 : 0;
  }
  this->release.set_value();
  stopping.join();
  EXPECT_GT(answered, 0);
}

// Guards against a request that comes late on a kept connection, is taken, and
// is cut when the process ends.
TEST_F(EntryServerTest, aRequestAfterThePlannedStopIsRefusedAsNotRun)
{
  constexpr std::string_view kCall = "POST /v1/services/kituo/dispatch HTTP/1.1"
                                     "\r\nHost: entry\r\n"
                                     "Content-Length: 2\r\n\r\n{}";
  this->release.set_value();
  harness::RawSocket caller =
    harness::RawSocket::connectTo(this->entry->callersAddress());
  caller.send(kCall);
  caller.readUntil("}\n");
  this->entry->startDraining();
  caller.send(kCall);
  const std::string before = caller.readUntil("}\n");
  EXPECT_EQ(before.find("\"draining\""), std::string::npos) << before;
  this->entry->stopListening();
  caller.send(kCall);
  const std::string answer = caller.readToEnd();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
  EXPECT_NE(answer.find("Connection: close\r\n"), std::string::npos) << answer;
  EXPECT_NE(answer.find("\"draining\""), std::string::npos) << answer;
  EXPECT_NE(answer.find("\"not run\""), std::string::npos) << answer;
}

} // namespace
} // namespace poplartrack
