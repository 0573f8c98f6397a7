#include "soak/SoakJudge.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <utility>

#include "standins/lib/UsersReplica.h"

namespace poplartrack::soak {
namespace {

/** The bound on keys that were taken away, as the relays' settings have it. */
constexpr std::int64_t kRevokeMs = 5'000;

/** Crashes under one prompt part after which the relays know it, the time until
 * all of them do, and how many more replicas may crash then. */
constexpr std::size_t kCrashesUntilKnown = 5;
constexpr std::int64_t kCrashNoticeMs = 3'000;
constexpr std::ptrdiff_t kMaxLateCrashes = 3;

/** A rejection takes this long to reach the relay, also over a slow link. */
constexpr std::int64_t kBackoffNoticeMs = 500;
constexpr std::int64_t kMaxDuringBackoff = 2;

/** The bound on new work for a replica that drains. */
constexpr std::int64_t kDrainMs = 2'000;
/** Longer than an answer takes from the replica to the caller. */
constexpr std::int64_t kAnswerMs = 4'000;

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
    if (words >> word >> id >> at && word == "run") {
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

/** A request that reached a replica while that sent a signal. */
struct Arrival
{
  std::int64_t at = 0;
  const CallRecord* call = nullptr;
  std::string id = {};
};

/** A replica and a relay. */
using Pair = std::pair<std::string, std::string>;

/** The arrivals in the lines that begin with aWord, in the order of time. */
std::map<Pair, std::vector<Arrival>>
arrivalsOf(const SoakRecord& aRecord,
           const std::vector<std::string>& aLines,
           const std::string& aWord)
{
  std::map<Pair, std::vector<Arrival>> arrivals;
  for (const std::string& line : aLines) {
    std::istringstream words{ line };
    std::string word;
    std::string replica;
    std::string id;
    std::int64_t at = 0;
    if (!(words >> word >> replica >> id >> at) || word != aWord) {
      continue;
    }
    const auto call = aRecord.all().find(id);
    if (call != aRecord.all().end()) {
      arrivals[{ replica, call->second.relay }].push_back(
        Arrival{ at, &call->second, id });
    }
  }
  for (auto& [pair, list] : arrivals) {
    std::sort(list.begin(),
              list.end(),
              [](const Arrival& aLeft, const Arrival& aRight) {
                return aLeft.at < aRight.at;
              });
  }
  return arrivals;
}

bool
wasDisturbed(const SoakRecord& aRecord,
             const Pair& aPair,
             std::int64_t aFrom,
             std::int64_t aTo)
{
  return aRecord.disturbances.overlaps(aPair.first, aFrom, aTo) ||
         aRecord.disturbances.overlaps(aPair.second, aFrom, aTo);
}

/** Holds what reached replicas against the backoffs that they asked for. */
void
judgeBackoffs(const SoakRecord& aRecord,
              const std::vector<std::string>& aLines,
              std::vector<std::string>& aBroken)
{
  for (const auto& [pair, list] : arrivalsOf(aRecord, aLines, "rejected")) {
    for (const Arrival& first : list) {
      const std::int64_t from = first.at + kBackoffNoticeMs;
      const std::int64_t to = first.at + standins::kRequestedBackoff.count();
      const auto late =
        std::count_if(list.begin(), list.end(), [&](const Arrival& aArrival) {
          return aArrival.at > from && aArrival.at < to;
        });
      if (late > kMaxDuringBackoff &&
          !wasDisturbed(aRecord, pair, first.at, to)) {
        aBroken.push_back(pair.first + ": " + std::to_string(late) +
                          " requests of " + pair.second +
                          " during a backoff from " + std::to_string(first.at));
        break;
      }
    }
  }
}

/** Holds what reached replicas against the drains that they announced. */
void
judgeDrains(const SoakRecord& aRecord,
            const std::vector<std::string>& aLines,
            std::vector<std::string>& aBroken)
{
  for (const auto& [pair, list] : arrivalsOf(aRecord, aLines, "announced")) {
    const auto passedOn =
      std::find_if(list.begin(), list.end(), [](const Arrival& aArrival) {
        return aArrival.call->whole;
      });
    for (auto later = passedOn; later != list.end(); ++later) {
      // The caller has a plain answer some ms after the replica printed this.
      const bool late =
        later->call->sentAt > passedOn->at + kDrainMs + kAnswerMs;
      if (late && !wasDisturbed(aRecord, pair, passedOn->at, later->at)) {
        aBroken.push_back(pair.first + ": a request of " + pair.second +
                          " after its drain was announced at " +
                          std::to_string(passedOn->at));
        break;
      }
    }
  }
}

/** Whether a request that a replica had taken may have been lost. */
bool
mayBeLost(const SoakRecord& aRecord, const Pair& aPair, const Arrival& aArrival)
{
  const CallRecord& call = *aArrival.call;
  const std::string service{ serviceOf(call.kind) };
  return aRecord.losses.overlaps(aPair.second, call.sentAt, call.endedAt) ||
         aRecord.losses.overlaps(service, call.sentAt, call.endedAt) ||
         // It may have had no time left.
         aRecord.stops.overlaps(aPair.second, call.sentAt, call.sentAt) ||
         aRecord.headStops.overlaps(aPair.first, call.sentAt, aArrival.at);
}

/** Whether the replica fell silent after it had taken the request and before
 * that had ended. */
bool
metSilence(const SoakRecord& aRecord,
           const std::string& aReplica,
           const Arrival& aArrival)
{
  const std::vector<Span>& silences = aRecord.silences.all();
  return std::any_of(
    silences.begin(), silences.end(), [&](const Span& aSilence) {
      return aSilence.who == aReplica && aArrival.at <= aSilence.from &&
             aArrival.call->endedAt >= aSilence.from;
    });
}

/** Finds requests that a replica had taken before it fell silent and that were
 * not answered whole. */
void
judgeSilences(const SoakRecord& aRecord,
              const std::vector<std::string>& aLines,
              SoakVerdict& aVerdict)
{
  for (const auto& [pair, list] : arrivalsOf(aRecord, aLines, "took")) {
    for (const Arrival& arrival : list) {
      if (!metSilence(aRecord, pair.first, arrival) ||
          mayBeLost(aRecord, pair, arrival)) {
        continue;
      }
      ++aVerdict.throughSilence;
      if (!arrival.call->whole) {
        aVerdict.broken.push_back(
          arrival.id + ": taken by " + pair.first + " at " +
          std::to_string(arrival.at) + " before its silence, and ended with " +
          std::to_string(arrival.call->status) + " at " +
          std::to_string(arrival.call->endedAt) + ", not whole");
      }
    }
  }
}

/** Holds the crashes under a prompt part against their bound: few requests with
 * it reach replicas once five have crashed and the relays could know it. */
void
judgeCrashes(const std::vector<std::string>& aLines,
             std::vector<std::string>& aBroken)
{
  std::vector<std::int64_t> crashes;
  for (const std::string& line : aLines) {
    std::istringstream words{ line };
    std::string what;
    std::string replica;
    std::string id;
    std::int64_t at = 0;
    if (words >> what >> replica >> id >> at && what == "crashed") {
      crashes.push_back(at);
    }
  }
  if (crashes.size() < kCrashesUntilKnown) {
    return;
  }
  std::sort(crashes.begin(), crashes.end());
  const std::int64_t known = crashes[kCrashesUntilKnown - 1] + kCrashNoticeMs;
  const auto late =
    std::count_if(crashes.begin(), crashes.end(), [known](std::int64_t aAt) {
      return aAt > known;
    });
  if (late > kMaxLateCrashes) {
    aBroken.push_back(std::to_string(late) + " of " +
                      std::to_string(crashes.size()) +
                      " replicas crashed under a part that was known");
  }
}

/** Finds requests that were held back for their account's share though it had
 * no others, and counts all that were. */
void
judgeShares(const SoakRecord& aRecord,
            const std::vector<std::string>& aLines,
            SoakVerdict& aVerdict)
{
  constexpr std::string_view kBegin = "path: event=beyond_share id=";
  for (const std::string& line : aLines) {
    if (!line.starts_with(kBegin)) {
      continue;
    }
    ++aVerdict.beyondShare;
    const std::string id =
      line.substr(kBegin.size(), line.find(' ', kBegin.size()) - kBegin.size());
    const auto call = aRecord.all().find(id);
    if (call != aRecord.all().end() && call->second.alone) {
      aVerdict.broken.push_back(
        id + ": beyond its account's share, without others of it");
    }
  }
}

/** Whether an answer says that the desired state does not let a request in. */
bool
isDenial(int aStatus)
{
  constexpr int kFirstClientError = 400;
  constexpr int kFirstServerError = 500;
  constexpr int kTimeout = 408;
  constexpr int kMisdirected = 421;
  return aStatus >= kFirstClientError && aStatus < kFirstServerError &&
         aStatus != kTimeout && aStatus != kMisdirected && aStatus != kTooMany;
}

/** How many of the states that may be in force let a request in. */
struct Admissions
{
  std::size_t states = 0;
  std::size_t allowing = 0;
};

Admissions
admissionsOf(const SoakRecord& aRecord,
             const CallRecord& aCall,
             std::int64_t aUntil)
{
  const std::vector<DesiredState>& states = aRecord.states;
  Admissions admissions;
  for (std::size_t i = 0; i < states.size(); ++i) {
    const bool replaced =
      i + 1 < states.size() && states[i + 1].from < aCall.sentAt - kRevokeMs;
    if (!replaced && states[i].from <= aUntil) {
      ++admissions.states;
      admissions.allowing += allows(states[i], aCall) ? 1 : 0;
    }
  }
  return admissions;
}

/** Holds a call against what the operator declared. */
void
judgeAdmission(const SoakRecord& aRecord,
               const std::string& aId,
               const CallRecord& aCall,
               const std::vector<std::int64_t>& aRuns,
               std::vector<std::string>& aBroken)
{
  for (const std::int64_t at : aRuns) {
    const Admissions until = admissionsOf(aRecord, aCall, at);
    if (until.states > 0 && until.allowing == 0) {
      aBroken.push_back(aId + ": ran with key \"" + aCall.key + "\" and " +
                        std::to_string(aCall.bodyBytes) +
                        " bytes, which no desired state allows, at " +
                        std::to_string(at) + " on " + aCall.relay);
    }
  }
  const Admissions until = admissionsOf(aRecord, aCall, aCall.endedAt);
  if (isDenial(aCall.status) && until.states > 0 &&
      until.allowing == until.states) {
    aBroken.push_back(aId + ": refused with " + std::to_string(aCall.status) +
                      " at " + std::to_string(aCall.endedAt) + " by " +
                      aCall.relay + ", though each desired state allows it");
  }
}

} // namespace

SoakVerdict
judge(const SoakRecord& aRecord, const std::vector<std::string>& aLines)
{
  SoakVerdict verdict;
  judgeBackoffs(aRecord, aLines, verdict.broken);
  judgeDrains(aRecord, aLines, verdict.broken);
  judgeCrashes(aLines, verdict.broken);
  judgeShares(aRecord, aLines, verdict);
  judgeSilences(aRecord, aLines, verdict);
  const Runs runs = runsOf(aLines);
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
    judgeAdmission(aRecord,
                   id,
                   call,
                   found == runs.end() ? std::vector<std::int64_t>{}
                                       : found->second,
                   verdict.broken);
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
