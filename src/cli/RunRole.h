#pragma once

#include "cli/Command.h"

namespace poplartrack {

/** poplartrack entry --settings FILE */
ExitCode
runEntry(int argc, char** argv);

/** poplartrack side --settings FILE */
ExitCode
runSide(int argc, char** argv);

} // namespace poplartrack
