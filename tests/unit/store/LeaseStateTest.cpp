#include <map>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "poplartrack/store/Lease.h"
#include "poplartrack/store/StoreVersion.h"
#include "standins/lib/PlatformStandin.h"

namespace poplartrack {
namespace {

using std::chrono::milliseconds;

/** A platform that can delay a write. Its sender learns that the outcome is
 * unknown, and the write takes effect later. */
class DelayingPlatform
{
public:
  Result<std::optional<TableRow>> readRow(const std::string& aTable,
                                          const std::string& aKey)
  {
    return this->inner.readRow(aTable, aKey);
  }
  Result<std::vector<TableRow>> scanRows(const std::string& aTable,
                                         const std::string& aPrefix,
                                         const std::string& aAfter,
                                         std::size_t aLimit)
  {
    return this->inner.scanRows(aTable, aPrefix, aAfter, aLimit);
  }
  Result<std::vector<std::uint64_t>> transact(
    const std::vector<TableWrite>& aWrites)
  {
    if (this->delayNext) {
      this->delayNext = false;
      this->delayed.push_back(aWrites);
      return fail(ErrorKind::PlatformUnknown, "kept for later");
    }
    return this->inner.transact(aWrites);
  }
  Result<Done> putObject(const std::string& aName, const std::string& aBytes)
  {
    return this->inner.putObject(aName, aBytes);
  }
  Result<std::string> getObject(const std::string& aName)
  {
    return this->inner.getObject(aName);
  }
  Result<std::vector<InstanceInfo>> listInstances()
  {
    return this->inner.listInstances();
  }

  /** Applies the delayed writes, in the order in which they were sent. */
  void applyDelayed()
  {
    for (const auto& writes : std::exchange(this->delayed, {})) {
      static_cast<void>(this->inner.transact(writes));
    }
  }

  ManualClock clock;
  standins::PlatformStandin<ManualClock> inner{ clock };
  bool delayNext = false;
  std::vector<std::vector<TableWrite>> delayed;
};

/** What can happen to a contender, or to the platform that all share. */
enum class Action : std::uint8_t
{
  Advance,
  Poll,
  Release,
  ReleaseLocally,
  Restart,
  DelayNextWrite,
  ApplyDelayed,
  LoseNextAnswer,
  LoseNextWrite,
  Outage,
  EndFaults,
  StepClock,
};

/** One step of a random run. */
struct Step
{
  Action action = Action::Advance;
  /** Index of the contender. */
  std::size_t who = 0;
  /** Milliseconds by which a clock advances. */
  int amount = 0;
};

/** A process with a clock of its own that contends for the lease. */
struct Contender
{
  Contender(DelayingPlatform& aPlatform, std::string aHolder)
    : holder(std::move(aHolder))
    , lease(aPlatform, clock, LeaseSettings{ "lease", holder })
  {
  }

  std::string holder;
  ManualClock clock;
  Lease<DelayingPlatform, ManualClock> lease;
};

/** The contenders, their platform, and checks of the lease's invariants. */
class LeaseSimulation
{
public:
  LeaseSimulation()
  {
    for (std::size_t i = 0; i < kContenders; ++i) {
      this->start(i);
    }
  }

  void apply(const Step& aStep)
  {
    Contender& contender = *this->contenders[aStep.who];
    standins::PlatformFaults faults = this->platform.inner.faults();
    switch (aStep.action) {
      case Action::Advance:
        this->advance(milliseconds{ aStep.amount });
        break;
      case Action::Poll:
        contender.lease.poll();
        break;
      case Action::Release:
        contender.lease.release();
        break;
      case Action::ReleaseLocally:
        // The others learn of the release at once, even while the platform is
        // unavailable.
        if (const auto fence = contender.lease.releaseLocally()) {
          for (const auto& other : this->contenders) {
            other->lease.onReleased(*fence);
          }
        }
        break;
      case Action::Restart:
        this->start(aStep.who);
        break;
      case Action::DelayNextWrite:
        this->platform.delayNext = true;
        break;
      case Action::ApplyDelayed:
        this->platform.applyDelayed();
        break;
      case Action::LoseNextAnswer:
        ++faults.loseAfter;
        break;
      case Action::LoseNextWrite:
        ++faults.loseBefore;
        break;
      case Action::Outage:
        faults.outage = true;
        break;
      case Action::EndFaults:
        faults = {};
        break;
      case Action::StepClock:
        contender.clock.advance(milliseconds{ aStep.amount });
        break;
    }
    this->platform.inner.setFaults(faults);
  }

  /** Advances all clocks. Those of the contenders run up to 4% slower or faster
   * than the platform's. */
  void advance(Duration aStep)
  {
    this->platform.clock.advance(aStep);
    for (std::size_t i = 0; i < kContenders; ++i) {
      const auto drift = aStep * (static_cast<int>(i) - 1) * 4 / 100;
      this->contenders[i]->clock.advance(aStep + drift);
    }
  }

