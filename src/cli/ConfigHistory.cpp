#include <array>
#include <ctime>
#include <iostream>

#include <nlohmann/json.hpp>

#include "cli/ConfigTools.h"
#include "cli/RunConfig.h"

namespace poplartrack {
namespace {

using Json = nlohmann::json;

std::string
timeText(std::int64_t aSeconds)
{
  const auto time = static_cast<std::time_t>(aSeconds);
  std::tm parts{};
  gmtime_r(&time, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text.data();
}

void
print(const std::vector<RevisionRecord>& aRecords)
{
  for (const RevisionRecord& record : aRecords) {
    std::cout << record.revision << "  " << timeText(record.atSeconds) << "  "
              << record.author << " ";
    for (const std::string& file : record.files) {
      std::cout << " " << file;
    }
    std::cout << (record.note.empty() ? "" : "  -- ") << record.note << '\n';
  }
}

void
printJson(const std::vector<RevisionRecord>& aRecords)
{
  Json rows = Json::array();
  for (const RevisionRecord& record : aRecords) {
    rows.push_back({ { "revision", record.revision },
                     { "at", record.atSeconds },
                     { "author", record.author },
                     { "change", record.changeId },
                     { "files", record.files },
                     { "note", record.note } });
  }
  std::cout << rows.dump(2, ' ', false, Json::error_handler_t::replace) << '\n';
}

Result<std::vector<RevisionRecord>>
latest(ConfigStore<PlatformClient>& aStore, std::size_t aLimit)
{
  const auto head = aStore.head();
  if (!head) {
    return head.error();
  }
  const std::uint64_t newest = head.value() ? head.value()->revision : 0;
  return aStore.history(newest > aLimit ? newest - aLimit : 0, aLimit);
}

} // namespace

ExitCode
runConfigHistory(int argc, char** argv)
{
  cxxopts::Options options =
    configOptions("history",
                  "Lists the latest revisions, oldest first: number, time, "
                  "author, files, note.",
                  { "--platform 10.0.0.9:9000",
                    "--platform 10.0.0.9:9000 --limit 100 --json" });
  addPlatformOption(options);
  options.add_options()("limit",
                        "at most so many",
                        cxxopts::value<std::size_t>()->default_value("20"));
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
  const auto records =
    latest(access.value()->store(), command.values["limit"].as<std::size_t>());
  if (!records) {
    return report(records.error(), json);
  }
  if (json) {
    printJson(records.value());
  } else {
    print(records.value());
  }
  return ExitCode::Ok;
}

} // namespace poplartrack
