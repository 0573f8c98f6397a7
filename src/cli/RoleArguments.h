#pragma once

#include <optional>
#include <string>

#include "cli/Command.h"

namespace poplartrack {

/** The settings file's path, or the exit code when there is nothing to run. */
struct RoleArguments
{
  std::string settings;
  std::optional<ExitCode> exit;
};

/** Reads the command line of a long-running role. */
RoleArguments
parseRoleArguments(int argc, char** argv, const std::string& aRole);

} // namespace poplartrack
