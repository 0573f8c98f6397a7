#include "platform/UsersStore.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "standins/lib/UsersStoreStandin.h"
#include "unit/base/ErrorIn.h"
#include "unit/relay/AnsweringReplica.h"
#include "unit/store/ScriptedStore.h"

namespace poplartrack {
namespace {

using standins::UsersStoreStandin;
using std::chrono::milliseconds;

/** Longer than any read takes, also on a busy machine. */
constexpr Duration kTimeout = std::chrono::seconds{ 60 };

const std::string kConfig = R"({"Version":7,"Routes":[],"Services":[]})";

const std::string kReplica =
  R"({"Service":"s","Address":"127.0.0.1:80","Zone":"a","Slots":4,)"
  R"("State":"ready"})";

class UsersStoreTest : public ::testing::Test
{
protected:
  UsersStoreTest()
    : http(std::move(HttpClient::create(HttpClientLimits{})).value())
    , store(*this->http, this->standin.address())
  {
  }

  /** Lists more entries with this prefix than a page holds, none of which is
   * base64. */
  void listUnreadable(const std::string& aPrefix)
  {
    constexpr int kEntries = 1'100;
    for (int i = 0; i < kEntries; ++i) {
      this->standin.putNoBase64("servers", aPrefix + std::to_string(i));
    }
  }

  UsersStoreStandin standin;
  std::unique_ptr<HttpClient> http;
  UsersStore store;
};

TEST_F(UsersStoreTest, WritesRowsOnlyIfTheVersionMatches)
{
  const auto none = this->store.readRow("own", "lease");
  ASSERT_TRUE(none);
  EXPECT_FALSE(none.value());
  const auto first =
    this->store.transact({ TableWrite{ "own", "lease", 0, "me" } });
  ASSERT_TRUE(first);
  const auto again =
    this->store.transact({ TableWrite{ "own", "lease", 0, "other" } });
  ASSERT_FALSE(again);
  EXPECT_EQ(again.error().kind, ErrorKind::Conflict);
  const auto row = this->store.readRow("own", "lease");
  ASSERT_TRUE(row);
  ASSERT_TRUE(row.value());
  EXPECT_EQ(row.value()->value, "me");
  EXPECT_EQ(row.value()->version, first.value().front());
}

TEST_F(UsersStoreTest, ARefusedWriteIsUnavailableAndALostAnswerIsUnknown)
{
  // A lease that takes a refused write for an unknown outcome waits without
  // need. One that takes a lost answer for a refusal, although the write was
  // done, may act without holding the lease.
  this->standin.faults.refuseWith = 503;
  const auto refused =
    this->store.transact({ TableWrite{ "own", "lease", 0, "me" } });
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().kind, ErrorKind::PlatformUnavailable);
  this->standin.faults.refuseWith = 0;
  this->standin.faults.loseAnswers = true;
  const auto lost =
    this->store.transact({ TableWrite{ "own", "lease", 0, "me" } });
  ASSERT_FALSE(lost);
  EXPECT_EQ(lost.error().kind, ErrorKind::PlatformUnknown);
  EXPECT_TRUE(this->store.readRow("own", "lease").value().has_value());
}

TEST_F(UsersStoreTest, ReadsTheConfigurationAndThenItsChanges)
{
  this->standin.put("op", "config", kConfig);
  const auto first = this->store.readConfig(kTimeout);
  ASSERT_TRUE(first);
  ASSERT_TRUE(first.value().config);
  EXPECT_EQ(first.value().config->version, 7U);
  const auto quiet =
    this->store.awaitConfig(first.value().next, milliseconds{ 10 });
  ASSERT_TRUE(quiet);
  EXPECT_FALSE(quiet.value().config);
  EXPECT_GE(quiet.value().asOf, first.value().asOf);
  this->standin.put("op", "config", R"({"Version":9})");
  const auto changed =
    this->store.awaitConfig(quiet.value().next, milliseconds{ 10 });
  ASSERT_TRUE(changed);
  EXPECT_EQ(changed.value().config->version, 9U);
}

TEST_F(UsersStoreTest, AnUnreadableConfigurationIsReportedAndNotTaken)
{
  this->standin.put("op", "config", kConfig);
  const auto first = this->store.readConfig(kTimeout);
  this->standin.put("op", "config", "{broken");
  const auto changed =
    this->store.awaitConfig(first.value().next, milliseconds{ 10 });
  ASSERT_TRUE(changed);
  EXPECT_FALSE(changed.value().config);
  EXPECT_EQ(changed.value().unreadable.size(), 1U);
  this->standin.putNoBase64("op", "config");
  const auto again =
    this->store.awaitConfig(changed.value().next, milliseconds{ 10 });
  ASSERT_TRUE(again);
  EXPECT_EQ(again.value().unreadable.size(), 1U);
  const auto read = this->store.readConfig(kTimeout);
  ASSERT_TRUE(read);
  EXPECT_FALSE(read.value().config);
  EXPECT_EQ(read.value().unreadable.size(), 1U);
}

// Guards against a configuration that is refused for one that came before it.
TEST_F(UsersStoreTest, AReadableConfigurationFollowsAnUnreadableOne)
{
  this->standin.put("op", "config", "{broken");
  const auto broken = this->store.readConfig(kTimeout);
  ASSERT_TRUE(broken);
  this->standin.put("op", "config", kConfig);
  const auto changed =
    this->store.awaitConfig(broken.value().next, milliseconds{ 10 });
  ASSERT_TRUE(changed);
  ASSERT_TRUE(changed.value().config);
  EXPECT_TRUE(changed.value().unreadable.empty());
}

TEST_F(UsersStoreTest, DroppedHistoryIsDistinguishedFromAnOutage)
{
  this->standin.faults.forgetHistory = true;
  const auto dropped = this->store.awaitReplicas(1, milliseconds{ 10 });
  ASSERT_FALSE(dropped);
  EXPECT_EQ(dropped.error().kind, ErrorKind::NotFound);
  this->standin.faults.refuseWith = 429;
  const auto refused = this->store.awaitReplicas(1, milliseconds{ 10 });
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().kind, ErrorKind::PlatformUnavailable);
}

