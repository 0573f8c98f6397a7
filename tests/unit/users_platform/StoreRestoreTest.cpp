// A store that is restored from an older copy: what it acknowledged since is
// gone, and its versions are given out again.

#include <chrono>
#include <memory>

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include "platform/UsersStore.h"
#include "poplartrack/relay/FleetControl.h"
#include "standins/lib/UsersStoreStandin.h"
#include "unit/relay/IgnoreOrder.h"
#include "unit/relay/WaitFor.h"

namespace poplartrack {
namespace {

using relaytest::waitFor;
using standins::UsersStoreStandin;

std::string
entry(const std::string& aState)
{
  return R"({"Service":"plain","Address":"127.0.0.1:9","Zone":"a",)"
         R"("Version":"1","Slots":4,"State":")" +
         aState + R"(","Sequence":1,"born":1000})";
}

class StoreRestoreTest : public ::testing::Test
{
protected:
  StoreRestoreTest()
    : logFd(::open("/dev/null", O_WRONLY))
    , http(std::move(HttpClient::create(HttpClientLimits{})).value())
    , store(*this->http, this->standin.address())
    , shared(logFd)
  {
    this->standin.faults.longPolls = true;
    this->standin.put(
      "op", "config", R"({"Version":7,"Routes":[],"Services":[]})");
    this->standin.put("servers", "one", entry("ready"));
    this->standin.put("servers", "two", entry("ready"));
    this->settings.name = "relay-1";
    this->settings.region = "r";
    this->settings.zone = "a";
    this->settings.peers = { "127.0.0.1", 7 };
  }
  ~StoreRestoreTest() override
  {
    this->control.reset();
    ::close(this->logFd);
  }
  StoreRestoreTest(const StoreRestoreTest&) = delete;
  StoreRestoreTest& operator=(const StoreRestoreTest&) = delete;

  void start()
  {
    this->control = std::make_unique<FleetControl<UsersStore>>(
      this->settings, this->shared, this->store, relaytest::ignoreOrder);
  }
  /** Waits until the relay lists this many replicas. */
  bool waitUntilListed(std::size_t aCount)
  {
    return waitFor([this, aCount] {
      return this->shared.replicas.read()->replicas.size() == aCount;
    });
  }
  /** Returns whether the relay lists the replica as one that takes work. */
  bool takesWork(const std::string& aName)
  {
    const auto view = this->shared.replicas.read();
    for (const Replica& replica : view->replicas) {
      if (replica.registeredAs == aName) {
        return !replica.draining;
      }
    }
    return false;
  }
  /** Raises the version of the store by this much. */
  void writeOtherRows(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      this->standin.put("other", "row", std::to_string(i));
    }
  }

  int logFd;
  UsersStoreStandin standin;
  std::unique_ptr<HttpClient> http;
  UsersStore store;
  RelayShared shared;
  RelaySettings settings;
  std::unique_ptr<FleetControl<UsersStore>> control;
};

TEST_F(StoreRestoreTest, ADrainIsListedThoughTheVersionOfTheStoreWentBack)
{
  this->standin.saveCopy();
  this->writeOtherRows(1'000);
  this->standin.put("servers", "three", entry("ready"));
  this->start();
  ASSERT_TRUE(this->waitUntilListed(3));
  this->standin.restoreCopy();
  this->standin.put("servers", "one", entry("draining"));
  EXPECT_TRUE(waitFor([this] { return !this->takesWork("one"); }));
  EXPECT_TRUE(this->takesWork("two"));
}

TEST_F(StoreRestoreTest, AReplicaThatDrainedBeforeItStaysDraining)
{
  this->start();
  ASSERT_TRUE(this->waitUntilListed(2));
  this->standin.saveCopy();
  this->standin.put("servers", "one", entry("draining"));
  ASSERT_TRUE(waitFor([this] { return !this->takesWork("one"); }));
  // The relay reads whole lists, and so many writes follow that the version
  // passes the one of before.
  this->standin.faults.forgetHistory = true;
  this->standin.restoreCopy();
  this->writeOtherRows(10);
  this->standin.put("servers", "three", entry("ready"));
  ASSERT_TRUE(this->waitUntilListed(3));
  EXPECT_FALSE(this->takesWork("one"));
  EXPECT_TRUE(this->takesWork("two"));
}

TEST_F(StoreRestoreTest, AReplicaThatHadLeftBeforeItGetsNoNewWork)
{
  this->start();
  ASSERT_TRUE(this->waitUntilListed(2));
  this->standin.saveCopy();
  this->standin.drop("servers", "one");
  ASSERT_TRUE(this->waitUntilListed(1));
  this->standin.faults.forgetHistory = true;
  this->standin.restoreCopy();
  this->writeOtherRows(10);
  this->standin.put("servers", "three", entry("ready"));
  ASSERT_TRUE(waitFor([this] { return this->takesWork("three"); }));
  EXPECT_FALSE(this->takesWork("one"));
  EXPECT_TRUE(this->takesWork("two"));
}

} // namespace
} // namespace poplartrack
