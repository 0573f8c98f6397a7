#include "poplartrack/fleet/WaitQueue.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;

class WaitQueueTest : public ::testing::Test
{
protected:
  static TimePoint in(Duration aTime) { return TimePoint{} + aTime; }
  /** Returns a request that arrived at aArrived and has 250 ms to be sent on
   * time. */
  static Waiter waiter(std::uint64_t aRequest,
                       Duration aArrived,
                       double aTokens = 1'000)
  {
    Waiter waiter;
    waiter.request = aRequest;
    waiter.service = "model";
    waiter.tokens = aTokens;
    waiter.latestOnTimeStart = in(aArrived + milliseconds{ 250 });
    return waiter;
  }

  WaitQueue queue;
};

TEST_F(WaitQueueTest, RequestsThatCanBeOnTimeGoFirst)
{
  // Memory is short for a while. The first two requests have waited so long
  // that their answers are late whenever they start. The two others can still
  // be answered on time and get the memory that becomes free now.
  for (const auto& [request, arrived] :
       { std::pair{ 1U, milliseconds{ 0 } },
         std::pair{ 2U, milliseconds{ 100 } },
         std::pair{ 3U, milliseconds{ 400 } },
         std::pair{ 4U, milliseconds{ 450 } } }) {
    this->queue.add(waiter(request, arrived));
  }
  EXPECT_EQ(this->queue.order(in(milliseconds{ 500 })),
            (std::vector<std::uint64_t>{ 3, 4, 1, 2 }));
}

TEST_F(WaitQueueTest, StartedStreamsAndUrgentRequestsGoBeforeOthers)
{
  this->queue.add(waiter(1, milliseconds{ 0 }));
  Waiter urgent = waiter(2, milliseconds{ 0 });
  urgent.urgency = -1;
  this->queue.add(urgent);
  Waiter started = waiter(3, milliseconds{ 0 });
  started.started = true;
  started.urgency = 9;
  this->queue.add(started);
  EXPECT_EQ(this->queue.order(in(milliseconds{ 1 })),
            (std::vector<std::uint64_t>{ 3, 2, 1 }));
  this->queue.remove(3);
  EXPECT_EQ(this->queue.size(), 2U);
}

TEST_F(WaitQueueTest, RequestsBeyondTheirAccountsShareGoLast)
{
  // Guards against an account that gets the capacity of others because its
  // requests are urgent, or have waited for longer.
  Waiter beyond = waiter(1, milliseconds{ 0 });
  beyond.beyondShare = true;
  this->queue.add(beyond);
  Waiter within = waiter(2, milliseconds{ 0 });
  within.urgency = 5;
  this->queue.add(within);
  Waiter started = waiter(3, milliseconds{ 0 });
  started.started = true;
  this->queue.add(started);
  EXPECT_EQ(this->queue.order(in(milliseconds{ 1 })),
            (std::vector<std::uint64_t>{ 3, 2, 1 }));
  beyond.beyondShare = false;
  this->queue.add(beyond);
  EXPECT_EQ(this->queue.order(in(milliseconds{ 1 })),
            (std::vector<std::uint64_t>{ 3, 1, 2 }));
}

TEST_F(WaitQueueTest, TheLeastUrgentAndNewestIsTheLast)
{
  // Started streams must never be refused: their callers lose most.
  for (const auto& [request, urgency] : { std::pair{ 1U, 2 },
                                          std::pair{ 2U, 2 },
                                          std::pair{ 3U, 0 },
                                          std::pair{ 4U, 9 } }) {
    Waiter added = waiter(request, milliseconds{ 0 });
    added.urgency = urgency;
    added.started = request == 4;
    this->queue.add(added);
  }
  EXPECT_EQ(this->queue.lastOf("model"), 2U);
  EXPECT_EQ(this->queue.lastOf("other"), std::nullopt);
  EXPECT_EQ(this->queue.lengthOf("model"), 3U);
  EXPECT_EQ(this->queue.lengths(),
            (std::map<std::string, std::size_t>{ { "model", 3 } }));
}

/** Guards against an account that asks for no more than usual and whose callers
 * are refused because another account fills the queue with urgent requests. */
TEST_F(WaitQueueTest, RequestsBeyondTheirAccountsShareAreRefusedFirst)
{
  constexpr std::uint64_t kBeyond = 48;
  for (std::uint64_t request = 1; request <= kBeyond; ++request) {
    Waiter beyond = waiter(request, milliseconds{ 0 });
    beyond.beyondShare = true;
    beyond.urgency = 1;
    this->queue.add(beyond);
  }
  Waiter within = waiter(kBeyond + 1, milliseconds{ 0 });
  within.urgency = 2;
  this->queue.add(within);
  EXPECT_EQ(this->queue.order(in(milliseconds{ 1 })).front(), kBeyond + 1);
  EXPECT_EQ(this->queue.lastOf("model"), kBeyond);
  // A returned caller gives up when it is refused again.
  Waiter returned = waiter(kBeyond + 2, milliseconds{ 0 });
  returned.returned = true;
  returned.beyondShare = true;
  this->queue.add(returned);
  for (std::uint64_t request = kBeyond; request >= 1; --request) {
    EXPECT_EQ(this->queue.lastOf("model"), request);
    this->queue.remove(request);
  }
  EXPECT_EQ(this->queue.lastOf("model"), kBeyond + 1);
}

/** Guards against a caller that returned when told and is refused again behind
 * new requests: at first those of its urgency, then all of them. */
TEST_F(WaitQueueTest, ReturnsGoBeforeNewRequests)
{
  Waiter urgent = waiter(1, milliseconds{ 0 });
  urgent.urgency = -1;
  this->queue.add(urgent);
  this->queue.add(waiter(2, milliseconds{ 0 }));
  Waiter returned = waiter(3, milliseconds{ 0 });
  returned.returned = true;
  returned.lastChanceFrom = in(milliseconds{ 1'200 });
  this->queue.add(returned);
  EXPECT_EQ(this->queue.order(in(milliseconds{ 1'199 })),
            (std::vector<std::uint64_t>{ 1, 3, 2 }));
  EXPECT_EQ(this->queue.order(in(milliseconds{ 1'200 })),
            (std::vector<std::uint64_t>{ 3, 1, 2 }));
}

TEST_F(WaitQueueTest, AddingAgainKeepsThePosition)
{
  this->queue.add(waiter(1, milliseconds{ 0 }));
  this->queue.add(waiter(2, milliseconds{ 0 }));
  this->queue.add(waiter(1, milliseconds{ 0 }));
  EXPECT_EQ(this->queue.order(in(milliseconds{ 1 })),
            (std::vector<std::uint64_t>{ 1, 2 }));
}

TEST_F(WaitQueueTest, SixtyWaitingRequestsCostOneSearchPerRound)
{
  // A zone is lost and sixty requests wait for memory. If each of them searched
  // for a path by itself every 25 ms, the relay would have no time left for the
  // answers in progress.
  for (std::uint64_t request = 1; request <= 60; ++request) {
    this->queue.add(waiter(request, milliseconds{ 0 }));
  }
  for (int round = 0; round < 3; ++round) {
    this->queue.beginRound();
    int searches = 0;
    for (std::uint64_t request = 1; request <= 60; ++request) {
      const Waiter one = waiter(request, milliseconds{ 0 });
      if (!this->queue.knownFailure(one)) {
        ++searches;
        this->queue.onNoPath(one, ErrorKind::Overloaded);
      }
    }
    EXPECT_EQ(searches, 1);
  }
}

TEST_F(WaitQueueTest, ASmallerRequestIsTriedWhereALargerOneFoundNoPath)
{
  this->queue.onNoPath(waiter(1, milliseconds{ 0 }, 4'000),
                       ErrorKind::Overloaded);
  EXPECT_FALSE(this->queue.knownFailure(waiter(2, milliseconds{ 0 }, 800)));
  EXPECT_TRUE(this->queue.knownFailure(waiter(3, milliseconds{ 0 }, 5'000)));
  Waiter other = waiter(4, milliseconds{ 0 }, 5'000);
  other.service = "other model";
  EXPECT_FALSE(this->queue.knownFailure(other));
  // A started stream may reserve more memory, so the failed searches of the
  // others say nothing about it.
  Waiter started = waiter(5, milliseconds{ 0 }, 5'000);
  started.started = true;
  EXPECT_FALSE(this->queue.knownFailure(started));
}

/** Guards against a request that is refused without a search, although a zone
 * that an urgent one has no time to cross to has capacity for it. */
TEST_F(WaitQueueTest, ARequestThatMayCrossMoreZonesIsTriedAfterAnUrgentOne)
{
  Waiter urgent = waiter(1, milliseconds{ 0 });
  urgent.maxCrossings = 0;
  Waiter patient = waiter(2, milliseconds{ 0 });
  patient.maxCrossings = 3;
  this->queue.onNoPath(urgent, ErrorKind::Overloaded);
  EXPECT_FALSE(this->queue.knownFailure(patient));
  EXPECT_EQ(this->queue.knownFailure(urgent), ErrorKind::Overloaded);
  this->queue.onNoPath(patient, ErrorKind::Overloaded);
  Waiter between = waiter(3, milliseconds{ 0 });
  between.maxCrossings = 1;
  EXPECT_EQ(this->queue.knownFailure(between), ErrorKind::Overloaded);
}

/** Guards against a request that waits for memory although no live replica
 * holds a layer, which a search in the same round has shown. */
TEST_F(WaitQueueTest, AMissingLayerIsTheReasonForLaterRequestsToo)
{
  const Waiter first = waiter(1, milliseconds{ 0 });
  this->queue.onNoPath(first, ErrorKind::NoRoute);
  EXPECT_EQ(this->queue.knownFailure(waiter(2, milliseconds{ 0 })),
            ErrorKind::NoRoute);
  this->queue.beginRound();
  EXPECT_FALSE(this->queue.knownFailure(first));
}

} // namespace
} // namespace poplartrack
