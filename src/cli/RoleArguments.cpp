#include "cli/RoleArguments.h"

#include <iostream>

#include <cxxopts.hpp>

namespace poplartrack {

RoleArguments
parseRoleArguments(int argc, char** argv, const std::string& aRole)
{
  cxxopts::Options options{ "poplartrack " + aRole,
                            "Runs this instance's " + aRole +
                              " process until SIGTERM, then drains it.\n"
                              "Example: poplartrack " +
                              aRole + " --settings " + aRole + ".toml\n" };
  options.add_options()("settings",
                        "TOML file with this process's settings",
                        cxxopts::value<std::string>())("h,help", "this text");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return { {}, ExitCode::Ok };
    }
    if (parsed.count("settings") == 0) {
      std::cerr << "poplartrack " << aRole << ": --settings is missing\n";
      return { {}, ExitCode::Usage };
    }
    return { parsed["settings"].as<std::string>(), std::nullopt };
  } catch (const cxxopts::exceptions::exception& problem) {
    std::cerr << "poplartrack " << aRole << ": " << problem.what() << '\n';
    return { {}, ExitCode::Usage };
  }
}

} // namespace poplartrack
