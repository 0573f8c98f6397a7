#include "poplartrack/retry/CrashLedger.h"

#include <algorithm>
#include <utility>

namespace poplartrack {
namespace {

/** Replicas that end just after they began to run a request, until it is in
 * quarantine. One end takes all requests that are there; a second one so soon
 * after each beginning is chance for few. */
constexpr std::size_t kEarlyEnds = 2;

/** ... and replicas that end under it at any time. */
constexpr std::size_t kEnds = 3;

/** With this many ends no trial is made any more: whoever asks for it, few
 * replicas end under one request. */
constexpr std::size_t kEndsWithoutTrial = 5;

/** A quarantine lasts this long: after that the replicas may run another
 * version, which the request does not end. */
constexpr Duration kQuarantineTime = std::chrono::hours{ 1 };

/** Ends that put nothing into quarantine are forgotten after this. */
constexpr Duration kSuspectTime = std::chrono::minutes{ 10 };

/** News are told for this long: five words to other zones, of which some may
 * be lost. */
constexpr Duration kNewsTime = std::chrono::seconds{ 2 };

/** Requests of which something is known; above them the oldest are forgotten.
 */
constexpr std::size_t kMostSuspects = 4'096;

} // namespace

bool
CrashLedger::convicts(const Suspect& aSuspect)
{
  std::size_t early = 0;
  std::size_t all = 0;
  for (const auto& [replica, end] : aSuspect.ends) {
    early += end.weight == Weight::Early ? 1 : 0;
    all += end.weight == Weight::Excused ? 0 : 1;
  }
  return early >= kEarlyEnds || all >= kEnds;
}

CrashLedger::Suspect&
CrashLedger::suspectOf(const Fingerprint& aRequest, TimePoint aNow)
{
  const auto known = this->suspects.find(aRequest);
  if (known != this->suspects.end()) {
    known->second.latest = aNow;
    return known->second;
  }
  if (this->suspects.size() >= kMostSuspects) {
    // Those in quarantine go last: each would end two replicas more.
    const auto rank = [](const auto& aEntry) {
      return std::pair{ aEntry.second.quarantinedSince.has_value(),
                        aEntry.second.latest };
    };
    this->suspects.erase(
      std::min_element(this->suspects.begin(),
                       this->suspects.end(),
                       [&](const auto& aLeft, const auto& aRight) {
                         return rank(aLeft) < rank(aRight);
                       }));
  }
  Suspect& suspect = this->suspects[aRequest];
  suspect.latest = aNow;
  return suspect;
}

bool
CrashLedger::onCrash(const CrashReport& aReport,
                     CrashSource aSource,
                     TimePoint aNow)
{
  const Weight weight = aReport.early ? Weight::Early : Weight::Late;
  Suspect& suspect = this->suspectOf(aReport.request, aNow);
  const auto [end, isNew] =
    suspect.ends.try_emplace(aReport.replica, End{ weight, aNow });
  const bool worse =
    !isNew && end->second.weight == Weight::Late && weight == Weight::Early;
  if (worse) {
    end->second = End{ weight, aNow };
  }
  if (!isNew && !worse) {
    return false;
  }
  if (suspect.quarantinedSince || !convicts(suspect)) {
    return false;
  }
  suspect.quarantinedSince = aNow;
  suspect.own = aSource == CrashSource::Own;
  return true;
}

bool
CrashLedger::onQuarantined(const Fingerprint& aRequest,
                           Duration aAge,
                           TimePoint aNow)
{
  if (aAge >= kQuarantineTime) {
    return false;
  }
  Suspect& suspect = this->suspectOf(aRequest, aNow);
  if (suspect.servedAt && aNow - *suspect.servedAt < kNewsTime) {
    // The teller has not heard yet that it ended well.
    return false;
  }
  const bool isNew = !suspect.quarantinedSince;
  suspect.quarantinedSince =
    isNew ? aNow - aAge : std::min(*suspect.quarantinedSince, aNow - aAge);
  return isNew;
}

bool
CrashLedger::onServed(const Fingerprint& aRequest, TimePoint aNow)
{
  const auto found = this->suspects.find(aRequest);
  if (found == this->suspects.end()) {
    return false;
  }
  Suspect& suspect = found->second;
  const bool known =
    suspect.quarantinedSince ||
    std::any_of(suspect.ends.begin(), suspect.ends.end(), [](const auto& aEnd) {
      return aEnd.second.weight != Weight::Excused;
    });
  if (!known) {
    return false;
  }
  for (auto& [replica, end] : suspect.ends) {
    end.weight = Weight::Excused;
  }
  suspect.servedAt = aNow;
  suspect.latest = aNow;
  const bool ends = suspect.quarantinedSince.has_value();
  suspect.quarantinedSince.reset();
  return ends;
}

void
CrashLedger::allowTrial(const Fingerprint& aRequest, TimePoint aFrom)
{
  const auto found = this->suspects.find(aRequest);
  if (found != this->suspects.end()) {
    found->second.trialFrom = aFrom;
  }
}

bool
CrashLedger::takeTrial(const Fingerprint& aRequest, TimePoint aNow)
{
  const auto found = this->suspects.find(aRequest);
  if (found == this->suspects.end()) {
    return false;
  }
  Suspect& suspect = found->second;
  const bool allowed = suspect.trialFrom && *suspect.trialFrom <= aNow &&
                       suspect.ends.size() < kEndsWithoutTrial;
  if (allowed) {
    suspect.trialFrom.reset();
  }
  return allowed;
}

void
CrashLedger::expire(TimePoint aNow)
{
  std::erase_if(this->suspects, [aNow](const auto& aEntry) {
    const Suspect& suspect = aEntry.second;
    return suspect.quarantinedSince
             ? aNow - *suspect.quarantinedSince >= kQuarantineTime
             : aNow - suspect.latest >= kSuspectTime;
  });
}

std::optional<Duration>
CrashLedger::quarantineLeft(const Fingerprint& aRequest, TimePoint aNow) const
{
  const auto found = this->suspects.find(aRequest);
  if (found == this->suspects.end() || !found->second.quarantinedSince) {
    return std::nullopt;
  }
  const Duration left =
    *found->second.quarantinedSince + kQuarantineTime - aNow;
  return left > Duration{ 0 } ? std::optional{ left } : std::nullopt;
}

std::vector<QuarantineRecord>
CrashLedger::quarantine(TimePoint aNow) const
{
  std::vector<QuarantineRecord> records;
  for (const auto& [request, suspect] : this->suspects) {
    if (suspect.quarantinedSince) {
      records.push_back(QuarantineRecord{
        request, aNow - *suspect.quarantinedSince, suspect.own });
    }
  }
  return records;
}

std::vector<CrashReport>
CrashLedger::latestCrashes(TimePoint aNow, std::size_t aMost) const
{
  std::vector<CrashReport> latest;
  for (const auto& [request, suspect] : this->suspects) {
    for (const auto& [replica, end] : suspect.ends) {
      const bool tells = end.weight != Weight::Excused;
      if (tells && aNow - end.entered < kNewsTime) {
        latest.push_back(
          CrashReport{ request, replica, end.weight == Weight::Early });
      }
    }
  }
  std::stable_partition(
    latest.begin(), latest.end(), [](const CrashReport& aReport) {
      return aReport.early;
    });
  if (latest.size() > aMost) {
    latest.resize(aMost);
  }
  return latest;
}

std::vector<Fingerprint>
CrashLedger::latestServed(TimePoint aNow) const
{
  std::vector<Fingerprint> served;
  for (const auto& [request, suspect] : this->suspects) {
    if (suspect.servedAt && aNow - *suspect.servedAt < kNewsTime) {
      served.push_back(request);
    }
  }
  return served;
}

} // namespace poplartrack
