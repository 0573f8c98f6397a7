#include <iostream>

#include <nlohmann/json.hpp>

#include "cli/ConfigTools.h"
#include "cli/RunConfig.h"
#include "poplartrack/config/FolderChange.h"

namespace poplartrack {
namespace {

using Json = nlohmann::json;

std::string
textOf(const std::vector<SettingsFile>& aFiles, const std::string& aName)
{
  for (const SettingsFile& file : aFiles) {
    if (file.name == aName) {
      return file.text;
    }
  }
  return {};
}

void
print(std::uint64_t aRevision,
      const std::vector<SettingsFile>& aOld,
      const std::vector<SettingsFile>& aNew,
      bool aJson)
{
  Json files = Json::array();
  for (const FileDifference& found : differences(aOld, aNew)) {
    const std::string lines =
      lineDifferences(textOf(aOld, found.name), textOf(aNew, found.name));
    if (aJson) {
      files.push_back({ { "name", found.name },
                        { "change", nameOf(found.change) },
                        { "lines", lines } });
    } else {
      std::cout << found.name << ": " << nameOf(found.change) << '\n' << lines;
    }
  }
  if (aJson) {
    std::cout << Json{ { "revision", aRevision }, { "files", files } }.dump(
                   2, ' ', false, Json::error_handler_t::replace)
              << '\n';
  }
}

/** The revision to compare with: the one asked for, or the one in force. */
Result<std::uint64_t>
chosenRevision(const ParsedCommand& aCommand, StoreAccess& aAccess)
{
  if (aCommand.values.count("revision") > 0) {
    return aCommand.values["revision"].as<std::uint64_t>();
  }
  const auto head = aAccess.store().head();
  if (!head) {
    return head.error();
  }
  return head.value() ? head.value()->revision : std::uint64_t{ 0 };
}

} // namespace

ExitCode
runConfigDiff(int argc, char** argv)
{
  cxxopts::Options options =
    configOptions("diff",
                  "Prints what a folder's files change against the revision in "
                  "force, or against\n--revision.",
                  { "settings/ --platform 10.0.0.9:9000",
                    "settings/ --platform 10.0.0.9:9000 --revision 41" });
  addPlatformOption(options);
  options.add_options()("folder", "the folder", cxxopts::value<std::string>())(
    "revision", "compare with this one", cxxopts::value<std::uint64_t>());
  options.parse_positional({ "folder" });
  options.positional_help("FOLDER");
  const ParsedCommand command =
    parseCommand(options, { "folder", "platform" }, argc, argv);
  if (command.exit) {
    return *command.exit;
  }
  const bool json = command.values.count("json") > 0;
  const auto files = readFolder(command.values["folder"].as<std::string>());
  if (!files) {
    return report(files.error(), json);
  }
  const auto access =
    StoreAccess::open(command.values["platform"].as<std::string>());
  if (!access) {
    return report(access.error(), json);
  }
  const auto revision = chosenRevision(command, *access.value());
  if (!revision) {
    return report(revision.error(), json);
  }
  const auto stored = access.value()->store().files(revision.value());
  if (!stored) {
    return report(stored.error(), json);
  }
  print(revision.value(), plainFiles(stored.value()), files.value(), json);
  return ExitCode::Ok;
}

} // namespace poplartrack
