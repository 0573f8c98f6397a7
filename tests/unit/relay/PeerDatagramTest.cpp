#include "relay/PeerDatagram.h"

#include <algorithm>
#include <limits>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow{ std::chrono::hours{ 1 } };

PeerStatus
statusAt(std::int64_t aSentAt)
{
  PeerStatus status;
  status.incarnation = 5;
  status.zone = "b";
  status.sentAt = aSentAt;
  status.loads.push_back(LoadRow{ "one", 1, 2, 3, 4 });
  return status;
}

Address
sender(std::uint16_t aPort)
{
  return { "10.0.0.1", aPort };
}

/** Returns the datagram of a status message with this section. */
std::string
datagramOf(const PeerStatus& aStatus, std::string_view aSection)
{
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, aStatus);
  msgpack::pack(bytes, PeerEcho{ 7, 8 });
  bytes.write(aSection.data(), aSection.size());
  return { bytes.data(), bytes.size() };
}

PeerMessage
messageOf(const std::string& aDatagram)
{
  const auto parsed = parsePeerDatagram(aDatagram);
  EXPECT_TRUE(parsed && std::holds_alternative<PeerMessage>(*parsed));
  return parsed ? std::get<PeerMessage>(*parsed) : PeerMessage{};
}

TEST(PeerDatagram, CarriesForwardedMessages)
{
  StatusQueue queue;
  queue.push(sender(1), statusAt(10), kNow - milliseconds{ 30 });
  queue.push(sender(2), statusAt(20), kNow);
  const PeerMessage message =
    messageOf(datagramOf(statusAt(99), packForwarded(queue, kNow)));
  EXPECT_EQ(message.status.sentAt, 99);
  EXPECT_EQ(message.echo.incarnation, 7U);
  EXPECT_FALSE(message.forward.wanted);
  ASSERT_EQ(message.forward.rows.size(), 2U);
  EXPECT_EQ(message.forward.rows[0].sender, "10.0.0.1:1");
  EXPECT_EQ(message.forward.rows[0].age, 30'000);
  EXPECT_EQ(message.forward.rows[0].status.sentAt, 10);
  EXPECT_EQ(message.forward.rows[0].status.loads.at(0).replica, "one");
  EXPECT_EQ(queue.size(), 0U);
}

TEST(PeerDatagram, AsksForForwarding)
{
  const PeerMessage message =
    messageOf(datagramOf(statusAt(1), packForwardRequest()));
  EXPECT_TRUE(message.forward.wanted);
  EXPECT_TRUE(message.forward.rows.empty());
}

TEST(PeerDatagram, ARelayWithoutForwardingIsUnderstood)
{
  // A rolling restart: the other relay neither has the section nor says that it
  // forwards.
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, statusAt(3));
  // The status is an array whose last seven fields the older version does not
  // have. Each of them takes one byte here.
  std::string status{ bytes.data(), bytes.size() };
  ASSERT_EQ(status[2], 30);
  status[2] = 23;
  status.resize(status.size() - 7);
  msgpack::sbuffer echo;
  msgpack::pack(echo, PeerEcho{ 7, 8 });
  const PeerMessage message =
    messageOf(status + std::string{ echo.data(), echo.size() });
  EXPECT_EQ(message.status.sentAt, 3);
  EXPECT_FALSE(message.status.forwards);
  EXPECT_TRUE(message.status.announcedDrains.empty());
  EXPECT_TRUE(message.status.accounts.empty());
  EXPECT_TRUE(message.status.releases.empty());
  EXPECT_FALSE(message.forward.wanted);
}

TEST(PeerDatagram, AnAccountRowOfAnOlderVersionIsUnderstood)
{
  msgpack::zone zone;
  const msgpack::object older{ std::tuple{ "m", 3, 4, 5 }, zone };
  EXPECT_EQ(older.as<AccountRow>().waiting, 5U);
  EXPECT_EQ(older.as<AccountRow>().usual, 0U);
}

