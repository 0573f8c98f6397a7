#include "cli/RunConfig.h"

#include <array>
#include <iostream>

namespace poplartrack {
namespace {

constexpr std::array kConfigCommands{
  Command{ "check", "check a folder and name every mistake", runConfigCheck },
  Command{ "diff", "what a push of a folder would change", runConfigDiff },
  Command{ "push", "put a folder in force as a new revision", runConfigPush },
  Command{ "pull", "write a revision's files into a folder", runConfigPull },
  Command{ "show", "print a revision, merged or as files", runConfigShow },
  Command{ "history", "list the revisions", runConfigHistory },
  Command{ "rollback",
           "put an old revision's files in force anew",
           runConfigRollback },
};

void
printUsage(std::ostream& aOut)
{
  aOut << "usage: poplartrack config COMMAND [OPTIONS]\n\n";
  for (const Command& command : kConfigCommands) {
    aOut << "  " << command.name << "\t" << command.summary << '\n';
  }
  aOut << "\npoplartrack config COMMAND --help explains a command.\n";
}

} // namespace

ExitCode
runConfig(int argc, char** argv)
{
  const std::string_view word = argc < 2 ? "" : argv[1];
  for (const Command& command : kConfigCommands) {
    if (command.name == word) {
      return command.run(argc - 1, argv + 1);
    }
  }
  if (word == "--help" || word == "help") {
    printUsage(std::cout);
    return ExitCode::Ok;
  }
  printUsage(std::cerr);
  return ExitCode::Usage;
}

} // namespace poplartrack
