#include "poplartrack/entry/EntryServer.h"

#include <atomic>
#include <future>
#include <thread>

#include <gtest/gtest.h>

#include "poplartrack/wire/ConfigFetch.h"
#include "standins/lib/PlatformHttp.h"

namespace poplartrack {
namespace {

constexpr Duration kTimeout = std::chrono::seconds{ 5 };
constexpr Duration kCallPause = std::chrono::milliseconds{ 2 };

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
  std::thread stopping{ [this] { this->entry.reset(); } };
  constexpr int kCalls = 200;
  int answered = 0;
  while (answered < kCalls &&
         this->fetchConfig(address) == CallOutcome::Replied) {
    ++answered;
    std::this_thread::sleep_for(kCallPause);
  }
  this->release.set_value();
  stopping.join();
  EXPECT_GT(answered, 0);
}

} // namespace
} // namespace poplartrack
