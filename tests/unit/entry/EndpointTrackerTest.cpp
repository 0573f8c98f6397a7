#include "poplartrack/entry/EndpointTracker.h"
#include "poplartrack/entry/OutdatedView.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 7;

InstanceInfo
sideOf(const std::string& aName, bool aLeaving = false)
{
  return InstanceInfo{ aName,  InstanceRole::Side, "oslo-a",
                       "oslo", "10.0.0.1:1",       aLeaving };
}

ProbeReply
replyOf(const std::string& aEndpoint, std::uint64_t aIncarnation)
{
  ProbeReply reply;
  reply.endpoint = aEndpoint;
  reply.incarnation = aIncarnation;
  reply.service = "engine";
  return reply;
}

class EndpointTrackerTest : public ::testing::Test
{
protected:
  ManualClock clock;
  EndpointTracker tracker =
    EndpointTracker::create({}, "oslo", kSeed, this->clock.now()).value();

  void learn(const std::string& aName, std::uint64_t aIncarnation)
  {
    this->tracker.addStatic(sideOf(aName), this->clock.now());
    this->tracker.onProbeReply(aName,
                               replyOf("engine-" + aName, aIncarnation),
                               milliseconds{ 1 },
                               this->clock.now());
  }
};

TEST_F(EndpointTrackerTest, anUnknownSideIsProbedAndThenInTheView)
{
  this->tracker.onInstanceList({ sideOf("a") }, this->clock.now());
  EXPECT_TRUE(this->tracker.view()->endpoints.empty());
  this->clock.advance(milliseconds{ 100 });
  ASSERT_EQ(this->tracker.dueProbes(this->clock.now()).size(), 1U);
  this->tracker.onProbeReply(
    "a", replyOf("engine-a", 5), milliseconds{ 1 }, this->clock.now());
  ASSERT_EQ(this->tracker.view()->endpoints.size(), 1U);
  EXPECT_EQ(this->tracker.view()->endpoints[0].incarnation, 5U);
}

TEST_F(EndpointTrackerTest, theLaggingListDoesNotRemoveASideThatAnswers)
{
  // The caller sees no difference. The platform's list loses a live side for
  // half an hour; the side goes on answering probes. Absence from a list that
  // lags proves nothing, so the side stays until it is silent as well.
  this->learn("a", 5);
  for (int i = 0; i < 60; ++i) {
    this->clock.advance(seconds{ 30 });
    this->tracker.onProbeReply(
      "a", replyOf("engine-a", 5), milliseconds{ 1 }, this->clock.now());
    this->tracker.onInstanceList({}, this->clock.now());
  }
  EXPECT_EQ(this->tracker.view()->endpoints.size(), 1U);
  this->clock.advance(seconds{ 61 });
  this->tracker.onInstanceList({}, this->clock.now());
  EXPECT_TRUE(this->tracker.view()->endpoints.empty());
}

TEST_F(EndpointTrackerTest, aLeavingInstanceIsMarkedAndItsSideToldAtOnce)
{
  // An operator replaces an instance. The list calls it leaving; from then on
  // the view says so and the side is told with the next probe, at once, so it
  // refuses the entries whose list still lags. Cancelling works the same way.
  this->learn("a", 5);
  this->tracker.onInstanceList({ sideOf("a", true) }, this->clock.now());
  EXPECT_TRUE(this->tracker.view()->endpoints[0].draining);
  const auto targets = this->tracker.dueProbes(this->clock.now());
  ASSERT_EQ(targets.size(), 1U);
  EXPECT_TRUE(targets[0].listedLeaving);
  this->tracker.onInstanceList({ sideOf("a", false) }, this->clock.now());
  EXPECT_FALSE(this->tracker.view()->endpoints[0].draining);
}

TEST_F(EndpointTrackerTest, aRestartIsReported)
{
  this->learn("a", 5);
  EXPECT_TRUE(this->tracker.onProbeReply(
    "a", replyOf("engine-a", 6), milliseconds{ 1 }, this->clock.now()));
}

TEST_F(EndpointTrackerTest, callsThatARestartedSideRefusesDoNotPutOffItsProbe)
{
  // A side was restarted and refuses every call, as they name its earlier
  // incarnation. Callers come back every 11 ms, faster than probes are due.
  // The probe that tells of the restart must go out all the same, and once.
  this->learn("a", 5);
  std::size_t probes = 0;
  for (int call = 0; call < 10; ++call) {
    this->tracker.onCallFailed("engine-a", this->clock.now());
    this->tracker.onOutdated("engine-a", this->clock.now());
    this->clock.advance(milliseconds{ 11 });
    probes += this->tracker.dueProbes(this->clock.now()).size();
  }
  EXPECT_EQ(probes, 1U);
}

