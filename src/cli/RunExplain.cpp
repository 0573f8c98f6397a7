#include "cli/RunExplain.h"

#include <fstream>
#include <iostream>
#include <string>

#include "cli/RequestStory.h"

namespace poplartrack {
namespace {

void
printUsage(std::ostream& aOut)
{
  aOut << "usage: poplartrack explain ID FILE...\n\n"
          "Prints what happened to the request with this id, in the order of\n"
          "time, from the logs of any number of relays. \"-\" reads standard\n"
          "input. Exit code 1: no log has the id.\n";
}

void
readEntries(std::istream& aStream, std::vector<LogEntry>& aEntries)
{
  std::string line;
  while (std::getline(aStream, line)) {
    LogEntry entry = parseLogLine(line);
    if (!entry.part.empty()) {
      aEntries.push_back(std::move(entry));
    }
  }
}

} // namespace

ExitCode
runExplain(int argc, char** argv)
{
  if (argc == 2 && std::string{ argv[1] } == "--help") {
    printUsage(std::cout);
    return ExitCode::Ok;
  }
  if (argc < 3) {
    printUsage(std::cerr);
    return ExitCode::Usage;
  }
  std::vector<LogEntry> entries;
  for (int i = 2; i < argc; ++i) {
    const std::string path = argv[i];
    if (path == "-") {
      readEntries(std::cin, entries);
      continue;
    }
    std::ifstream stream{ path };
    if (!stream) {
      std::cerr << "poplartrack explain: " << path << " cannot be read\n";
      return ExitCode::Usage;
    }
    readEntries(stream, entries);
  }
  const auto story = requestStory(argv[1], entries);
  if (story.empty()) {
    std::cerr << "poplartrack explain: no log has the id " << argv[1] << '\n';
    return ExitCode::Refused;
  }
  for (const std::string& line : story) {
    std::cout << line << '\n';
  }
  return ExitCode::Ok;
}

} // namespace poplartrack
