#include "cli/Main.h"

#include <array>
#include <iostream>

#include "cli/Command.h"
#include "cli/RunCall.h"
#include "cli/RunConfig.h"
#include "cli/RunExplain.h"
#include "cli/RunRelay.h"
#include "cli/RunRole.h"

namespace poplartrack {
namespace {

ExitCode
runVersion(int /*argc*/, char** /*argv*/)
{
  std::cout << "poplartrack " << POPLARTRACK_VERSION << '\n';
  return ExitCode::Ok;
}

constexpr std::array kCommands{
  Command{ "entry", "run this instance's entry process", runEntry },
  Command{ "relay",
           "run this instance's relay: engines that relay among themselves",
           runRelay },
  Command{ "side", "run the process beside one endpoint", runSide },
  Command{ "config", "check and change the operators' settings", runConfig },
  Command{ "call", "send one request and print its answer", runCall },
  Command{ "explain", "tell one request's story from logs", runExplain },
  Command{ "status", "print what an entry knows", runStatus },
  Command{ "version", "print the version", runVersion },
};

void
printUsage(std::ostream& aOut)
{
  aOut << "usage: poplartrack COMMAND [OPTIONS]\n\n";
  for (const Command& command : kCommands) {
    aOut << "  " << command.name << "\t" << command.summary << '\n';
  }
  aOut << "\npoplartrack COMMAND --help explains a command.\n";
}

} // namespace

int
runCommandLine(int argc, char** argv)
{
  if (argc < 2) {
    printUsage(std::cerr);
    return static_cast<int>(ExitCode::Usage);
  }
  const std::string_view word = argv[1];
  if (word == "--help" || word == "help") {
    printUsage(std::cout);
    return static_cast<int>(ExitCode::Ok);
  }
  for (const Command& command : kCommands) {
    if (command.name == word) {
      return static_cast<int>(command.run(argc - 1, argv + 1));
    }
  }
  std::cerr << "poplartrack: there is no command \"" << word << "\"\n";
  printUsage(std::cerr);
  return static_cast<int>(ExitCode::Usage);
}

} // namespace poplartrack
