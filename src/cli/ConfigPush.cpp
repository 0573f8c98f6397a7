#include <iostream>

#include "cli/ConfigTools.h"
#include "cli/RunConfig.h"

namespace poplartrack {
namespace {

cxxopts::Options
pushOptions()
{
  cxxopts::Options options = configOptions(
    "push",
    "Checks a folder and puts it in force as a new revision, whole or not at "
    "all. The\nfolder remembers the revision that it was pulled from; when "
    "another came between,\nthe push is refused with its files and author. "
    "--rebase then lays your edits over\nit, file by file.",
    { "settings/ --platform 10.0.0.9:9000 --note \"more for the chain\"",
      "settings/ --platform 10.0.0.9:9000 --rebase",
      "settings/ --platform 10.0.0.9:9000 --change 5f0c..." });
  addPlatformOption(options);
  addPushOptions(options);
  auto add = options.add_options();
  add("folder", "the folder", cxxopts::value<std::string>());
  add("base",
      "revision that the folder was edited from; default: as remembered",
      cxxopts::value<std::uint64_t>());
  add("rebase", "lay the edits over revisions that came between");
  options.parse_positional({ "folder" });
  options.positional_help("FOLDER");
  return options;
}

/** After a push the folder holds what is in force, and says so. */
Result<Done>
settleFolder(const std::string& aFolder,
             const std::string& aPlatform,
             const std::vector<SettingsFile>& aPushed,
             const PushOutcome& aOutcome)
{
  Result<Done> written = changeFolder(aFolder, aPushed, aOutcome.files);
  if (!written) {
    return written;
  }
  return writeBase(aFolder, aPlatform, aOutcome.revision);
}

} // namespace

ExitCode
runConfigPush(int argc, char** argv)
{
  cxxopts::Options options = pushOptions();
  const ParsedCommand command =
    parseCommand(options, { "folder", "platform" }, argc, argv);
  if (command.exit) {
    return *command.exit;
  }
  const bool json = command.values.count("json") > 0;
  const std::string folder = command.values["folder"].as<std::string>();
  auto files = readFolder(folder);
  if (!files) {
    return report(files.error(), json);
  }
  const std::string platform = command.values["platform"].as<std::string>();
  const auto access = StoreAccess::open(platform);
  if (!access) {
    return report(access.error(), json);
  }
  PushRequest request = pushRequestFrom(command.values);
  request.baseRevision = command.values.count("base") > 0
                           ? command.values["base"].as<std::uint64_t>()
                           : readBase(folder, platform);
  request.rebase = command.values.count("rebase") > 0;
  request.files = std::move(files).value();
  const auto outcome = access.value()->store().push(request);
  if (!outcome) {
    return report(outcome.error(), json);
  }
  printOutcome(outcome.value(), request.changeId, json);
  const Result<Done> settled =
    settleFolder(folder, platform, request.files, outcome.value());
  if (!settled) {
    std::cerr << "poplartrack config push: the push is in force, but: "
              << settled.error().detail << '\n';
  }
  return ExitCode::Ok;
}

} // namespace poplartrack
