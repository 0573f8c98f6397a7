#pragma once

#include <cstdint>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/ledger/StepVerdict.h"
#include "poplartrack/wire/RunStep.h"
#include "poplartrack/wire/TokenReady.h"

namespace poplartrack {

/** Returns the step for the next stage, from this stage's outputs. Only if the
 * verdict's isLastStage is false. */
RunStep
stepForNextStage(const RunNow& aRun,
                 const RunStep& aStep,
                 std::vector<std::uint64_t> aOutputs,
                 TimePoint aNow);

/** Returns the step that feeds the last stage's token back to the first stage.
 * Only if isLastStage is true and isLastToken is false. */
RunStep
stepForNextToken(const RunNow& aRun,
                 const RunStep& aStep,
                 std::uint32_t aToken,
                 TimePoint aNow);

/** Returns the token for the entry. Only if isLastStage is true. */
TokenReady
tokenForEntry(const RunNow& aRun, const RunStep& aStep, std::uint32_t aToken);

} // namespace poplartrack
