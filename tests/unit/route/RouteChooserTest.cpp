#include "poplartrack/route/RouteChooser.h"

#include <map>

#include <gtest/gtest.h>
// RapidCheck's macros need GoogleTest's first.
#include <rapidcheck/gtest.h>

namespace poplartrack {
namespace {

constexpr std::uint32_t kLayers = 12;
constexpr TimePoint kStart{ std::chrono::hours{ 1 } };

EndpointInfo
engine(const std::string& aName, LayerRange aHolds)
{
  EndpointInfo info;
  info.name = aName;
  info.incarnation = 1;
  info.address = "127.0.0.1:1";
  info.zone = "oslo-a";
  info.region = "oslo";
  info.service = "engine";
  info.model = "pairing-llm";
  info.modelVersion = "1";
  info.holds = aHolds;
  info.load.stepMicros = 1000 * aHolds.size();
  info.loadReportedAt = kStart;
  return info;
}

RouteQuery
query()
{
  RouteQuery wanted;
  wanted.model = "pairing-llm";
  wanted.modelVersion = "1";
  wanted.layers = kLayers;
  wanted.fromZone = "oslo-a";
  wanted.fromRegion = "oslo";
  wanted.prefillTokens = 20;
  wanted.tokensWanted = 16;
  return wanted;
}

RouteChooser
chooser(RoutePolicy aPolicy = {})
{
  return RouteChooser::create(aPolicy, 7).value();
}

RoutePolicy
withoutSpread()
{
  RoutePolicy policy;
  policy.spread = 0;
  return policy;
}

/** Chooses and starts aCount routes, none of which ends. Returns how often each
 * endpoint is used. */
std::map<std::string, int>
startMany(RouteChooser& aChooser,
          const EndpointView& aView,
          int aCount,
          TimePoint aNow = kStart,
          const RouteQuery& aQuery = query())
{
  std::map<std::string, int> counts;
  for (int i = 0; i < aCount; ++i) {
    const Result<RoutePlan> plan = aChooser.choose(aView, aQuery, aNow);
    for (const RouteStage& stage : plan.value().route) {
      ++counts[stage.endpoint];
    }
    aChooser.onRouteStarted(plan.value().route, aNow);
  }
  return counts;
}

RC_GTEST_PROP(RouteChooser,
              aRouteCoversEachLayerOnceWithAllowedEndpoints,
              (std::uint64_t aSeed))
{
  std::mt19937_64 random(aSeed);
  EndpointView view;
  RouteQuery wanted = query();
  RoutePolicy policy;
  policy.maxCuts = 1 + random() % 6;
  const auto count = 1 + random() % 25;
  std::vector<bool> covered(kLayers, false);
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto from = static_cast<std::uint32_t>(random() % kLayers);
    const auto to =
      from + 1 + static_cast<std::uint32_t>(random() % (kLayers - from));
    EndpointInfo info = engine("e" + std::to_string(i), { from, to });
    info.zone = "oslo-" + std::to_string(random() % 3);
    info.draining = random() % 8 == 0;
    info.failures = random() % 8 == 0 ? 3 : 0;
    if (random() % 8 == 0) {
      wanted.avoid.insert(info.name);
    }
    if (!info.draining && !wanted.avoid.contains(info.name)) {
      std::fill(covered.begin() + from, covered.begin() + to, true);
    }
    view.endpoints.push_back(info);
  }
  const bool possible =
    std::find(covered.begin(), covered.end(), false) == covered.end();
  RouteChooser choice = RouteChooser::create(policy, aSeed).value();
  const Result<RoutePlan> plan = choice.choose(view, wanted, kStart);
  RC_ASSERT(plan.ok() == possible);
  if (!plan) {
    RC_ASSERT(plan.error().kind == ErrorKind::NoRoute);
    return;
  }
  std::uint32_t next = 0;
  std::set<std::string> used;
  for (const RouteStage& stage : plan.value().route) {
    const auto index = std::stoul(stage.endpoint.substr(1));
    const EndpointInfo& info = view.endpoints[index];
    RC_ASSERT(stage.runs.from == next);
    RC_ASSERT(stage.runs.size() > 0U);
    RC_ASSERT(info.holds.contains(stage.runs));
    RC_ASSERT(!info.draining);
    RC_ASSERT(!wanted.avoid.contains(stage.endpoint));
    RC_ASSERT(used.insert(stage.endpoint).second);
    next = stage.runs.to;
  }
  RC_ASSERT(next == kLayers);
}

TEST(RouteChooser, reportsTheLayersWithoutAnEndpoint)
{
  EndpointView view;
  view.endpoints = { engine("a", { 0, 4 }), engine("b", { 8, 12 }) };
  const Result<RoutePlan> plan = chooser().choose(view, query(), kStart);
  ASSERT_FALSE(plan);
  EXPECT_EQ(plan.error().kind, ErrorKind::NoRoute);
  EXPECT_NE(plan.error().detail.find("[4, 8)"), std::string::npos)
    << plan.error().detail;
}

TEST(RouteChooser, fasterEndpointsGetMoreLoad)
{
  EndpointView view;
  view.endpoints = { engine("fast", { 0, 12 }), engine("slow", { 0, 12 }) };
  view.endpoints[1].load.stepMicros *= 4;
  RouteChooser choice = chooser();
  const auto counts = startMany(choice, view, 100);
  EXPECT_GT(counts.at("fast"), 65);
  EXPECT_GT(counts.at("slow"), 5);
}

TEST(RouteChooser, staysInTheRegionIfItIsNoSlower)
{
  EndpointView view;
  view.endpoints = { engine("near", { 0, 6 }),
                     engine("far", { 0, 6 }),
                     engine("last", { 6, 12 }) };
  view.endpoints[1].region = "dar-coast";
  RouteChooser choice = chooser();
  EXPECT_FALSE(startMany(choice, view, 20).contains("far"));
}

TEST(RouteChooser, avoidsAnEndpointWithAMeasuredSlowLink)
{
  EndpointView view;
  view.endpoints = { engine("near", { 0, 12 }), engine("linked", { 0, 12 }) };
  view.endpoints[1].roundTrip = std::chrono::milliseconds{ 100 };
  RouteChooser choice = chooser();
  EXPECT_FALSE(startMany(choice, view, 10).contains("linked"));
}

TEST(RouteChooser, aNewEndpointIsNotFlooded)
{
  // Guards against answers that become slow for all callers when an endpoint is
  // added. A new idle endpoint is the cheapest one for every entry until its
  // hints show the load; without slow start each entry would send it
  // everything.
  EndpointView view;
  for (int i = 0; i < 4; ++i) {
    view.endpoints.push_back(engine("old" + std::to_string(i), { 0, 12 }));
    view.endpoints.back().load.attempts = 10;
    view.endpoints.back().load.stepMicros *= 3;
  }
  RouteChooser choice = chooser();
  startMany(choice, view, 1);
  const TimePoint later = kStart + std::chrono::seconds{ 30 };
  for (EndpointInfo& info : view.endpoints) {
    info.loadReportedAt = later;
  }
  view.endpoints.push_back(engine("fresh", { 0, 12 }));
  view.endpoints.back().loadReportedAt = later;
  view.endpoints.back().load.running = 1;
  const auto counts = startMany(choice, view, 10, later);
  EXPECT_LE(counts.contains("fresh") ? counts.at("fresh") : 0, 5);
}

TEST(RouteChooser, aSilentEndpointDoesNotLookIdle)
{
  EndpointView view;
  for (int i = 0; i < 4; ++i) {
    view.endpoints.push_back(engine("e" + std::to_string(i), { 0, 12 }));
    view.endpoints.back().load.attempts = 10;
    view.endpoints.back().load.running = 5;
  }
  view.endpoints[0].load.attempts = 0;
  view.endpoints[0].load.running = 1;
  view.endpoints[0].loadReportedAt = kStart - std::chrono::seconds{ 20 };
  RouteChooser choice = chooser();
  EXPECT_LE(startMany(choice, view, 40)["e0"], 20);
}

TEST(RouteChooser, wrongHintsAreDetectedByTokenGaps)
{
  // Guards against slow answers from routes that look best. An endpoint reports
  // a tenth of its step time. The entry learns this from the gaps between
  // tokens and multiplies the reported time by the learnt slowness.
  EndpointView view;
  view.endpoints = { engine("honest", { 0, 12 }), engine("liar", { 0, 12 }) };
  view.endpoints[1].load.stepMicros /= 10;
  RouteChooser choice = chooser(withoutSpread());
  const Duration real = std::chrono::milliseconds{ 12 };
  for (int i = 0; i < 200; ++i) {
    const Route route = choice.choose(view, query(), kStart).value().route;
    choice.onRouteStarted(route, kStart);
    choice.onToken(
      route, route[0].endpoint == "liar" ? 4 * real : real, kStart);
    choice.onRouteEnded(route, true, kStart);
  }
  EXPECT_EQ(choice.choose(view, query(), kStart).value().route.front().endpoint,
            "honest");
}

TEST(RouteChooser, expectedTimesFollowTheMeasuredTokenGaps)
{
  // Guards against admitted requests that miss their deadlines. Steps wait for
  // the batch that runs before them. No hint includes this wait, but the gaps
  // between tokens do, alike for all endpoints.
  EndpointView view;
  view.endpoints = { engine("a", { 0, 12 }), engine("b", { 0, 12 }) };
  RouteChooser choice = chooser();
  const Duration first =
    choice.choose(view, query(), kStart).value().expectedPerToken;
  for (int i = 0; i < 3000; ++i) {
    const Route route = choice.choose(view, query(), kStart).value().route;
    choice.onToken(route, 2 * first, kStart);
  }
  const Duration later =
    choice.choose(view, query(), kStart).value().expectedPerToken;
  EXPECT_GT(later, first * 9 / 5);
  EXPECT_LT(later, first * 5 / 2);
}

TEST(RouteChooser, aFailedEndpointGetsOneTrialAfterItsBackoff)
{
  EndpointView view;
  view.endpoints = { engine("a", { 0, 12 }), engine("b", { 0, 12 }) };
  view.endpoints[1].load.stepMicros *= 2;
  RouteChooser choice = chooser(withoutSpread());
  startMany(choice, view, 1, kStart - std::chrono::minutes{ 1 });
  choice.onEndpointFailed("a", kStart);
  choice.onRouteEnded({ RouteStage{ "a", 1, "", {} } }, false, kStart);
  EXPECT_FALSE(startMany(choice, view, 5).contains("a"));
  const TimePoint afterBackoff = kStart + std::chrono::seconds{ 1 };
  EXPECT_EQ(startMany(choice, view, 5, afterBackoff)["a"], 1);
  choice.onEndpointSucceeded("a");
  EXPECT_GE(startMany(choice, view, 5, afterBackoff)["a"], 3);
}

TEST(RouteChooser, anEndpointInBackoffIsUsedIfNoOtherCoversALayer)
{
  EndpointView view;
  view.endpoints = { engine("only", { 0, 12 }) };
  RouteChooser choice = chooser();
  choice.onEndpointFailed("only", kStart);
  EXPECT_TRUE(choice.choose(view, query(), kStart).ok());
}

// Guards against a sound endpoint that stays out of use for up to 20 s after it
// was silent for a second.
TEST(RouteChooser, anAnswerEndsTheBackoffOfASilentEndpoint)
{
  using std::chrono::milliseconds;
  const auto chosenAfter = [](LossEvidence aEvidence) {
    EndpointView view;
    view.endpoints = { engine("a", { 0, 12 }), engine("b", { 0, 12 }) };
    view.endpoints[1].load.stepMicros *= 2;
    RouteChooser choice = chooser(withoutSpread());
    choice.onEndpointFailed("a", kStart, aEvidence);
    const auto chosen = [&](TimePoint aNow) {
      return choice.choose(view, query(), aNow).value().route[0].endpoint;
    };
    EXPECT_EQ(chosen(kStart + milliseconds{ 1 }), "b");
    view.endpoints[0].loadReportedAt = kStart + milliseconds{ 2 };
    return chosen(kStart + milliseconds{ 3 });
  };
  EXPECT_EQ(chosenAfter(LossEvidence::Silence), "a");
  EXPECT_EQ(chosenAfter(LossEvidence::Refusal), "b");
}

// Guards against an answer from between two silences that hides the second one.
TEST(RouteChooser, aSecondSilenceOutweighsAnEarlierAnswer)
{
  using std::chrono::milliseconds;
  EndpointView view;
  view.endpoints = { engine("a", { 0, 12 }), engine("b", { 0, 12 }) };
  view.endpoints[1].load.stepMicros *= 2;
  RouteChooser choice = chooser(withoutSpread());
  choice.onEndpointFailed("a", kStart, LossEvidence::Silence);
  view.endpoints[0].loadReportedAt = kStart + milliseconds{ 1 };
  choice.onEndpointFailed(
    "a", kStart + milliseconds{ 2 }, LossEvidence::Silence);
  EXPECT_EQ(choice.choose(view, query(), kStart + milliseconds{ 3 })
              .value()
              .route[0]
              .endpoint,
            "b");
}

// Guards against a refusal while the only endpoint of a layer is silent.
TEST(RouteChooser, aSilentEndpointIsUsedOnlyIfNoOtherCoversALayer)
{
  EndpointView view;
  view.endpoints = { engine("a", { 0, 12 }), engine("b", { 0, 12 }) };
  view.endpoints[0].silent = true;
  RouteChooser choice = chooser();
  EXPECT_FALSE(startMany(choice, view, 10).contains("a"));
  view.endpoints.pop_back();
  EXPECT_TRUE(choice.choose(view, query(), kStart).ok());
}

TEST(RouteChooser, aPrefixKeepsItsEndpointUntilThatIsLoaded)
{
  EndpointView view;
  for (int i = 0; i < 5; ++i) {
    view.endpoints.push_back(engine("e" + std::to_string(i), { 0, 12 }));
  }
  RouteQuery wanted = query();
  wanted.prefixHash = 99;
  wanted.prefillTokens = 4000;
  RouteChooser choice = chooser(withoutSpread());
  const std::string preferred =
    choice.choose(view, wanted, kStart).value().route[0].endpoint;
  EXPECT_EQ(choice.choose(view, wanted, kStart).value().route[0].endpoint,
            preferred);
  const auto counts = startMany(choice, view, 50, kStart, wanted);
  for (const auto& [name, count] : counts) {
    EXPECT_LE(count, 20) << name;
  }
}

TEST(RouteChooser, plainCallsGoToTheEndpointWithTheShortestWait)
{
  EndpointView view;
  for (int i = 0; i < 3; ++i) {
    EndpointInfo info = engine("c" + std::to_string(i), { 0, 0 });
    info.service = "codebook";
    info.load.stepMicros = 2000;
    view.endpoints.push_back(info);
  }
  view.endpoints[0].load.queued = 50;
  RouteChooser choice = chooser();
  std::map<std::string, int> counts;
  for (int i = 0; i < 30; ++i) {
    const EndpointInfo chosen =
      choice.choosePlain(view, "codebook", "oslo-a", {}, kStart).value();
    ++counts[chosen.name];
    choice.onPlainStarted(chosen.name, kStart);
  }
  EXPECT_EQ(counts["c0"], 0);
  EXPECT_GT(counts["c1"], 10);
  const auto none = choice.choosePlain(view, "kituo", "oslo-a", {}, kStart);
  ASSERT_FALSE(none);
  EXPECT_EQ(none.error().kind, ErrorKind::NoRoute);
}

} // namespace
} // namespace poplartrack
