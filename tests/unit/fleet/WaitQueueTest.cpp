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
      if (this->queue.mayFindPath(one)) {
        ++searches;
        this->queue.onNoPath(one);
      }
    }
    EXPECT_EQ(searches, 1);
  }
}

TEST_F(WaitQueueTest, ASmallerRequestIsTriedWhereALargerOneFoundNoPath)
{
  this->queue.onNoPath(waiter(1, milliseconds{ 0 }, 4'000));
  EXPECT_TRUE(this->queue.mayFindPath(waiter(2, milliseconds{ 0 }, 800)));
  EXPECT_FALSE(this->queue.mayFindPath(waiter(3, milliseconds{ 0 }, 5'000)));
  Waiter other = waiter(4, milliseconds{ 0 }, 5'000);
  other.service = "other model";
  EXPECT_TRUE(this->queue.mayFindPath(other));
  // A started stream may reserve more memory, so the failed searches of the
  // others say nothing about it.
  Waiter started = waiter(5, milliseconds{ 0 }, 5'000);
  started.started = true;
  EXPECT_TRUE(this->queue.mayFindPath(started));
}

} // namespace
} // namespace poplartrack
