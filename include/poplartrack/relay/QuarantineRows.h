#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "poplartrack/relay/RelayShared.h"
#include "poplartrack/store/PlatformLike.h"

namespace poplartrack {

/**
 * The quarantine as rows of the store, so that it outlasts the loss of all
 * relays. A row is written by the relays that saw the end that decided it, or
 * else by the one that holds the placement lease, which also deletes it when it
 * is over. One thread calls.
 */
template<PlatformLike Store>
class QuarantineRows
{
public:
  QuarantineRows(RelayShared& aShared, Store& aStore)
    : shared(aShared)
    , store(aStore)
  {
  }

  /** Reads the rows when that is due, and writes and deletes what has changed.
   */
  void refresh(TimePoint aNow)
  {
    if (this->startedAt == TimePoint{}) {
      this->startedAt = aNow;
      this->heardAt = aNow;
    }
    if (aNow < this->nextTry) {
      return;
    }
    bool done = true;
    if (this->wantsRead(aNow)) {
      done = this->read(aNow);
    }
    done = this->write() && done;
    if (!done) {
      this->nextTry = aNow + kRetryPause;
    }
  }

private:
  /** By then it is known who looks at the store for the others, and they tell
   * what they read. */
  static constexpr Duration kSettle = std::chrono::milliseconds{ 1'000 };
  /** A relay that has heard none of the others that look for this long is cut
   * off from them. Those that have just started do not hear each other yet. */
  static constexpr Duration kAlone = std::chrono::milliseconds{ 2'500 };
  /** It reads this often: nobody tells it what is new. */
  static constexpr Duration kAlonePause = std::chrono::milliseconds{ 1'000 };
  static constexpr Duration kRetryPause = std::chrono::milliseconds{ 1'500 };
  static constexpr const char* kTable = "quarantine";
  static constexpr std::size_t kMost = 4'096;

  [[nodiscard]] bool wantsRead(TimePoint aNow)
  {
    if (this->shared.storeReaders > 0 || this->shared.peers.read()->empty()) {
      this->heardAt = aNow;
    }
    if (!this->shared.polls || aNow - this->startedAt < kSettle) {
      return false;
    }
    const bool alone = aNow - this->heardAt >= kAlone;
    return alone ? aNow - this->readAt >= kAlonePause
                 : !this->wasRead && this->heardAt == aNow;
  }
  bool read(TimePoint aNow);
  bool write();
  bool remove(const std::string& aKey);

  RelayShared& shared;
  Store& store;
  TimePoint startedAt{};
  /** When others that look were heard last, or there were none to hear. */
  TimePoint heardAt{};
  TimePoint nextTry{};
  TimePoint readAt{};
  bool wasRead = false;
  /** What is known of a request's row. */
  struct Kept
  {
    bool stored = false;
    /** It was in quarantine here: what is no longer, is over. What has just
     * been read is not yet. */
    bool seen = false;
  };
  std::map<Fingerprint, Kept> kept;
};

template<PlatformLike Store>
bool
QuarantineRows<Store>::read(TimePoint aNow)
{
  const Result<std::vector<TableRow>> rows =
    this->store.scanRows(kTable, {}, {}, kMost);
  if (!rows) {
    return false;
  }
  this->wasRead = true;
  this->readAt = aNow;
  std::vector<Fingerprint> stored;
  for (const TableRow& row : rows.value()) {
    if (const auto request = fingerprintFromText(row.key)) {
      stored.push_back(*request);
      this->kept[*request].stored = true;
    }
  }
  if (*this->shared.storedQuarantine.read() != stored) {
    this->shared.storedQuarantine.replace(
      std::make_shared<const std::vector<Fingerprint>>(std::move(stored)));
  }
  return true;
}

template<PlatformLike Store>
bool
QuarantineRows<Store>::write()
{
  const auto records = this->shared.quarantine.read();
  bool done = true;
  std::set<Fingerprint> present;
  for (const QuarantineRecord& record : *records) {
    present.insert(record.request);
    Kept& row = this->kept[record.request];
    row.seen = true;
    if (!row.stored && (record.own || this->shared.holdsLease)) {
      const Result<std::vector<std::uint64_t>> written = this->store.transact(
        { TableWrite{ kTable, toText(record.request), 0, std::string{} } });
      // In a conflict another relay was first.
      row.stored = written || written.error().kind == ErrorKind::Conflict;
      done = done && row.stored;
    }
  }
  std::erase_if(this->kept, [&](const auto& aEntry) {
    const auto& [request, row] = aEntry;
    if (!row.seen || present.contains(request)) {
      return false;
    }
    const bool mine = row.stored || this->shared.holdsLease;
    const bool gone = !mine || this->remove(toText(request));
    done = done && gone;
    return gone;
  });
  return done;
}

template<PlatformLike Store>
bool
QuarantineRows<Store>::remove(const std::string& aKey)
{
  const Result<std::optional<TableRow>> row = this->store.readRow(kTable, aKey);
  if (!row) {
    return false;
  }
  if (!row.value()) {
    return true;
  }
  return this->store
    .transact(
      { TableWrite{ kTable, aKey, row.value()->version, std::nullopt } })
    .ok();
}

} // namespace poplartrack
