#include "cli/ConfigTools.h"
#include "cli/RunConfig.h"

namespace poplartrack {

ExitCode
runConfigRollback(int argc, char** argv)
{
  cxxopts::Options options = configOptions(
    "rollback",
    "Puts the files of an old revision in force as a new, higher revision. "
    "Revisions\nnever go back, so every process takes it as it takes any "
    "other.",
    { "41 --platform 10.0.0.9:9000 --note \"42 was too tight\"" });
  addPlatformOption(options);
  addPushOptions(options);
  options.add_options()(
    "revision", "the old revision", cxxopts::value<std::uint64_t>());
  options.parse_positional({ "revision" });
  options.positional_help("REVISION");
  const ParsedCommand command =
    parseCommand(options, { "revision", "platform" }, argc, argv);
  if (command.exit) {
    return *command.exit;
  }
  const bool json = command.values.count("json") > 0;
  const auto access =
    StoreAccess::open(command.values["platform"].as<std::string>());
  if (!access) {
    return report(access.error(), json);
  }
  const auto revision = command.values["revision"].as<std::uint64_t>();
  PushRequest request = pushRequestFrom(command.values);
  if (request.note.empty()) {
    request.note = "roll-back to " + std::to_string(revision);
  }
  const auto outcome = access.value()->store().rollback(revision, request);
  if (!outcome) {
    return report(outcome.error(), json);
  }
  printOutcome(outcome.value(), request.changeId, json);
  return ExitCode::Ok;
}

} // namespace poplartrack
