#pragma once

#include "cli/Command.h"

namespace poplartrack {

/** poplartrack explain ID FILE... */
ExitCode
runExplain(int argc, char** argv);

} // namespace poplartrack
