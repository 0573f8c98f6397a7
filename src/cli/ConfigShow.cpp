#include <iostream>

#include <nlohmann/json.hpp>

#include "cli/ConfigTools.h"
#include "cli/RunConfig.h"

namespace poplartrack {
namespace {

using Json = nlohmann::json;

Result<Done>
showFiles(ConfigStore<PlatformClient>& aStore,
          std::uint64_t aRevision,
          bool aJson)
{
  const auto files = aStore.files(aRevision);
  if (!files) {
    return files.error();
  }
  if (aJson) {
    std::cout << toText(files.value()) << '\n';
    return Done{};
  }
  for (const StoredFile& stored : files.value()) {
    std::cout << "# " << stored.file.name << " (by " << stored.changedBy
              << " in revision " << stored.changedIn << ")\n"
              << stored.file.text << '\n';
  }
  return Done{};
}

Result<Done>
showMerged(ConfigStore<PlatformClient>& aStore,
           std::uint64_t aRevision,
           bool aJson)
{
  const auto text = aStore.text(aRevision);
  if (!text) {
    return text.error();
  }
  const Json parsed = Json::parse(text.value(), nullptr, false);
  std::cout << (aJson ? text.value() : parsed.dump(2)) << '\n';
  return Done{};
}

Result<Done>
show(const ParsedCommand& aCommand, StoreAccess& aAccess)
{
  ConfigStore<PlatformClient>& store = aAccess.store();
  std::uint64_t revision = 0;
  if (aCommand.values.count("revision") > 0) {
    revision = aCommand.values["revision"].as<std::uint64_t>();
  } else {
    const auto head = store.head();
    if (!head) {
      return head.error();
    }
    if (!head.value()) {
      return fail(ErrorKind::NotFound, "there is no revision yet");
    }
    revision = head.value()->revision;
  }
  const bool json = aCommand.values.count("json") > 0;
  return aCommand.values.count("files") > 0 ? showFiles(store, revision, json)
                                            : showMerged(store, revision, json);
}

} // namespace

ExitCode
runConfigShow(int argc, char** argv)
{
  cxxopts::Options options = configOptions(
    "show",
    "Prints the revision in force, or another, merged with every "
    "default filled in,\nor as the files that were pushed with "
    "who changed each last.",
    { "--platform 10.0.0.9:9000", "41 --platform 10.0.0.9:9000 --files" });
  addPlatformOption(options);
  auto add = options.add_options();
  add("revision", "the revision", cxxopts::value<std::uint64_t>());
  add("files", "the files, not the merged form");
  options.parse_positional({ "revision" });
  options.positional_help("[REVISION]");
  const ParsedCommand command =
    parseCommand(options, { "platform" }, argc, argv);
  if (command.exit) {
    return *command.exit;
  }
  const bool json = command.values.count("json") > 0;
  const auto access =
    StoreAccess::open(command.values["platform"].as<std::string>());
  if (!access) {
    return report(access.error(), json);
  }
  const Result<Done> shown = show(command, *access.value());
  return shown ? ExitCode::Ok : report(shown.error(), json);
}

} // namespace poplartrack
