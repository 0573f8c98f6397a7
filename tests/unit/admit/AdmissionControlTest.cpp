#include "poplartrack/admit/AdmissionControl.h"

#include <algorithm>
#include <array>
#include <limits>
#include <vector>

#include <gtest/gtest.h>

#include "poplartrack/admit/ModelGate.h"

namespace poplartrack {
namespace {

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };

Configuration
configuration()
{
  Configuration settings;
  settings.models["msaidizi"].layers = 12;
  AccountSpec spec;
  spec.requestsPerSecond = 10'000;
  spec.tokensPerSecond = 10'000'000;
  settings.accounts["flood"] = spec;
  settings.accounts["small"] = spec;
  settings.accounts["large"] = spec;
  settings.accounts["large"].weight = 3;
  settings.accounts["tight"] = spec;
  settings.accounts["tight"].requestsPerSecond = 5;
  settings.accounts["tight"].burstSeconds = 2;
  settings.priorities[static_cast<std::size_t>(Priority::Low)].floorShare = 0.2;
  return settings;
}

AdmissionControl
admission()
{
  AdmissionPolicy policy;
  policy.initialLimit = 100;
  policy.interval = std::chrono::milliseconds{ 200 };
  AdmissionControl control = AdmissionControl::create(policy, 3).value();
  control.configure(configuration(), kStart);
  return control;
}

AdmitQuery
query(const std::string& aAccount, Priority aPriority = Priority::High)
{
  AdmitQuery wanted;
  wanted.account = aAccount;
  wanted.model = "msaidizi";
  wanted.priority = aPriority;
  wanted.promptTokens = 10;
  wanted.tokensWanted = 10;
  wanted.deadline = kStart + std::chrono::minutes{ 10 };
  return wanted;
}

bool
admitted(AdmissionControl& aControl, const AdmitQuery& aQuery, TimePoint aNow)
{
  return std::holds_alternative<Admitted>(aControl.admit(aQuery, aNow));
}

int
admitMany(AdmissionControl& aControl, const AdmitQuery& aQuery, int aCount)
{
  int count = 0;
  for (int i = 0; i < aCount; ++i) {
    count += admitted(aControl, aQuery, kStart) ? 1 : 0;
  }
  return count;
}

ErrorKind
refusalOf(AdmissionControl& aControl, const AdmitQuery& aQuery)
{
  return std::get<Refused>(aControl.admit(aQuery, kStart)).error.kind;
}

TEST(AdmissionControl, anAccountOverItsLimitIsRefusedWithARetryTime)
{
  AdmissionControl control = admission();
  EXPECT_EQ(admitMany(control, query("tight"), 50), 10);
  const auto answer = control.admit(query("tight"), kStart);
  const Refused& refused = std::get<Refused>(answer);
  EXPECT_EQ(refused.error.kind, ErrorKind::AccountOverLimit);
  EXPECT_GE(refused.retryAfter, std::chrono::seconds{ 1 });
}

TEST(AdmissionControl, aRequestThatCannotMeetItsDeadlineIsRefused)
{
  AdmissionControl control = admission();
  AdmitQuery late = query("small");
  late.expectedFirstToken = std::chrono::milliseconds{ 500 };
  late.expectedPerToken = std::chrono::milliseconds{ 60 };
  late.deadline = kStart + std::chrono::seconds{ 1 };
  EXPECT_EQ(refusalOf(control, late), ErrorKind::DeadlineTooClose);
  late.tokensWanted = 5;
  EXPECT_TRUE(admitted(control, late, kStart));
}

TEST(AdmissionControl, aFloodLeavesOthersTheirWeightedShare)
{
  // Accounts with few requests are served although another account sends
  // thousands. That account fills the limit only up to 75 %, from where on fair
  // shares are enforced. The rest is left to accounts below their shares.
  AdmissionControl control = admission();
  admitMany(control, query("small"), 1);
  admitMany(control, query("large"), 1);
  const int flood = admitMany(control, query("flood"), 1000);
  EXPECT_LE(flood, 75);
  EXPECT_GE(admitMany(control, query("large"), 60), 20);
  EXPECT_EQ(refusalOf(control, query("flood")), ErrorKind::Overloaded);
}

TEST(AdmissionControl, anUnusableWeightCountsAsOne)
{
  // Guards against a weight that makes the sum of all weights useless, so that
  // every other account is refused.
  AdmissionPolicy policy;
  policy.initialLimit = 100;
  ModelGate gate{ policy };
  const std::array<double, kPriorityCount> floors{};
  const double nan = std::numeric_limits<double>::quiet_NaN();
  for (const double weight : { 0.0, nan, -1.0 }) {
    static_cast<void>(
      gate.check("odd", weight, Priority::High, floors, kStart));
  }
  int admits = 0;
  while (gate.check("flood", 1, Priority::High, floors, kStart).empty()) {
    gate.enter("flood", Priority::High);
    ++admits;
  }
  EXPECT_EQ(admits, 75);
}

TEST(AdmissionControl, lowPriorityKeepsItsFloor)
{
  // Requests of low priority are still served while urgent ones could use the
  // whole limit. Once a low one has been seen, its floor of 20 of the 100
  // requests in flight stays reserved.
  AdmissionControl control = admission();
  EXPECT_EQ(admitMany(control, query("small", Priority::Low), 1), 1);
  EXPECT_EQ(admitMany(control, query("small", Priority::High), 500), 80);
  EXPECT_EQ(admitMany(control, query("small", Priority::Low), 50), 19);
}

TEST(AdmissionControl, urgentRequestsAreAdmittedWhereLowOnesAreNot)
{
  AdmissionControl control = admission();
  EXPECT_EQ(admitMany(control, query("small", Priority::Low), 500), 90);
  EXPECT_EQ(admitMany(control, query("small", Priority::Normal), 500), 7);
  EXPECT_EQ(admitMany(control, query("small", Priority::High), 500), 3);
}

/** Reports the waits in turn for 5 s, one every 50 ms, and returns the limit.
 */
double
limitAfter(AdmissionControl& aControl,
           TimePoint& aNow,
           const std::vector<int>& aWaits)
{
  constexpr int kReports = 100;
  for (int i = 0; i < kReports; ++i) {
    aNow += std::chrono::milliseconds{ 50 };
    const auto turn = static_cast<std::size_t>(i) % aWaits.size();
    aControl.onQueueDelay(
      "msaidizi", std::chrono::milliseconds{ aWaits[turn] }, aNow);
  }
  return aControl.limit("msaidizi");
}

TEST(AdmissionControl, aStandingQueueShrinksTheLimitAndItsEndRestoresIt)
{
  AdmissionControl control = admission();
  admitMany(control, query("small"), 100);
  TimePoint now = kStart;
  const double shrunk = limitAfter(control, now, { 400 });
  EXPECT_LT(shrunk, 30);
  const double grown = limitAfter(control, now, { 20, 20, 20, 300 });
  EXPECT_GT(grown, 2 * shrunk);
  EXPECT_LT(limitAfter(control, now, { 5, 400, 400 }), grown);
}

TEST(AdmissionControl, finishReturnsCapacityAndUnusedTokens)
{
  AdmissionControl control = admission();
  std::vector<std::uint64_t> tickets;
  tickets.reserve(100);
  for (int i = 0; i < 100; ++i) {
    tickets.push_back(
      std::get<Admitted>(control.admit(query("large"), kStart)).ticket);
  }
  EXPECT_FALSE(admitted(control, query("large"), kStart));
  for (const std::uint64_t ticket : tickets) {
    control.finish(ticket, 20, true, kStart);
    control.finish(ticket, 20, true, kStart);
  }
  EXPECT_EQ(control.inFlight("msaidizi"), 0U);
  EXPECT_TRUE(admitted(control, query("large"), kStart));
}

TEST(AdmissionControl, retryTimesAreSpreadAndGrowUnderOverload)
{
  AdmissionControl control = admission();
  admitMany(control, query("large"), 100);
  const auto retryAfter = [&control] {
    return std::get<Refused>(control.admit(query("large"), kStart)).retryAfter;
  };
  std::vector<Duration> waits;
  waits.reserve(2000);
  for (int i = 0; i < 2000; ++i) {
    waits.push_back(retryAfter());
  }
  // With 100 admitted and 2000 rejected requests, the retries spread over some
  // 20 s, and every second gets less than 700 of them.
  std::vector<int> perSecond(70, 0);
  for (const Duration wait : waits) {
    ++perSecond.at(static_cast<std::size_t>(
      std::chrono::duration_cast<std::chrono::seconds>(wait).count()));
  }
  EXPECT_LT(*std::max_element(perSecond.begin(), perSecond.end()), 700);
  EXPECT_GT(*std::max_element(waits.begin(), waits.end()),
            std::chrono::seconds{ 15 });
}

} // namespace
} // namespace poplartrack
