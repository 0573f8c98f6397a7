#pragma once

#include <mutex>
#include <utility>
#include <vector>

#include "poplartrack/ledger/StepLedger.h"

namespace poplartrack {

/** The side's ledger, behind one lock. Its calls take microseconds, so finer
 * locks would cost more than they save. */
class SideLedger
{
public:
  explicit SideLedger(StepLedger aLedger)
    : ledger(std::move(aLedger))
  {
  }

  /** Runs aWork with the ledger while holding the lock. */
  template<typename Work>
  auto with(Work aWork)
  {
    const std::scoped_lock lock{ this->guard };
    return aWork(this->ledger);
  }

  /** Returns the attempts that ended since the last call, to cancel in the
   * endpoint. */
  std::vector<DroppedAttempt> takeDropped()
  {
    const std::scoped_lock lock{ this->guard };
    return this->ledger.takeDropped();
  }

private:
  std::mutex guard;
  StepLedger ledger;
};

} // namespace poplartrack