TEST_F(UsersStoreTest, ReadsMoreReplicasThanOnePageHolds)
{
  constexpr int kReplicas = 1'100;
  for (int i = 0; i < kReplicas; ++i) {
    this->standin.put("servers",
                      "i-" + std::to_string(i),
                      R"({"Service":"s","Address":"127.0.0.1:80","Zone":"a",
                          "Slots":4,"State":"ready"})");
  }
  const auto poll = this->store.readReplicas(kTimeout);
  ASSERT_TRUE(poll);
  EXPECT_TRUE(poll.value().fullSnapshot);
  EXPECT_EQ(poll.value().present.size(), 1'100U);
  this->standin.drop("servers", "i-5");
  const auto change =
    this->store.awaitReplicas(poll.value().next, milliseconds{ 10 });
  ASSERT_TRUE(change);
  EXPECT_EQ(change.value().removed, std::vector<std::string>{ "i-5" });
}

TEST_F(UsersStoreTest, AnAnswerCutWithinItsHeadStoresAndReadsNothing)
{
  // Guards against an object that counts as stored, or is read as empty.
  std::string answer = "HTTP/1.1 200 OK\r\nStore-Era: 1";
  relaytest::AnsweringReplica cut{ [&answer](const std::string&) {
    return answer;
  } };
  UsersStore cutStore{ *this->http, cut.address() };
  EXPECT_EQ(errorIn(cutStore.putObject("name", "bytes")),
            ErrorKind::PlatformUnknown);
  EXPECT_EQ(errorIn(cutStore.getObject("name")),
            ErrorKind::PlatformUnavailable);
  answer = "HTTP/1.1 412 Precondition Failed\r\n";
  EXPECT_EQ(errorIn(cutStore.transact({ TableWrite{ "own", "k", 0, "v" } })),
            ErrorKind::PlatformUnknown);
  answer = "HTTP/1.1 410 Gone\r\n";
  EXPECT_EQ(errorIn(cutStore.awaitReplicas(1, milliseconds{ 10 })),
            ErrorKind::PlatformUnavailable);
}

