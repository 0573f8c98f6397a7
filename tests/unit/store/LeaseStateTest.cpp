#include <map>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "poplartrack/store/Lease.h"
#include "standins/lib/PlatformStandin.h"

namespace poplartrack {
namespace {

using std::chrono::milliseconds;

/** A platform that may keep a write for later, when its sender has long given
 * it up. */
class LatePlatform
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
    if (this->keepNext) {
      this->keepNext = false;
      this->kept.push_back(aWrites);
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

  void land()
  {
    for (const auto& writes : std::exchange(this->kept, {})) {
      static_cast<void>(this->inner.transact(writes));
    }
  }

  ManualClock clock;
  standins::PlatformStandin<ManualClock> inner{ clock };
  bool keepNext = false;
  std::vector<std::vector<TableWrite>> kept;
};

enum class Act : std::uint8_t
{
  Advance,
  Poll,
  Release,
  GiveUp,
  Restart,
  KeepNextWrite,
  Land,
  LoseAfter,
  LoseBefore,
  Outage,
  Heal,
  StepClock,
};

struct Move
{
  Act act = Act::Advance;
  std::size_t who = 0;
  int amount = 0;
};

/** A process that contends for the lease by a clock of its own. */
struct Contender
{
  Contender(LatePlatform& aPlatform, std::string aHolder)
    : holder(std::move(aHolder))
    , lease(aPlatform, clock, LeaseSettings{ "lease", holder })
  {
  }

  std::string holder;
  ManualClock clock;
  Lease<LatePlatform, ManualClock> lease;
};

/** Contenders, the platform, and what must hold between them. */
class World
{
public:
  World()
  {
    for (std::size_t i = 0; i < kContenders; ++i) {
      this->start(i);
    }
  }

  void apply(const Move& aMove)
  {
    Contender& one = *this->contenders[aMove.who];
    standins::PlatformFaults faults = this->platform.inner.faults();
    switch (aMove.act) {
      case Act::Advance:
        this->advance(milliseconds{ aMove.amount });
        break;
      case Act::Poll:
        one.lease.poll();
        break;
      case Act::Release:
        one.lease.release();
        break;
      case Act::GiveUp:
        // Its word reaches the others at once, whatever the platform does.
        if (const auto fence = one.lease.releaseLocally()) {
          for (const auto& other : this->contenders) {
            other->lease.onReleased(*fence);
          }
        }
        break;
      case Act::Restart:
        this->start(aMove.who);
        break;
      case Act::KeepNextWrite:
        this->platform.keepNext = true;
        break;
      case Act::Land:
        this->platform.land();
        break;
      case Act::LoseAfter:
        ++faults.loseAfter;
        break;
      case Act::LoseBefore:
        ++faults.loseBefore;
        break;
      case Act::Outage:
        faults.outage = true;
        break;
      case Act::Heal:
        faults = {};
        break;
      case Act::StepClock:
        one.clock.advance(milliseconds{ aMove.amount });
        break;
    }
    this->platform.inner.setFaults(faults);
  }

  /** Clocks run at speeds up to 4% apart from the true one. */
  void advance(Duration aStep)
  {
    this->platform.clock.advance(aStep);
    for (std::size_t i = 0; i < kContenders; ++i) {
      const auto drift = aStep * (static_cast<int>(i) - 1) * 4 / 100;
      this->contenders[i]->clock.advance(aStep + drift);
    }
  }

  /** Numbers never go back, and none has two holders. */
  void checkFences()
  {
    const auto row = this->platform.inner.readRow(kLeaseTable, "lease");
    if (row && row.value()) {
      const std::uint64_t fence =
        leaseRecordFromText(row.value()->value)->fence;
      RC_ASSERT(fence >= this->highest);
      this->highest = fence;
    }
    for (const auto& one : this->contenders) {
      if (const auto held = one->lease.held()) {
        const auto known = this->owners.emplace(held->fence, one->holder).first;
        RC_ASSERT(known->second == one->holder);
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

  /** All faults end: soon one holds the lease. */
  void checkRecovery()
  {
    this->platform.inner.setFaults({});
    this->platform.keepNext = false;
    for (int i = 0; i < 30; ++i) {
      this->advance(std::chrono::seconds{ 1 });
      for (const auto& one : this->contenders) {
        one->lease.poll();
      }
    }
    RC_ASSERT(this->holders() == 1);
  }

private:
  static constexpr std::size_t kContenders = 3;

  void start(std::size_t aWho)
  {
    this->contenders[aWho] = std::make_unique<Contender>(
      this->platform, "run-" + std::to_string(++this->started));
  }

  LatePlatform platform;
  std::array<std::unique_ptr<Contender>, kContenders> contenders;
  int started = 0;
  std::uint64_t highest = 0;
  std::map<std::uint64_t, std::string> owners;
};

rc::Gen<std::vector<Move>>
movesOf(std::vector<Act> aActs)
{
  const auto move = rc::gen::build<Move>(
    rc::gen::set(&Move::act,
                 rc::gen::weightedOneOf<Act>(
                   { { 3, rc::gen::just(Act::Advance) },
                     { 4, rc::gen::just(Act::Poll) },
                     { 3, rc::gen::elementOf(std::move(aActs)) } })),
    rc::gen::set(&Move::who, rc::gen::inRange<std::size_t>(0, 3)),
    rc::gen::set(&Move::amount, rc::gen::inRange(1, 6'000)));
  return rc::gen::scale(4, rc::gen::container<std::vector<Move>>(move));
}

const std::vector<Act> kFaults{
  Act::Release,   Act::GiveUp,     Act::Restart, Act::KeepNextWrite, Act::Land,
  Act::LoseAfter, Act::LoseBefore, Act::Outage,  Act::Heal,
};

RC_GTEST_PROP(LeaseState, neverTwoHoldersAndNumbersOnlyGrow, ())
{
  World world;
  for (const Move& move : *movesOf(kFaults)) {
    world.apply(move);
    world.checkFences();
    RC_ASSERT(world.holders() <= 1);
  }
  world.checkRecovery();
}

// A clock that jumps ahead ends a lease early at its holder and may let a
// challenger in too soon. Then two believe in the lease for a while; that their
// numbers differ is what keeps the old one's acts out.
RC_GTEST_PROP(LeaseState, afterClockStepsNumbersStillDifferAndGrow, ())
{
  std::vector<Act> acts = kFaults;
  acts.push_back(Act::StepClock);
  World world;
  for (const Move& move : *movesOf(acts)) {
    world.apply(move);
    world.checkFences();
  }
}

} // namespace
} // namespace poplartrack
