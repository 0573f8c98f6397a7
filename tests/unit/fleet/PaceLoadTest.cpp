#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "poplartrack/fleet/PaceEstimate.h"
#include "poplartrack/fleet/PaceGate.h"
#include "poplartrack/fleet/QueueBound.h"
#include "poplartrack/fleet/WaitQueue.h"

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Calls a second that the prefill of one path carries. */
constexpr double kPathRate = 20;

struct Call
{
  PaceRequest request;
  TimePoint arrived, sentAt{}, firstAt{};
  LayerPath forecast{};
  Duration pause{ 0 };
  std::size_t path = 0;
  /** Whether the first event was forecast within the objective when sent. */
  bool forecastOnTime = false;
  bool sent() const { return this->sentAt != TimePoint{}; }
  bool onTime() const
  {
    return this->sent() && this->pause <= this->request.maxPause &&
           this->firstAt - this->arrived <= this->request.objective;
  }
};

/** Prefills one prompt after another; streams take 3 s and slow each other. */
struct ModelPath
{
  int slowdown = 1;
  TimePoint freeAt{};
  std::deque<std::size_t> prefilling{}, streams{};
};

/** A relay in front of some paths. Its forecasts do not know their slowdowns;
 * it calls the decisions as RelayPace.cpp does. */
struct PaceModel
{
  std::vector<ModelPath> paths;
  std::vector<PaceRequest> kinds;
  std::mt19937 random{ 20261202 };
  TimePoint now{ std::chrono::hours{ 1 } };
  std::vector<Call> calls{};
  PaceEstimate estimate{};
  PaceGate gate{};
  QueueBound bound{};
  WaitQueue waiting{};

