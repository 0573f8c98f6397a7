#include "cli/Unreached.h"

#include <iostream>

namespace poplartrack {

ExitCode
unreached(const HttpResult& aResult)
{
  std::cerr << "no answer: " << aResult.detail << '\n';
  return aResult.outcome == CallOutcome::NotSent ? ExitCode::Unreachable
                                                 : ExitCode::Unknown;
}

} // namespace poplartrack
