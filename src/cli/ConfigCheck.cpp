#include <iostream>

#include <nlohmann/json.hpp>

#include "cli/ConfigTools.h"
#include "cli/RunConfig.h"

namespace poplartrack {
namespace {

using Json = nlohmann::json;

void
printJson(const Checked<Configuration>& aMerged)
{
  Json problems = Json::array();
  for (const SettingsProblem& problem : aMerged.problems) {
    problems.push_back({ { "file", problem.file },
                         { "line", problem.line },
                         { "key", problem.key },
                         { "message", problem.message } });
  }
  std::cout << Json{ { "ok", aMerged.ok() },
                     { "problems", std::move(problems) },
                     { "models", aMerged.value.models.size() },
                     { "services", aMerged.value.services.size() },
                     { "accounts", aMerged.value.accounts.size() } }
                 .dump(2, ' ', false, Json::error_handler_t::replace)
            << '\n';
}

} // namespace

ExitCode
runConfigCheck(int argc, char** argv)
{
  cxxopts::Options options =
    configOptions("check",
                  "Merges the *.toml files of a folder in the order of their "
                  "names, checks the\nwhole and prints every mistake as "
                  "FILE:LINE: KEY: message. Needs no platform.",
                  { "settings/", "--json settings/" });
  options.add_options()("folder", "the folder", cxxopts::value<std::string>());
  options.parse_positional({ "folder" });
  options.positional_help("FOLDER");
  const ParsedCommand command = parseCommand(options, { "folder" }, argc, argv);
  if (command.exit) {
    return *command.exit;
  }
  const bool json = command.values.count("json") > 0;
  const auto files = readFolder(command.values["folder"].as<std::string>());
  if (!files) {
    return report(files.error(), json);
  }
  const Checked<Configuration> merged = mergeFolder(files.value());
  if (json) {
    printJson(merged);
  } else if (merged.ok()) {
    std::cout << "ok: " << files.value().size() << " files, "
              << merged.value.models.size() << " models, "
              << merged.value.services.size() << " services, "
              << merged.value.accounts.size() << " accounts\n";
  } else {
    std::cout << toText(merged.problems);
  }
  return merged.ok() ? ExitCode::Ok : ExitCode::Usage;
}

} // namespace poplartrack
