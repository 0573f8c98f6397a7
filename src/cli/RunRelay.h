#pragma once

#include "cli/Command.h"

namespace poplartrack {

/** poplartrack relay --settings FILE */
ExitCode
runRelay(int argc, char** argv);

} // namespace poplartrack
