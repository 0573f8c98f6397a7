#include "poplartrack/fleet/ExpectedReturns.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace poplartrack {
namespace {

/** The due times in two reports of one booking differ by less than this: they
 * are rounded to milliseconds, as is the age of a forwarded message. */
constexpr Duration kSameDue = std::chrono::milliseconds{ 3 };

} // namespace

/** Adds an entry. If there are too many, drops the one that is due last, which
 * may be the new one. Returns whether the new one was added. */
bool
ExpectedReturns::insert(const Entry& aEntry)
{
  if (this->entries.size() >= kMaxEntries) {
    const auto last = std::prev(this->byDue.end());
    if (aEntry.due >= last->first) {
      return false;
    }
    this->erase(last->second);
  }
  const auto inserted = this->entries.insert(this->entries.end(), aEntry);
  this->byContent.emplace(aEntry.content, inserted);
  this->byDue.emplace(aEntry.due, inserted);
  return true;
}

ExpectedReturns::DueIndex::iterator
ExpectedReturns::findDue(EntryList::iterator aEntry)
{
  const auto [first, last] = this->byDue.equal_range(aEntry->due);
  return std::find_if(first, last, [aEntry](const auto& aIndexed) {
    return aIndexed.second == aEntry;
  });
}

/** Removes an entry. Returns the one after it. */
ExpectedReturns::EntryList::iterator
ExpectedReturns::erase(EntryList::iterator aEntry)
{
  const auto [first, last] = this->byContent.equal_range(aEntry->content);
  this->byContent.erase(
    std::find_if(first, last, [aEntry](const auto& aIndexed) {
      return aIndexed.second == aEntry;
    }));
  this->byDue.erase(this->findDue(aEntry));
  return this->entries.erase(aEntry);
}

void
ExpectedReturns::add(std::uint32_t aContent,
                     std::uint16_t aService,
                     TimePoint aDue,
                     TimePoint aNow)
{
  Entry entry;
  entry.content = aContent;
  entry.service = aService;
  entry.due = aDue;
  entry.addedAt = aNow;
  this->insert(entry);
}

/** Returns the entry that an earlier message of the same peer has reported,
 * if there is one. Its clock identifies the booking: the due time there
 * is the same in each message. */
std::optional<ExpectedReturns::EntryList::iterator>
ExpectedReturns::findReported(const ReturnSource& aSource,
                              const ReturnReport& aReport)
{
  const TimePoint dueAtPeer = aSource.peerTime + aReport.dueIn;
  const auto [first, last] = this->byContent.equal_range(aReport.content);
  const auto found = std::find_if(first, last, [&](const auto& aIndexed) {
    const Entry& entry = *aIndexed.second;
    if (entry.peer != aSource.peer || entry.message == this->messages) {
      return false;
    }
    // A return that is due already is reported as due now.
    const bool isOverdue =
      aReport.dueIn == Duration{ 0 } && entry.dueAtPeer <= dueAtPeer + kSameDue;
    return isOverdue ||
           std::chrono::abs(entry.dueAtPeer - dueAtPeer) <= kSameDue;
  });
  return found == last ? std::nullopt : std::optional{ found->second };
}

std::vector<ReturnReport>
ExpectedReturns::onPeer(const ReturnSource& aSource,
                        const std::vector<ReturnReport>& aReports,
                        TimePoint aNow)
{
  ++this->messages;
  std::vector<ReturnReport> added;
  for (const ReturnReport& report : aReports) {
    const TimePoint due = aNow + report.dueIn;
    if (report.dueIn > kMaxAhead) {
      continue;
    }
    if (const auto known = this->findReported(aSource, report)) {
      Entry& entry = **known;
      entry.message = this->messages;
      // The message that came fastest gives the best estimate.
      if (due < entry.due) {
        this->byDue.erase(this->findDue(*known));
        entry.due = due;
        this->byDue.emplace(due, *known);
      }
      continue;
    }
    Entry entry;
    entry.content = report.content;
    entry.service = report.service;
    entry.peer = aSource.peer;
    entry.due = due;
    entry.dueAtPeer = aSource.peerTime + report.dueIn;
    entry.addedAt = aNow;
    entry.message = this->messages;
    if (this->insert(entry)) {
      added.push_back(report);
    }
  }
  return added;
}

std::optional<Duration>
ExpectedReturns::take(std::uint32_t aContent, TimePoint aNow)
{
  const auto [first, last] = this->byContent.equal_range(aContent);
  Entry* earliest = nullptr;
  std::for_each(first, last, [&](const auto& aIndexed) {
    Entry& entry = *aIndexed.second;
    const bool isExpected =
      !entry.used && aNow >= entry.due - kEarly && aNow <= entry.due + kLate;
    if (isExpected && (earliest == nullptr || entry.due < earliest->due)) {
      earliest = &entry;
    }
  });
  if (earliest == nullptr) {
    return std::nullopt;
  }
  earliest->used = true;
  return aNow - earliest->due;
}

void
ExpectedReturns::expire(TimePoint aNow)
{
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    // Reports of a return that is due at once go on for a while.
    const TimePoint end =
      std::max(entry->due + kLate, entry->addedAt + kReportTime);
    entry = aNow > end ? this->erase(entry) : std::next(entry);
  }
}

std::vector<ReturnReport>
ExpectedReturns::recentOwn(TimePoint aSentAt, std::size_t aMax) const
{
  std::vector<ReturnReport> reports;
  for (auto entry = this->entries.rbegin();
       entry != this->entries.rend() && reports.size() < aMax;
       ++entry) {
    if (aSentAt - entry->addedAt > kReportTime) {
      break;
    }
    if (entry->peer == 0) {
      reports.push_back(
        ReturnReport{ entry->content,
                      entry->service,
                      std::max(entry->due - aSentAt, Duration{ 0 }) });
    }
  }
  return reports;
}

} // namespace poplartrack
