#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/store/PlatformLike.h"
#include "standins/lib/InstanceHistory.h"
#include "standins/lib/PlatformFaults.h"
#include "standins/lib/PlatformStats.h"
#include "standins/lib/TableStore.h"
#include "standins/lib/WeightStore.h"

namespace poplartrack::standins {

/** Bounds of the stand-in; 0: none. */
struct PlatformLimits
{
  std::uint32_t readsPerSecond = 0;
  std::uint32_t writesPerSecond = 0;
  std::uint32_t weightTransfers = 4;
  Duration weightPerLayer = std::chrono::milliseconds{ 20 };
};

/** Whether an object was new. */
enum class ObjectPut : std::uint8_t
{
  Created,
  SameBytes,
};

/**
 * The platform in one process: tables, objects, instance list and weight store,
 * with faults. Satisfies PlatformLike, so that it is also the fake of unit
 * tests. Safe to call from any thread.
 */
template<ClockLike Clock>
class PlatformStandin
{
public:
  explicit PlatformStandin(Clock& aClock, PlatformLimits aLimits = {})
    : clock(aClock)
    , limits(aLimits)
    , weights(aLimits.weightTransfers, aLimits.weightPerLayer)
  {
  }

  Result<std::optional<TableRow>> readRow(const std::string& aTable,
                                          const std::string& aKey);
  Result<std::vector<TableRow>> scanRows(const std::string& aTable,
                                         const std::string& aPrefix,
                                         const std::string& aAfter,
                                         std::size_t aLimit);
  Result<std::vector<std::uint64_t>> transact(
    const std::vector<TableWrite>& aWrites);
  Result<Done> putObject(const std::string& aName, const std::string& aBytes);
  Result<std::string> getObject(const std::string& aName);
  Result<std::vector<InstanceInfo>> listInstances();

  /** transact, with every conflict. */
  Result<CommitEnd> commit(const std::vector<TableWrite>& aWrites);
  /** putObject, telling what it did. */
  Result<ObjectPut> storeObject(const std::string& aName,
                                const std::string& aBytes);
  Result<std::variant<TransferGranted, TransferRefused>> beginTransfer(
    std::uint32_t aLayers);

  void setInstances(std::vector<InstanceInfo> aList);
  void setFaults(const PlatformFaults& aFaults);
  [[nodiscard]] PlatformFaults faults();
  [[nodiscard]] PlatformStats stats();
  /** What "slow" does: by default nothing waits. A test with a clock of its
   * own advances it here. */
  void onDelay(const std::function<void(Duration)>& aDelay);
  /** Called before each write, with no lock held: a test freezes or overtakes
   * the caller here. */
  void onWrite(const std::function<void()>& aHook);

private:
  void delay();
  void beforeWrite();
  /** Nothing when the call may go on. Needs the lock. */
  std::optional<Error> admit(RateCounter& aCounter, std::uint32_t aLimit);
  std::optional<Error> admitWrite();
  /** Whether this write's answer is lost. Needs the lock. */
  bool losesAnswer();

  Clock& clock;
  PlatformLimits limits;
  std::mutex mutex;
  TableStore tables;
  std::map<std::string, std::string> objects;
  InstanceHistory instances;
  WeightStore weights;
  PlatformFaults faultsNow;
  RateCounter reads;
  RateCounter writes;
  std::function<void(Duration)> delayHook;
  std::function<void()> writeHook;
};

} // namespace poplartrack::standins

#include "standins/lib/PlatformStandin.inl.h"