TEST_F(EndpointTrackerTest, onlyARefusalOfAnOutdatedViewAsksForAProbe)
{
  EXPECT_FALSE(showsOutdatedView(Refusal::none()));
  EXPECT_FALSE(showsOutdatedView(Refusal::of(fail(ErrorKind::Overloaded))));
  EXPECT_TRUE(
    showsOutdatedView(Refusal::of(fail(ErrorKind::WrongIncarnation))));
  EXPECT_TRUE(showsOutdatedView(Refusal::of(fail(ErrorKind::StageRefused))));
  EXPECT_TRUE(showsOutdatedView(Refusal::of(fail(ErrorKind::Leaving))));
}

// Guards against layers that count as confirmed by a report which is older than
// the silence of their engine, and against an engine that is asked late.
TEST_F(EndpointTrackerTest, aSilentEndpointStaysInTheViewAndIsAskedSoon)
{
  this->learn("a", 5);
  const TimePoint reported = this->clock.now();
  this->clock.advance(seconds{ 1 });
  ProbeReply reply = replyOf("engine-a", 5);
  reply.silent = true;
  this->tracker.onProbeReply("a", reply, milliseconds{ 1 }, this->clock.now());
  EXPECT_TRUE(this->tracker.takeChanged());
  ASSERT_EQ(this->tracker.view()->endpoints.size(), 1U);
  EXPECT_TRUE(this->tracker.view()->endpoints[0].silent);
  EXPECT_EQ(this->tracker.view()->endpoints[0].holdsReportedAt, reported);
  this->clock.advance(ProbePolicy{}.retryFirst);
  EXPECT_EQ(this->tracker.dueProbes(this->clock.now()).size(), 1U);
  reply.silent = false;
  this->tracker.onProbeReply("a", reply, milliseconds{ 1 }, this->clock.now());
  EXPECT_FALSE(this->tracker.view()->endpoints[0].silent);
  EXPECT_EQ(this->tracker.view()->endpoints[0].holdsReportedAt,
            this->clock.now());
}

// Guards against an endpoint that is out of use and nobody can say why.
TEST_F(EndpointTrackerTest, tellsWhatTakesAnEndpointOutOfUseAndBack)
{
  this->learn("a", 5);
  EXPECT_TRUE(this->tracker.takeUseChanges().empty());
  const auto expectChange = [this](EndpointUse aUse, std::string_view aCause) {
    const std::vector<UseChange> changes = this->tracker.takeUseChanges();
    ASSERT_EQ(changes.size(), 1U) << aCause;
    EXPECT_EQ(changes[0].endpoint, "engine-a");
    EXPECT_EQ(changes[0].use, aUse);
    EXPECT_EQ(changes[0].cause, aCause);
  };
  this->tracker.onCallFailed("engine-a", this->clock.now());
  EXPECT_TRUE(this->tracker.takeUseChanges().empty());
  this->tracker.onProbeFailed("a", this->clock.now());
  expectChange(EndpointUse::LastResort, "a probe is not answered");
  this->tracker.onLoad("engine-a", LoadHint{}, this->clock.now());
  expectChange(EndpointUse::InUse, "a call is answered");
  ProbeReply reply = replyOf("engine-a", 5);
  const auto probe = [&] {
    this->tracker.onProbeReply(
      "a", reply, milliseconds{ 1 }, this->clock.now());
  };
  reply.silent = true;
  probe();
  expectChange(EndpointUse::LastResort, "it does not answer its side");
  reply.service.clear();
  probe();
  expectChange(EndpointUse::OutOfUse, "its side gets no answer from it");
  reply = replyOf("engine-a", 5);
  probe();
  expectChange(EndpointUse::InUse, "a probe is answered");
}

TEST_F(EndpointTrackerTest, probesStayWithinTheBudgetAndReachEveryEndpoint)
{
  // 340 sides of a region appear at once, as after a switch came back. Probes
  // must neither storm nor starve anybody: over ten minutes the budget holds
  // and every side is heard.
  std::vector<InstanceInfo> list;
  list.reserve(340);
  for (int i = 0; i < 340; ++i) {
    list.push_back(sideOf("s" + std::to_string(i)));
  }
  this->tracker.onInstanceList(list, this->clock.now());
  std::size_t sent = 0;
  for (int second = 0; second < 600; ++second) {
    this->clock.advance(seconds{ 1 });
    for (const ProbeTarget& target :
         this->tracker.dueProbes(this->clock.now())) {
      ++sent;
      this->tracker.onProbeReply(target.instance,
                                 replyOf("e-" + target.instance, 1),
                                 milliseconds{ 1 },
                                 this->clock.now());
    }
  }
  EXPECT_LE(sent, 64U + 600U * 8U);
  EXPECT_EQ(this->tracker.view()->endpoints.size(), 340U);
}

} // namespace
} // namespace poplartrack