  /** Calls of the kinds arrive in turn, this many a second on average. */
  void run(Duration aTime, double aPerSecond)
  {
    constexpr int kTicksPerSecond = 200;
    const auto draw = [this] {
      return static_cast<double>(this->random()) / 0x1p32;
    };
    for (const TimePoint end = this->now + aTime; this->now < end;
         this->now += milliseconds{ 1'000 / kTicksPerSecond }) {
      this->receiveEvents();
      if (draw() * kTicksPerSecond < aPerSecond) {
        this->calls.push_back(
          { this->kinds[this->calls.size() % this->kinds.size()], this->now });
        this->calls.back().request.promptTokens = 20 + 60 * draw();
        this->tryCall(this->calls.size() - 1);
      }
      if (this->now.time_since_epoch() % milliseconds{ 25 } == Duration{ 0 }) {
        this->gate.beginRound();
        for (const std::uint64_t id : this->waiting.order(this->now)) {
          this->tryCall(id);
        }
        for (auto left = this->bound.requestsOverLimit(
               "model", this->waiting.size(), milliseconds{ 1'200 }, this->now);
             left > 0;
             --left) {
          this->waiting.remove(*this->waiting.lastOf("model"));
        }
      }
    }
  }
  void receiveEvents()
  {
    for (ModelPath& path : this->paths) {
      std::erase_if(path.streams, [this](std::size_t aCall) {
        return this->calls[aCall].firstAt + seconds{ 3 } <= this->now;
      });
      std::erase_if(path.prefilling, [this](std::size_t aCall) {
        const Call& call = this->calls[aCall];
        const bool arrived = call.firstAt <= this->now;
        if (arrived) {
          const PaceForecast told = paceForecast(call.forecast, {}, 2, false);
          const std::string first = std::to_string(call.path);
          const Duration actual = call.firstAt - call.sentAt;
          this->estimate.addFirstEvent(
            first, told.firstEvent, actual, Duration{ 0 }, this->now);
          for (Duration at{ 0 }; at < milliseconds{ 500 }; at += call.pause) {
            this->estimate.addPause(
              first, told.pause, call.pause, Duration{ 0 }, this->now);
          }
        }
        return arrived;
      });
    }
  }
  void tryCall(std::uint64_t aId)
  {
    Call& call = this->calls[aId];
    PaceRequest& request = call.request;
    request.waited = this->now - call.arrived;
    this->gate.onRequest(request, this->now);
    PaceVerdict verdict = PaceGate::verdictBehindHeld(request);
    if (!this->gate.isBehindHeld(request)) {
      std::vector<std::pair<Duration, std::size_t>> order;
      for (std::size_t at = 0; at < this->paths.size(); ++at) {
        order.emplace_back(this->forecastOf(call, at).queued, at);
      }
      std::sort(order.begin(), order.end());
      for (const auto& [queued, at] : order) {
        const auto forecast =
          paceForecast(this->forecastOf(call, at),
                       this->estimate.at(std::to_string(at), this->now),
                       2,
                       this->paths[at].streams.empty());
        const PaceCause cause = this->gate.check(request, forecast, this->now);
        if (cause == PaceCause::None) {
          call.forecastOnTime =
            request.waited + forecast.firstEvent <= request.objective;
          this->send(aId, at);
          return;
        }
        if (at == order.front().second) {
          verdict = this->gate.onHeldBack(request, forecast, cause);
        }
      }
    }
    if (verdict == PaceVerdict::Refuse) {
      this->waiting.remove(aId);
      return;
    }
    Waiter waiter;
    waiter.request = aId;
    waiter.service = "model";
    waiter.urgency = request.urgency;
    waiter.tokens = request.promptTokens;
    waiter.latestOnTimeStart = call.arrived + request.objective / 2;
    this->waiting.add(waiter);
  }
  LayerPath forecastOf(const Call& aCall, std::size_t aPath) const
  {
    LayerPath forecast;
    for (const std::size_t other : this->paths[aPath].prefilling) {
      forecast.queued += prefillOf(this->calls[other]);
    }
    forecast.idlePerToken = milliseconds{ 4 };
    forecast.perToken = forecast.idlePerToken +
                        Duration{ 250 } * this->paths[aPath].streams.size();
    forecast.firstToken =
      forecast.queued + prefillOf(aCall) + forecast.perToken;
    return forecast;
  }
  static Duration prefillOf(const Call& aCall)
  {
    return milliseconds{ 1 } * static_cast<int>(aCall.request.promptTokens);
  }
  void send(std::uint64_t aId, std::size_t aPath)
  {
    Call& call = this->calls[aId];
    ModelPath& path = this->paths[aPath];
    call.path = aPath;
    call.forecast = this->forecastOf(call, aPath);
    call.pause = call.forecast.perToken * 2 * path.slowdown;
    call.sentAt = this->now;
    path.freeAt =
      std::max(path.freeAt, this->now) + prefillOf(call) * path.slowdown;
    call.firstAt = path.freeAt + call.pause;
    path.prefilling.push_back(aId);
    path.streams.push_back(aId);
    this->bound.onStart("model", this->now);
    this->waiting.remove(aId);
  }
};

class PaceLoadTest : public ::testing::Test
{
public:
  static PaceModel model(std::size_t aPaths)
  {
    PaceModel model;
    model.paths.resize(aPaths);
    model.kinds = { kind("chat", 0, milliseconds{ 500 }),
                    kind("search", 1, milliseconds{ 600 }),
                    kind("batch", 2, milliseconds{ 1'200 }) };
    return model;
  }
  static PaceRequest kind(const char* aRoute, int aUrgency, Duration aObjective)
  {
    PaceRequest kind;
    kind.service = "model";
    kind.route = aRoute;
    kind.urgency = aUrgency;
    kind.objective = aObjective;
    kind.maxPause = milliseconds{ 40 };
    kind.maxWait = std::min<Duration>(2 * aObjective, milliseconds{ 1'200 });
    return kind;
  }
  template<typename Condition>
  static long count(const PaceModel& aModel, Condition aCondition)
  {
    return std::count_if(aModel.calls.begin(), aModel.calls.end(), aCondition);
  }
};

/** Plays rising load on one and two paths, and checks what each kind gets. */
void
checkRisingLoad(Duration aMaxPause)
{
  for (const std::size_t paths : { 1U, 2U }) {
    long usefulBefore = 0;
    for (const double load : { 1.0, 1.5, 2.0, 4.0 }) {
      PaceModel model = PaceLoadTest::model(paths);
      for (PaceRequest& kind : model.kinds) {
        kind.maxPause = aMaxPause;
      }
      model.run(seconds{ 120 }, load * kPathRate * static_cast<double>(paths));
      const long useful = PaceLoadTest::count(
        model, [](const Call& aCall) { return aCall.onTime(); });
      EXPECT_GE(useful, usefulBefore) << paths << " paths, load " << load;
      usefulBefore = useful;
      // A forecast that is too low wastes prefill on answers that are late, the
      // more so the more calls wait at the limit.
      const long forecastOnTime = PaceLoadTest::count(
        model, [](const Call& aCall) { return aCall.forecastOnTime; });
      const long late = PaceLoadTest::count(model, [](const Call& aCall) {
        return aCall.forecastOnTime && !aCall.onTime();
      });
      EXPECT_LE(100 * late, forecastOnTime) << paths << " paths, load " << load;
      // The kinds arrive in turn, so each has as many calls.
      std::array<long, 3> served{};
      for (int urgency = 0; urgency < 3; ++urgency) {
        served[urgency] = PaceLoadTest::count(model, [&](const Call& aCall) {
          return aCall.sent() && aCall.request.urgency == urgency;
        });
      }
      EXPECT_GE(served[0], served[1]) << paths << " paths, load " << load;
      EXPECT_GE(served[1], served[2]) << paths << " paths, load " << load;
    }
  }
}

// Without the gate, all calls share a queue that grows until each of them is
// late, the urgent ones as much as the others.
TEST_F(PaceLoadTest, UsefulAnswersDoNotFallWherePausesLimitThePath)
{
  checkRisingLoad(milliseconds{ 40 });
}

TEST_F(PaceLoadTest, UsefulAnswersDoNotFallWhereOnlyPrefillLimitsThePath)
{
  checkRisingLoad(milliseconds{ 400 });
}

TEST_F(PaceLoadTest, AllAnswersAreUsefulThreeSecondsAfterTheLoadFalls)
{
  // A queue that outlives its load would keep answers late after a peak.
  for (const std::size_t paths : { 1U, 2U }) {
    PaceModel model = PaceLoadTest::model(paths);
    model.run(seconds{ 20 }, 4 * kPathRate * static_cast<double>(paths));
    const TimePoint calm = model.now + seconds{ 3 };
    model.run(seconds{ 20 }, 0.5 * kPathRate * static_cast<double>(paths));
    const auto isLater = [&](const Call& aCall) {
      return aCall.arrived >= calm;
    };
    EXPECT_GT(count(model, isLater), 100);
    EXPECT_EQ(count(model,
                    [&](const Call& aCall) {
                      return isLater(aCall) && !aCall.onTime();
                    }),
              0);
  }
}

TEST_F(PaceLoadTest, CallsAvoidAPathThatBecomesSlowUntilItRecovers)
{
  // The forecasts of a path do not show that its replica has become slow, so
  // its calls would be late for as long as that lasts.
  PaceModel model = PaceLoadTest::model(2);
  for (PaceRequest& kind : model.kinds) {
    kind.maxPause = milliseconds{ 30 };
  }
  model.run(seconds{ 10 }, 0.5 * kPathRate);
  model.paths[0].slowdown = 5;
  model.run(seconds{ 3 }, 0.5 * kPathRate);
  const TimePoint learned = model.now;
  model.run(seconds{ 20 }, 0.5 * kPathRate);
  const TimePoint healthy = model.now;
  model.paths[0].slowdown = 1;
  model.run(seconds{ 20 }, 0.5 * kPathRate);
  const auto during = [&](const Call& aCall) {
    return aCall.arrived >= learned && aCall.arrived < healthy;
  };
  const auto after = [&](const Call& aCall) {
    return aCall.arrived >= healthy + seconds{ 10 };
  };
  const long late = count(
    model, [&](const Call& aCall) { return during(aCall) && !aCall.onTime(); });
  // Some are still sent there, to find out whether it has recovered.
  EXPECT_LE(8 * late, count(model, during));
  EXPECT_EQ(
    count(model,
          [&](const Call& aCall) { return after(aCall) && !aCall.onTime(); }),
    0);
  EXPECT_GE(3 * count(model,
                      [&](const Call& aCall) {
                        return after(aCall) && aCall.path == 0;
                      }),
            count(model, after));
}

TEST_F(PaceLoadTest, AServiceWhoseOnlyPathIsSlowStaysInUse)
{
  // A gate that trusts its forecast would send nothing, and so never learn that
  // the path has recovered.
  PaceModel model = PaceLoadTest::model(1);
  model.paths[0].slowdown = 20;
  model.run(seconds{ 30 }, 0.5 * kPathRate);
  const TimePoint healthy = model.now;
  model.paths[0].slowdown = 1;
  model.run(seconds{ 20 }, 0.5 * kPathRate);
  const auto sentIn = [&](TimePoint aFrom, TimePoint aTo) {
    return count(model, [&](const Call& aCall) {
      return aCall.sent() && aCall.sentAt >= aFrom && aCall.sentAt < aTo;
    });
  };
  for (TimePoint at = healthy - seconds{ 30 }; at < healthy;
       at += seconds{ 10 }) {
    EXPECT_GT(sentIn(at, at + seconds{ 10 }), 0);
  }
  const auto after = [&](const Call& aCall) {
    return aCall.arrived >= healthy + seconds{ 10 };
  };
  EXPECT_EQ(
    count(model,
          [&](const Call& aCall) { return after(aCall) && !aCall.onTime(); }),
    0);
}

} // namespace
} // namespace poplartrack
