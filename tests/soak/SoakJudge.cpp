#include "soak/SoakJudge.h"

#include <map>
#include <sstream>

namespace poplartrack::soak {
namespace {

/** The bound on keys that were taken away, as the relays' settings have it. */
constexpr std::int64_t kRevokeMs = 5'000;

constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

using Runs = std::map<std::string, std::vector<std::int64_t>>;

Runs
runsOf(const std::vector<std::string>& aLines)
{
  Runs runs;
  for (const std::string& line : aLines) {
    std::istringstream words{ line };
    std::string word;
    std::string id;
    std::int64_t at = 0;
    if (words >> word >> id >> at) {
      runs[id].push_back(at);
    }
  }
  return runs;
}

/** Whether the key had been out of force for longer than the bound. */
bool
ranTooLate(const SoakRecord& aRecord, const std::string& aKey, std::int64_t aAt)
{
  for (const KeyGap& gap : aRecord.keyGaps()) {
    const bool before = gap.to == 0 || aAt < gap.to;
    if (gap.key == aKey && aAt > gap.from + kRevokeMs && before) {
      return true;
    }
  }
  return false;
}

} // namespace

SoakVerdict
judge(const SoakRecord& aRecord, const std::vector<std::string>& aRunLines)
{
  SoakVerdict verdict;
  const Runs runs = runsOf(aRunLines);
  for (const auto& [id, call] : aRecord.all()) {
    ++verdict.calls;
    verdict.whole += call.whole ? 1 : 0;
    const bool promised =
      call.status == kTooMany || call.status == kUnavailable;
    verdict.refused += promised ? 1 : 0;
    if (!call.wrong.empty()) {
      verdict.broken.push_back(id + ": " + call.wrong);
    }
    const auto found = runs.find(id);
    if (found == runs.end()) {
      continue;
    }
    if (promised) {
      verdict.broken.push_back(id + ": refused as not run, and ran");
    }
    if (call.kind == RequestKind::Once && found->second.size() > 1) {
      verdict.broken.push_back(id + ": ran twice");
    }
    for (const std::int64_t at : found->second) {
      if (ranTooLate(aRecord, call.key, at)) {
        verdict.broken.push_back(id + ": ran with a key that was taken away");
      }
    }
  }
  for (const auto& [id, moments] : runs) {
    if (!aRecord.all().contains(id)) {
      verdict.broken.push_back(id + ": ran, and nobody sent it");
    }
  }
  return verdict;
}

} // namespace poplartrack::soak