  /** Checks that the stored fencing number never decreases, and that each
   * number has only one holder. */
  void checkFences()
  {
    const auto row = this->platform.inner.readRow(kLeaseTable, "lease");
    if (row && row.value()) {
      const std::uint64_t fence =
        leaseRecordFromText(row.value()->value)->fence;
      RC_ASSERT(fence >= this->highestFence);
      this->highestFence = fence;
    }
    for (const auto& contender : this->contenders) {
      if (const auto held = contender->lease.held()) {
        const auto known =
          this->holderOfFence.emplace(held->fence, contender->holder).first;
        RC_ASSERT(known->second == contender->holder);
      }
    }
  }

  [[nodiscard]] std::size_t holders() const
  {
    return static_cast<std::size_t>(std::count_if(
      this->contenders.begin(), this->contenders.end(), [](const auto& aOne) {
        return aOne->lease.held().has_value();
      }));
  }

  /** Ends all faults, lets 30 s pass and checks that one contender holds the
   * lease. */
  void checkRecovery()
  {
    this->platform.inner.setFaults({});
    this->platform.delayNext = false;
    for (int i = 0; i < 30; ++i) {
      this->advance(std::chrono::seconds{ 1 });
      for (const auto& contender : this->contenders) {
        contender->lease.poll();
      }
    }
    RC_ASSERT(this->holders() == 1);
  }

private:
  static constexpr std::size_t kContenders = 3;

  /** Starts a new incarnation of a contender. */
  void start(std::size_t aWho)
  {
    this->contenders[aWho] = std::make_unique<Contender>(
      this->platform, "run-" + std::to_string(++this->incarnations));
  }

  DelayingPlatform platform;
  std::array<std::unique_ptr<Contender>, kContenders> contenders;
  int incarnations = 0;
  std::uint64_t highestFence = 0;
  std::map<std::uint64_t, std::string> holderOfFence;
};

/** Generates sequences of steps: advances, polls and the given actions. */
rc::Gen<std::vector<Step>>
randomSteps(std::vector<Action> aActions)
{
  const auto step = rc::gen::build<Step>(
    rc::gen::set(&Step::action,
                 rc::gen::weightedOneOf<Action>(
                   { { 3, rc::gen::just(Action::Advance) },
                     { 4, rc::gen::just(Action::Poll) },
                     { 3, rc::gen::elementOf(std::move(aActions)) } })),
    rc::gen::set(&Step::who, rc::gen::inRange<std::size_t>(0, 3)),
    rc::gen::set(&Step::amount, rc::gen::inRange(1, 6'000)));
  return rc::gen::scale(4, rc::gen::container<std::vector<Step>>(step));
}

/** Everything that can happen except a step of a contender's clock. */
const std::vector<Action> kActions{
  Action::Release,        Action::ReleaseLocally, Action::Restart,
  Action::DelayNextWrite, Action::ApplyDelayed,   Action::LoseNextAnswer,
  Action::LoseNextWrite,  Action::Outage,         Action::EndFaults,
};

RC_GTEST_PROP(LeaseState, atMostOneHolderAndFencesOnlyGrow, ())
{
  LeaseSimulation simulation;
  for (const Step& step : *randomSteps(kActions)) {
    simulation.apply(step);
    simulation.checkFences();
    RC_ASSERT(simulation.holders() <= 1);
  }
  simulation.checkRecovery();
}

// A clock that jumps forward ends the lease early for a holder, or lets a
// challenger take it over too soon. In the second case two contenders consider
// themselves the holder for a while. Their fencing numbers must differ, because
// only these let a receiver reject the former holder's acts.
RC_GTEST_PROP(LeaseState, afterClockStepsFencesStayUniqueAndGrow, ())
{
  std::vector<Action> actions = kActions;
  actions.push_back(Action::StepClock);
  LeaseSimulation simulation;
  for (const Step& step : *randomSteps(actions)) {
    simulation.apply(step);
    simulation.checkFences();
  }
}

TEST(LeaseState, AFencingNumberIsNotGivenOutAgainAfterARestoreOfTheStore)
{
  const LeaseSettings settings{ "lease", "me" };
  LeaseState state{ settings };
  TimePoint now{ std::chrono::hours{ 1 } };
  state.onRead(std::nullopt, now);
  state.beginWrite(now);
  state.onWriteSucceeded(storeVersion(0, 5), now);
  ASSERT_EQ(state.held(now)->fence, 1U);
  // The row is gone. Another holder may have written it since the copy, and
  // act on its lease for as long as that lasts.
  now += settings.renewInterval;
  state.beginWrite(now);
  state.onWriteUncertain(now);
  state.onRead(std::nullopt, now);
  EXPECT_FALSE(state.held(now));
  EXPECT_NE(state.nextAction(now), LeaseAction::Write);
  now += settings.duration;
  state.onRead(std::nullopt, now);
  ASSERT_EQ(state.nextAction(now), LeaseAction::Write);
  const TableWrite write = state.beginWrite(now);
  EXPECT_EQ(leaseRecordFromText(*write.value)->fence, 2U);
}

} // namespace
} // namespace poplartrack