TEST_F(UsersStoreTest, AnObjectWithoutALengthIsNotTakenForAWholeOne)
{
  // Guards against half an object, whose sender stopped, taken for a whole.
  relaytest::AnsweringReplica unframed{ [](const std::string&) {
    return std::string{ "HTTP/1.1 200 OK\r\n\r\nhalf" };
  } };
  UsersStore unframedStore{ *this->http, unframed.address() };
  EXPECT_EQ(errorIn(unframedStore.getObject("name")),
            ErrorKind::PlatformUnavailable);
}

// Guards against a list that ends at a page without a readable entry.
TEST_F(UsersStoreTest, AFirstPageWithoutAReadableEntryDoesNotEndTheList)
{
  this->listUnreadable("a-");
  this->standin.put("servers", "b", kReplica);
  const auto poll = this->store.readReplicas(kTimeout);
  ASSERT_TRUE(poll);
  EXPECT_EQ(poll.value().present.size(), 1U);
  EXPECT_EQ(poll.value().unreadable.size(), 1'100U);
}

// Guards against a read that asks for the same page without end.
TEST_F(UsersStoreTest, ALaterPageWithoutAReadableEntryIsReadOnce)
{
  this->standin.put("servers", "a", kReplica);
  this->listUnreadable("b-");
  this->standin.put("servers", "c", kReplica);
  const auto poll = this->store.readReplicas(kTimeout);
  ASSERT_TRUE(poll);
  EXPECT_EQ(poll.value().present.size(), 2U);
  EXPECT_EQ(poll.value().calls, 3U);
}

// Guards against one odd entry that makes the others unreadable.
TEST_F(UsersStoreTest, AnOddEntryAffectsNoOther)
{
  constexpr std::size_t kDepth = 100'000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  this->standin.put("servers", "good", kReplica);
  const auto before = this->store.readReplicas(kTimeout);
  ASSERT_TRUE(before);
  this->standin.put("servers", "deep", R"({"Service":)" + deep + "}");
  this->standin.put("servers", "deep-only", deep);
  this->standin.put("servers", "open", std::string(kDepth, '['));
  for (const char* number : { "1e999",
                              "1e400",
                              "18446744073709551616",
                              "9223372036854775807",
                              "-1",
                              "1.5" }) {
    std::string text = kReplica;
    text.back() = ',';
    this->standin.put("servers",
                      std::string{ "number " } + number,
                      text + R"("born":)" + number + "}");
  }
  for (const char* port :
       { "0", "65536", "99999999999", "+80", " 80", "80 ", "-1", "" }) {
    nlohmann::json odd = nlohmann::json::parse(kReplica);
    odd["Address"] = std::string{ "127.0.0.1:" } + port;
    this->standin.put("servers", std::string{ "port " } + port, odd.dump());
  }
  this->standin.put("servers", "\x01\n", kReplica);
  this->standin.put("servers", "\"\\", kReplica);
  const auto whole = this->store.readReplicas(kTimeout);
  ASSERT_TRUE(whole);
  EXPECT_EQ(whole.value().present.size(), 2U);
  EXPECT_EQ(whole.value().unreadable.size(), 18U);
  const auto change =
    this->store.awaitReplicas(before.value().next, milliseconds{ 10 });
  ASSERT_TRUE(change);
  EXPECT_EQ(change.value().present.size(), 1U);
  EXPECT_EQ(change.value().unreadable.size(), 18U);
  this->standin.put("servers", "deep", kReplica);
  const auto healed =
    this->store.awaitReplicas(change.value().next, milliseconds{ 10 });
  ASSERT_TRUE(healed);
  EXPECT_EQ(healed.value().present.size(), 1U);
}

// Guards against one key that is no UTF-8 and makes its page unreadable.
TEST_F(UsersStoreTest, AKeyThatIsNoUtf8AffectsNoOtherRow)
{
  this->standin.put("servers", "a", kReplica);
  const auto before = this->store.readReplicas(kTimeout);
  ASSERT_TRUE(before);
  for (const char* key : { "a\xFF", "b\xC3(", "\xED\xA0\x80", "\x80" }) {
    this->standin.put("servers", key, kReplica);
  }
  this->standin.put("servers", "c", kReplica);
  const auto whole = this->store.readReplicas(kTimeout);
  ASSERT_TRUE(whole);
  EXPECT_EQ(whole.value().present.size(), 2U);
  EXPECT_EQ(whole.value().unreadable.size(), 4U);
  this->standin.drop("servers", "a\xFF");
  const auto change =
    this->store.awaitReplicas(before.value().next, milliseconds{ 10 });
  ASSERT_TRUE(change);
  EXPECT_EQ(change.value().present.size(), 1U);
  EXPECT_EQ(change.value().unreadable.size(), 3U);
  EXPECT_EQ(change.value().removed, std::vector<std::string>{ "a\xFF" });
}

// Guards against a key that JSON can escape and no UTF-8 can encode.
TEST_F(UsersStoreTest, AnEscapedSurrogateInAKeyAffectsNoOtherRow)
{
  const std::string row = R"("Value":"e30=","Ver":1})";
  ScriptedStore page{ { ScriptedStore::answer(
    "200 OK",
    R"({"Ver":1,"Rows":[{"Key":"a\ud800",)" + row + R"(,{"Key":"b",)" + row +
      "]}") } };
  const auto client = std::move(HttpClient::create(HttpClientLimits{})).value();
  UsersStore pageStore{ *client, page.address() };
  const auto rows = pageStore.scanRows("own", "", "", 10);
  ASSERT_TRUE(rows);
  ASSERT_EQ(rows.value().size(), 2U);
  EXPECT_EQ(rows.value().back().key, "b");
}

// Guards against rows left out or read twice behind a key that is no UTF-8.
TEST_F(UsersStoreTest, AReadContinuesBehindAKeyThatIsNoUtf8)
{
  constexpr int kBefore = 499;
  for (int i = 0; i < kBefore; ++i) {
    this->standin.put("servers", "a-" + std::to_string(i), kReplica);
  }
  this->standin.put("servers", "b\xFF", kReplica);
  this->standin.put("servers", "b\xFF\xFE", kReplica);
  this->standin.put("servers", "c", kReplica);
  const auto poll = this->store.readReplicas(kTimeout);
  ASSERT_TRUE(poll);
  EXPECT_EQ(poll.value().calls, 2U);
  EXPECT_EQ(poll.value().present.size(), kBefore + 1U);
  EXPECT_EQ(poll.value().unreadable.size(), 2U);
}

// Guards against a configuration that is not followed for a row beside it.
TEST_F(UsersStoreTest, AKeyThatIsNoUtf8DoesNotHideTheConfiguration)
{
  this->standin.put("op", "config", kConfig);
  const auto first = this->store.readConfig(kTimeout);
  ASSERT_TRUE(first);
  this->standin.put("op", "\xFF", "{}");
  this->standin.put("op", "config", R"({"Version":9})");
  const auto changed =
    this->store.awaitConfig(first.value().next, milliseconds{ 10 });
  ASSERT_TRUE(changed);
  ASSERT_TRUE(changed.value().config);
  EXPECT_EQ(changed.value().config->version, 9U);
}

} // namespace
} // namespace poplartrack