/** Guards against a faulty relay whose rows take all time of the others. */
TEST(PeerDatagram, RowsBeyondTheBoundsAreDropped)
{
  PeerStatus status = statusAt(1);
  status.accounts.resize(600);
  status.returns.resize(500);
  const PeerMessage message = messageOf(datagramOf(status, {}));
  EXPECT_EQ(message.status.accounts.size(), kMaxAccountRows);
  EXPECT_EQ(message.status.returns.size(), kMaxReturnRows);
}

TEST(PeerDatagram, ACutDatagramIsRejected)
{
  StatusQueue queue;
  queue.push(sender(1), statusAt(10), kNow);
  const std::string whole =
    datagramOf(statusAt(99), packForwarded(queue, kNow));
  const std::size_t withoutSection = datagramOf(statusAt(99), {}).size();
  for (std::size_t size = 0; size < whole.size(); ++size) {
    if (size != withoutSection) {
      EXPECT_FALSE(parsePeerDatagram({ whole.data(), size })) << size;
    }
  }
}

// Guards against a datagram whose nesting or lengths end the relays it reaches.
TEST(PeerDatagram, DeepNestingAndLengthsWithoutContentAreRejected)
{
  EXPECT_FALSE(parsePeerDatagram(std::string(kMaxDatagramBytes, '\x91')));
  EXPECT_FALSE(parsePeerDatagram("\xdd\xff\xff\xff\xff"));
  EXPECT_FALSE(parsePeerDatagram("\x91\xdf\xff\xff\xff\xff"));
  EXPECT_FALSE(parsePeerDatagram("\x91\xdb\xff\xff\xff\xff"));
}

TEST(PeerDatagram, MessagesThatDoNotFitAreForwardedLater)
{
  StatusQueue queue;
  PeerStatus large = statusAt(1);
  large.unreachable.assign(100, std::string(60, 'x'));
  for (std::uint16_t port = 1; port <= 6; ++port) {
    queue.push(sender(port), large, kNow - milliseconds{ 10 * port });
  }
  const std::string first = packForwarded(queue, kNow);
  EXPECT_LE(first.size(), kMaxForwardedBytes + 16);
  EXPECT_EQ(queue.size(), 4U);
  // Those that have waited longest go first.
  const PeerMessage message = messageOf(datagramOf(statusAt(99), first));
  ASSERT_EQ(message.forward.rows.size(), 2U);
  EXPECT_EQ(message.forward.rows[0].sender, "10.0.0.1:6");
  EXPECT_FALSE(packForwarded(queue, kNow).empty());
  EXPECT_FALSE(packForwarded(queue, kNow).empty());
  EXPECT_EQ(queue.size(), 0U);
}

TEST(PeerDatagram, AnOutdatedMessageIsNotForwarded)
{
  StatusQueue queue;
  queue.push(sender(1), statusAt(1), kNow - kMaxForwardAge - milliseconds{ 1 });
  EXPECT_EQ(packForwarded(queue, kNow), "");
  EXPECT_EQ(queue.size(), 0U);
}

