#include "poplartrack/fleet/PaceGate.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{ std::chrono::hours{ 1 } };

class PaceGateTest : public ::testing::Test
{
protected:
  static PaceRequest request(int aUrgency, Duration aObjective)
  {
    PaceRequest request;
    request.service = "model";
    request.route = aUrgency == 0 ? "chat" : "batch";
    request.urgency = aUrgency;
    request.promptTokens = 1'000;
    request.objective = aObjective;
    request.maxPause = milliseconds{ 250 };
    request.maxWait = milliseconds{ 1'000 };
    return request;
  }
  /** Returns the forecast of a path with other requests whose prefill takes
   * aQueued; that of the request takes aOwn. */
  static PaceForecast forecast(Duration aQueued, Duration aOwn)
  {
    PaceForecast forecast;
    forecast.queued = aQueued;
    forecast.firstEvent = aQueued + aOwn;
    forecast.idleFirstEvent = aOwn;
    forecast.pause = milliseconds{ 50 };
    forecast.idlePause = milliseconds{ 40 };
    return forecast;
  }
  PaceCause check(const PaceRequest& aRequest,
                  const PaceForecast& aForecast) const
  {
    return this->gate.check(aRequest, aForecast, kNow);
  }

  const PaceRequest urgent = request(0, milliseconds{ 500 });
  const PaceRequest lessUrgent = request(1, milliseconds{ 1'200 });
  PaceGate gate;
};

TEST_F(PaceGateTest, SendsWhileForecastsAreWithinTheObjectives)
{
  EXPECT_EQ(check(urgent, forecast(milliseconds{ 300 }, milliseconds{ 200 })),
            PaceCause::None);
  EXPECT_EQ(check(urgent, forecast(milliseconds{ 301 }, milliseconds{ 200 })),
            PaceCause::FirstEvent);
  PaceForecast slow = forecast(milliseconds{ 0 }, milliseconds{ 200 });
  slow.pause = milliseconds{ 251 };
  EXPECT_EQ(check(urgent, slow), PaceCause::Pause);
}

TEST_F(PaceGateTest, RoutesWithoutLimitsAreNeverHeldBack)
{
  PaceRequest request = this->urgent;
  request.objective = Duration{ 0 };
  request.maxPause = Duration{ 0 };
  PaceForecast slow = forecast(seconds{ 9 }, seconds{ 9 });
  slow.pause = seconds{ 9 };
  EXPECT_EQ(check(request, slow), PaceCause::None);
  this->gate.onRequest(request, kNow);
  EXPECT_EQ(
    check(this->lessUrgent, forecast(milliseconds{ 900 }, milliseconds{ 200 })),
    PaceCause::None);
}

TEST_F(PaceGateTest, APathWithoutRequestsAlwaysTakesOne)
{
  // A forecast that is wrong by far would keep a service out of use.
  PaceForecast idle = forecast(Duration{ 0 }, seconds{ 60 });
  idle.pause = seconds{ 60 };
  idle.idleFirstEvent = Duration{ 0 };
  idle.idle = true;
  EXPECT_EQ(check(urgent, idle), PaceCause::None);
}

TEST_F(PaceGateTest, ALongPromptIsOnlyHeldBackByAQueue)
{
  // Prompts whose prefill alone takes longer than the objective would never be
  // served while others are.
  const auto own = milliseconds{ 800 };
  EXPECT_EQ(check(urgent, forecast(milliseconds{ 0 }, own)), PaceCause::None);
  EXPECT_EQ(check(urgent, forecast(milliseconds{ 250 }, own)), PaceCause::None);
  EXPECT_EQ(check(urgent, forecast(milliseconds{ 251 }, own)),
            PaceCause::FirstEvent);
}

TEST_F(PaceGateTest, LessUrgentRequestsLeaveHeadroomForUrgentOnes)
{
  // Streams of a less urgent route fill a path up to their own longer
  // objective, and all urgent ones after them are late.
  const PaceForecast busy = forecast(milliseconds{ 250 }, milliseconds{ 200 });
  EXPECT_EQ(check(lessUrgent, busy), PaceCause::None);
  this->gate.onRequest(urgent, kNow - seconds{ 2 });
  EXPECT_EQ(check(lessUrgent, busy), PaceCause::Headroom);
  EXPECT_EQ(check(urgent, busy), PaceCause::None);
  PaceRequest elsewhere = lessUrgent;
  elsewhere.service = "other";
  EXPECT_EQ(check(elsewhere, busy), PaceCause::None);
  // The urgent route was not used lately.
  EXPECT_EQ(this->gate.check(lessUrgent, busy, kNow + seconds{ 2 }),
            PaceCause::None);
}

TEST_F(PaceGateTest, ALateRequestLeavesHeadroomForNewOnes)
{
  // The queue on a path stays at the objective, and each request that waits at
  // all is late.
  const PaceForecast busy = forecast(milliseconds{ 250 }, milliseconds{ 200 });
  this->gate.onRequest(urgent, kNow);
  PaceRequest waited = urgent;
  waited.waited = milliseconds{ 50 };
  EXPECT_EQ(check(waited, busy), PaceCause::None);
  waited.waited = milliseconds{ 51 };
  EXPECT_EQ(check(waited, busy), PaceCause::Headroom);
  EXPECT_EQ(check(urgent, busy), PaceCause::None);
}

TEST_F(PaceGateTest, WaitsForWhatCanBecomeFreeInTime)
{
  const PaceForecast soon =
    forecast(milliseconds{ 1'000 }, milliseconds{ 200 });
  const PaceCause cause = check(urgent, soon);
  ASSERT_EQ(cause, PaceCause::FirstEvent);
  EXPECT_EQ(this->gate.onHeldBack(urgent, soon, cause), PaceVerdict::Wait);
  PaceRequest waited = urgent;
  waited.waited = milliseconds{ 400 };
  EXPECT_EQ(this->gate.onHeldBack(waited, soon, cause), PaceVerdict::Refuse);
  waited.waited = waited.maxWait;
  EXPECT_EQ(PaceGate::verdictBehindHeld(waited), PaceVerdict::Refuse);
}

TEST_F(PaceGateTest, RequestsBehindAHeldOneNeedNoSearch)
{
  // Sixty waiting requests that each search for a path every 25 ms take all of
  // a relay's processor time; and a less urgent one must not overtake.
  this->gate.onRequest(urgent, kNow);
  this->gate.onRequest(lessUrgent, kNow);
  EXPECT_FALSE(this->gate.isBehindHeld(urgent));
  const PaceForecast busy = forecast(milliseconds{ 400 }, milliseconds{ 200 });
  this->gate.onHeldBack(urgent, busy, PaceCause::FirstEvent);
  PaceRequest shorter = urgent;
  shorter.promptTokens /= 2;
  EXPECT_TRUE(this->gate.isBehindHeld(urgent));
  EXPECT_FALSE(this->gate.isBehindHeld(shorter));
  EXPECT_TRUE(this->gate.isBehindHeld(lessUrgent));
  shorter.urgency = 1;
  EXPECT_FALSE(this->gate.isBehindHeld(shorter));
  this->gate.beginRound();
  EXPECT_FALSE(this->gate.isBehindHeld(lessUrgent));
  this->gate.onHeldBack(lessUrgent, busy, PaceCause::Headroom);
  EXPECT_FALSE(this->gate.isBehindHeld(urgent));
}

/** Guards against a request within its account's share that waits because of
 * one beyond its share. */
TEST_F(PaceGateTest, RequestsBeyondTheirShareWaitForAllOthersAndHoldNoneBack)
{
  const PaceForecast busy = forecast(milliseconds{ 400 }, milliseconds{ 200 });
  PaceRequest beyond = urgent;
  beyond.beyondShare = true;
  this->gate.onRequest(beyond, kNow);
  EXPECT_EQ(check(lessUrgent, busy), PaceCause::None);
  this->gate.onRequest(urgent, kNow);
  this->gate.onRequest(lessUrgent, kNow);
  this->gate.onHeldBack(beyond, busy, PaceCause::FirstEvent);
  EXPECT_FALSE(this->gate.isBehindHeld(urgent));
  EXPECT_FALSE(this->gate.isBehindHeld(lessUrgent));
  // It may be more urgent and shorter than the one that waits.
  this->gate.onHeldBack(lessUrgent, busy, PaceCause::Headroom);
  beyond.promptTokens /= 2;
  EXPECT_TRUE(this->gate.isBehindHeld(beyond));
  EXPECT_FALSE(this->gate.isBehindHeld(urgent));
  this->gate.beginRound();
  EXPECT_FALSE(this->gate.isBehindHeld(beyond));
}

TEST(PaceForecastTest, CorrectsALoadedPathMoreThanAnIdleOne)
{
  // A replica that is four times as slow as declared would look like a healthy
  // one with a long prompt, and take all requests.
  LayerPath path;
  path.firstToken = milliseconds{ 300 };
  path.queued = milliseconds{ 100 };
  path.perToken = milliseconds{ 20 };
  path.idlePerToken = milliseconds{ 10 };
  const PaceForecast slow = paceForecast(path, { 4, 2 }, 2, false);
  EXPECT_EQ(slow.firstEvent, milliseconds{ 4 * 320 });
  EXPECT_EQ(slow.queued, milliseconds{ 400 });
  EXPECT_EQ(slow.idleFirstEvent, milliseconds{ 330 });
  EXPECT_EQ(slow.pause, milliseconds{ 80 });
  EXPECT_EQ(slow.idlePause, milliseconds{ 30 });
}

} // namespace
} // namespace poplartrack
