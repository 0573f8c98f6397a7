#pragma once

#include "cli/Command.h"

namespace poplartrack {

/** poplartrack config: the operators' folder and its revisions. */
ExitCode
runConfig(int argc, char** argv);

/** poplartrack config check FOLDER */
ExitCode
runConfigCheck(int argc, char** argv);

/** poplartrack config diff FOLDER */
ExitCode
runConfigDiff(int argc, char** argv);

/** poplartrack config push FOLDER */
ExitCode
runConfigPush(int argc, char** argv);

/** poplartrack config pull FOLDER */
ExitCode
runConfigPull(int argc, char** argv);

/** poplartrack config show [REVISION] */
ExitCode
runConfigShow(int argc, char** argv);

/** poplartrack config history */
ExitCode
runConfigHistory(int argc, char** argv);

/** poplartrack config rollback REVISION */
ExitCode
runConfigRollback(int argc, char** argv);

} // namespace poplartrack
