#pragma once

namespace poplartrack {

/** Runs the sub-command named on the command line; returns the exit code. */
int
runCommandLine(int argc, char** argv);

} // namespace poplartrack
