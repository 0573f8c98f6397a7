#pragma once

#include "cli/Command.h"

namespace poplartrack {

/** poplartrack call: sends one request to an entry and prints its answer. */
ExitCode
runCall(int argc, char** argv);

/** poplartrack status: prints what an entry knows. */
ExitCode
runStatus(int argc, char** argv);

} // namespace poplartrack
