#include <iostream>

#include <nlohmann/json.hpp>

#include "cli/ConfigTools.h"
#include "cli/RunConfig.h"
#include "poplartrack/config/FolderChange.h"

namespace poplartrack {
namespace {

/** Files with edits that nobody pushed; empty when there is none. */
Result<std::vector<FileDifference>>
unpushedEdits(const std::string& aFolder,
              const std::string& aPlatform,
              StoreAccess& aAccess)
{
  const auto files = readFolder(aFolder);
  if (!files) {
    // No folder, or no file in it: nothing to lose.
    return std::vector<FileDifference>{};
  }
  const auto base = aAccess.store().files(readBase(aFolder, aPlatform));
  if (!base) {
    return base.error();
  }
  return differences(plainFiles(base.value()), files.value());
}

Result<std::uint64_t>
wantedRevision(const ParsedCommand& aCommand, StoreAccess& aAccess)
{
  if (aCommand.values.count("revision") > 0) {
    return aCommand.values["revision"].as<std::uint64_t>();
  }
  const auto head = aAccess.store().head();
  if (!head) {
    return head.error();
  }
  if (!head.value()) {
    return fail(ErrorKind::NotFound, "there is no revision yet");
  }
  return head.value()->revision;
}

Result<std::uint64_t>
pull(const ParsedCommand& aCommand, StoreAccess& aAccess)
{
  const std::string folder = aCommand.values["folder"].as<std::string>();
  const std::string platform = aCommand.values["platform"].as<std::string>();
  if (aCommand.values.count("force") == 0) {
    const auto edits = unpushedEdits(folder, platform, aAccess);
    if (!edits) {
      return edits.error();
    }
    if (!edits.value().empty()) {
      std::string names;
      for (const FileDifference& edit : edits.value()) {
        names += " " + edit.name;
      }
      return fail(ErrorKind::Conflict,
                  "edits that were not pushed would be lost:" + names +
                    "; push them, or pull with --force");
    }
  }
  const auto revision = wantedRevision(aCommand, aAccess);
  if (!revision) {
    return revision.error();
  }
  const auto files = aAccess.store().files(revision.value());
  if (!files) {
    return files.error();
  }
  const auto there = readFolder(folder);
  const Result<Done> written =
    changeFolder(folder,
                 there ? there.value() : std::vector<SettingsFile>{},
                 plainFiles(files.value()));
  if (!written) {
    return written.error();
  }
  const Result<Done> based = writeBase(folder, platform, revision.value());
  if (!based) {
    return based.error();
  }
  return revision.value();
}

} // namespace

ExitCode
runConfigPull(int argc, char** argv)
{
  cxxopts::Options options =
    configOptions("pull",
                  "Writes the files of the revision in force, or of "
                  "--revision, into a folder and\nremembers the revision "
                  "there. Edits that were not pushed are not overwritten.",
                  { "settings/ --platform 10.0.0.9:9000",
                    "old/ --platform 10.0.0.9:9000 --revision 41" });
  addPlatformOption(options);
  auto add = options.add_options();
  add("folder", "the folder", cxxopts::value<std::string>());
  add("revision", "pull this one", cxxopts::value<std::uint64_t>());
  add("force", "overwrite edits that were not pushed");
  options.parse_positional({ "folder" });
  options.positional_help("FOLDER");
  const ParsedCommand command =
    parseCommand(options, { "folder", "platform" }, argc, argv);
  if (command.exit) {
    return *command.exit;
  }
  const bool json = command.values.count("json") > 0;
  const auto access =
    StoreAccess::open(command.values["platform"].as<std::string>());
  if (!access) {
    return report(access.error(), json);
  }
  const auto revision = pull(command, *access.value());
  if (!revision) {
    return report(revision.error(), json);
  }
  if (json) {
    std::cout << nlohmann::json{ { "revision", revision.value() } }.dump(2)
              << '\n';
  } else {
    std::cout << "pulled revision " << revision.value() << '\n';
  }
  return ExitCode::Ok;
}

} // namespace poplartrack
