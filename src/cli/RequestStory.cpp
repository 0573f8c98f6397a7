#include "cli/RequestStory.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <set>
#include <string_view>

#include "poplartrack/observe/EventLog.h"

namespace poplartrack {
namespace {

/** What was believed about a replica this long before the request's end. */
constexpr std::int64_t kBeforeMs = 10'000;

/** Reads one value at aAt, quoted or not, and moves behind it. */
std::string
readValue(const std::string& aLine, std::size_t& aAt)
{
  std::string value;
  if (aAt < aLine.size() && aLine[aAt] == '"') {
    for (++aAt; aAt < aLine.size() && aLine[aAt] != '"'; ++aAt) {
      if (aLine[aAt] == '\\' && aAt + 1 < aLine.size()) {
        ++aAt;
      }
      value += aLine[aAt];
    }
    ++aAt;
    return value;
  }
  while (aAt < aLine.size() && aLine[aAt] != ' ') {
    value += aLine[aAt++];
  }
  return value;
}

std::string
valueOf(const LogEntry& aEntry, const std::string& aKey)
{
  const auto found = aEntry.values.find(aKey);
  return found == aEntry.values.end() ? std::string{} : found->second;
}

std::string
sentenceOf(const LogEntry& aEntry, std::int64_t aStart)
{
  std::string text = "+" + std::to_string(aEntry.millis - aStart) + " ms  " +
                     aEntry.source + aEntry.part + " " +
                     valueOf(aEntry, "event");
  for (const auto& [key, value] : aEntry.values) {
    if (key != "event" && key != "id" && key != "t_ms") {
      text.append(", ").append(key).append(" ").append(value);
    }
  }
  return text;
}

} // namespace

LogEntry
parseLogLine(const std::string& aLine)
{
  LogEntry entry;
  const std::size_t mark = aLine.find(": event=");
  if (mark == std::string::npos) {
    return entry;
  }
  const std::size_t space = aLine.rfind(' ', mark);
  const std::size_t start = space == std::string::npos ? 0 : space + 1;
  const std::string part = aLine.substr(start, mark - start);
  const bool known =
    std::find(kLogPartNames.begin(), kLogPartNames.end(), part) !=
    kLogPartNames.end();
  if (!known) {
    return entry;
  }
  entry.part = part;
  entry.source = aLine.substr(0, start);
  std::size_t at = mark + 2;
  while (at < aLine.size()) {
    const std::size_t equals = aLine.find('=', at);
    if (equals == std::string::npos) {
      break;
    }
    const std::string key = aLine.substr(at, equals - at);
    at = equals + 1;
    entry.values.insert_or_assign(key, readValue(aLine, at));
    ++at;
  }
  entry.millis = std::strtoll(valueOf(entry, "t_ms").c_str(), nullptr, 10);
  return entry;
}

std::vector<std::string>
requestStory(const std::string& aId, const std::vector<LogEntry>& aEntries)
{
  std::vector<const LogEntry*> chosen;
  std::set<std::string> replicas;
  std::int64_t end = 0;
  for (const LogEntry& entry : aEntries) {
    if (valueOf(entry, "id") == aId) {
      chosen.push_back(&entry);
      replicas.insert(valueOf(entry, "replica"));
      end = std::max(end, entry.millis);
    }
  }
  if (chosen.empty()) {
    return {};
  }
  replicas.erase("");
  for (const LogEntry& entry : aEntries) {
    const bool about = replicas.contains(valueOf(entry, "replica")) &&
                       valueOf(entry, "id").empty();
    const bool near = entry.millis <= end && end - entry.millis <= kBeforeMs;
    const bool belief =
      entry.part == "store" || entry.part == "lease" || entry.part == "process";
    if (near && (about || belief)) {
      chosen.push_back(&entry);
    }
  }
  std::stable_sort(chosen.begin(),
                   chosen.end(),
                   [](const LogEntry* aLeft, const LogEntry* aRight) {
                     return aLeft->millis < aRight->millis;
                   });
  std::vector<std::string> story;
  story.reserve(chosen.size());
  for (const LogEntry* entry : chosen) {
    story.push_back(sentenceOf(*entry, chosen.front()->millis));
  }
  return story;
}

} // namespace poplartrack
