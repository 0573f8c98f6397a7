#pragma once

#include <mutex>
#include <utility>

#include "poplartrack/admit/AdmissionControl.h"
#include "poplartrack/retry/RetryBudget.h"
#include "poplartrack/route/RouteChooser.h"

namespace poplartrack {

/**
 * The entry's decisions, behind one lock. An entry makes some tens of decisions
 * a second, each in some tens of microseconds, so there is hardly any
 * contention. Since each decision sees the earlier ones at once, they do not
 * all choose the same endpoint.
 */
class Decider
{
public:
  Decider(RouteChooser aChooser,
          AdmissionControl aAdmission,
          const RetryBudgetPolicy& aBudget)
    : chooser(std::move(aChooser))
    , admission(std::move(aAdmission))
    , budget(aBudget)
  {
  }

  /** Runs aWork(chooser, admission, budget) while holding the lock. */
  template<typename Work>
  auto with(Work aWork)
  {
    const std::scoped_lock lock{ this->guard };
    return aWork(this->chooser, this->admission, this->budget);
  }

private:
  std::mutex guard;
  RouteChooser chooser;
  AdmissionControl admission;
  RetryBudget budget;
};

} // namespace poplartrack