TEST(ForwardedStatus, DoesNotBecomeYoungerOnItsWay)
{
  ForwardedStatus row{ "10.0.0.1:1", 200'000, statusAt(1) };
  row.status.configAge = 1'000;
  row.status.quarantine.push_back(QuarantineRow{ {}, 5 });
  row.status.crashes.push_back(CrashRow{});
  row.status.limits.push_back(
    LimitRow{ "one", 2, std::numeric_limits<std::int64_t>::max() });
  const auto forward = checkForwarded(row, "a");
  ASSERT_TRUE(forward);
  EXPECT_EQ(forward->sender, sender(1));
  EXPECT_EQ(forward->status.configAge, 201'000);
  EXPECT_EQ(forward->status.quarantine[0].age, 200'005);
  EXPECT_EQ(forward->status.crashes[0].age, 200'000);
  EXPECT_EQ(forward->status.limits[0].age,
            std::numeric_limits<std::int64_t>::max());
}

/** Guards against a caller that is expected later than it returns. */
TEST(ForwardedStatus, TimeOnItsWayShortensTheTimeToAReturn)
{
  PeerStatus status = statusAt(1);
  status.returns = { { 7, 900 }, { 8, 20 } };
  const auto received = checkForwarded({ "10.0.0.1:4", 50'000, status }, "a");
  ASSERT_TRUE(received);
  EXPECT_EQ(received->status.returns[0].dueMs, 850U);
  EXPECT_EQ(received->status.returns[1].dueMs, 0U);
}

TEST(ForwardedStatus, WithoutAProofItGetsNone)
{
  ForwardedStatus row{ "10.0.0.1:1", 200'000, statusAt(1) };
  row.status.configAge = -1;
  EXPECT_EQ(checkForwarded(row, "a")->status.configAge, -1);
}

TEST(ForwardedStatus, InvalidOnesAreDropped)
{
  const ForwardedStatus valid{ "10.0.0.1:1", 0, statusAt(1) };
  EXPECT_TRUE(checkForwarded(valid, "a"));
  EXPECT_FALSE(checkForwarded(valid, "b"));
  for (const auto& change : std::vector<void (*)(ForwardedStatus&)>{
         [](ForwardedStatus& aRow) { aRow.sender = "10.0.0.1"; },
         [](ForwardedStatus& aRow) { aRow.sender = "10.0.0.1:0"; },
         [](ForwardedStatus& aRow) { aRow.age = -1; },
         [](ForwardedStatus& aRow) { aRow.age = 2'000'001; },
         [](ForwardedStatus& aRow) { aRow.status.format = 11; } }) {
    ForwardedStatus row = valid;
    change(row);
    EXPECT_FALSE(checkForwarded(row, "a"));
  }
}

RC_GTEST_PROP(ForwardedStatus, TheNewestMessageRemains, ())
{
  // Messages of one sender arrive by two forwarders, each late, twice or not at
  // all, and directly as well.
  const auto arrivals = *rc::gen::nonEmpty(
    rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 20)));
  PeerEcho known{ 5, 0 };
  for (const int sentAt : arrivals) {
    if (isNewer(known, Duration{ 0 }, statusAt(sentAt))) {
      known.sentAt = sentAt;
    }
  }
  RC_ASSERT(known.sentAt ==
            *std::max_element(arrivals.begin(), arrivals.end()));
}

TEST(ForwardedStatus, AMessageFromBeforeARestartIsNotNewer)
{
  const PeerEcho restarted{ 6, 1 };
  EXPECT_FALSE(isNewer(restarted, milliseconds{ 300 }, statusAt(1'000)));
  EXPECT_TRUE(isNewer(restarted, milliseconds{ 1'200 }, statusAt(1'000)));
}

TEST(ForwardQueue, KeepsTheNewestMessageOfASender)
{
  StatusQueue queue;
  queue.push(sender(1), statusAt(2), kNow);
  queue.push(sender(1), statusAt(1), kNow);
  const auto taken = queue.take();
  ASSERT_EQ(taken.size(), 1U);
  EXPECT_EQ(taken[0].status.sentAt, 2);
}

TEST(ForwardQueue, DropsWhatTheOtherForwarderHasSent)
{
  StatusQueue queue;
  queue.push(sender(1), statusAt(2), kNow);
  queue.push(sender(2), statusAt(2), kNow);
  queue.onForwarded(sender(1), statusAt(2));
  queue.onForwarded(sender(2), statusAt(1));
  const auto taken = queue.take();
  ASSERT_EQ(taken.size(), 1U);
  EXPECT_EQ(taken[0].sender, sender(2));
}

} // namespace
} // namespace poplartrack
