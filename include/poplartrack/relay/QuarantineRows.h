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
#include "poplartrack/store/StoreVersion.h"

namespace poplartrack {

/**
 * Keeps the quarantine as rows of the store, one for each suspect, so that it
 * survives the loss of all relays. A row is written by the relays that observed
 * the deciding crash, or else by the holder of the placement lease. It is
 * deleted when the quarantine is over. Not thread-safe.
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

  /** Reads the rows if a read is due, writes rows for new quarantines and
   * deletes those of quarantines that are over. */
  void refresh(TimePoint aNow)
  {
    if (this->startedAt == TimePoint{}) {
      this->startedAt = aNow;
      this->lastConnectedAt = aNow;
    }
    if (aNow < this->nextAttempt) {
      return;
    }
    this->checkEpoch();
    bool succeeded = true;
    if (this->isReadDue(aNow)) {
      succeeded = this->readRows(aNow);
    }
    succeeded = this->writeChanges() && succeeded;
    if (!succeeded) {
      this->nextAttempt = aNow + kRetryDelay;
    }
  }

private:
  /** No read until this long after the start. By then the store readers are
   * chosen, and they report what they read to the others. */
  static constexpr Duration kStartupDelay = std::chrono::milliseconds{ 1'000 };
  /** A relay that has received nothing from any store reader for this long is
   * isolated. Relays that have just started do not know each other yet, so the
   * timeout is longer than kStartupDelay. */
  static constexpr Duration kIsolationTimeout =
    std::chrono::milliseconds{ 2'500 };
  /** An isolated relay reads this often, as nobody reports changes to it. */
  static constexpr Duration kIsolatedReadInterval =
    std::chrono::milliseconds{ 1'000 };
  /** Delay after a call that failed. */
  static constexpr Duration kRetryDelay = std::chrono::milliseconds{ 1'500 };
  static constexpr const char* kTable = "quarantine";
  /** Most rows that one read takes. */
  static constexpr std::size_t kMaxRows = 4'096;

  /** After a restore of the store, nothing is known of its rows. */
  void checkEpoch()
  {
    const std::uint64_t epoch = epochOf(this->shared.listVersion);
    if (epoch == this->rowsEpoch) {
      return;
    }
    this->rowsEpoch = epoch;
    this->hasRead = false;
    for (auto& [id, row] : this->rowStates) {
      row.stored = false;
    }
  }
  /** Returns whether to read the rows now: once while connected to other store
   * readers or without peers, and regularly while isolated. */
  [[nodiscard]] bool isReadDue(TimePoint aNow)
  {
    if (this->shared.storeReaders > 0 || this->shared.peers.read()->empty()) {
      this->lastConnectedAt = aNow;
    }
    if (!this->shared.polls || aNow - this->startedAt < kStartupDelay) {
      return false;
    }
    const bool isolated = aNow - this->lastConnectedAt >= kIsolationTimeout;
    return isolated ? aNow - this->readAt >= kIsolatedReadInterval
                    : !this->hasRead && this->lastConnectedAt == aNow;
  }
  /** Reads all rows and publishes them. Returns false if the store failed. */
  bool readRows(TimePoint aNow);
  /** Writes and deletes the rows that are due. Returns false if a call to the
   * store failed. */
  bool writeChanges();
  /** Deletes a row. Returns true if it is no longer stored. */
  bool removeRow(const std::string& aKey);

  RelayShared& shared;
  Store& store;
  /** When refresh() was first called. */
  TimePoint startedAt{};
  /** When this relay last knew another store reader or had no peers. */
  TimePoint lastConnectedAt{};
  /** No call before this time. */
  TimePoint nextAttempt{};
  /** When the rows were last read. */
  TimePoint readAt{};
  /** The rows have been read at least once. */
  bool hasRead = false;
  /** Epoch of the store to which hasRead and rowStates apply. */
  std::uint64_t rowsEpoch = 0;
  /** What this relay knows of a suspect's row. */
  struct RowState
  {
    /** The store has the row. */
    bool stored = false;
    /** The suspect has been in quarantine at this relay. If it no longer is,
     * its quarantine is over. A row that has just been read is not in
     * quarantine here yet, and must not be deleted for that. */
    bool quarantinedHere = false;
  };
  std::map<Fingerprint, RowState> rowStates;
};

template<PlatformLike Store>
bool
QuarantineRows<Store>::readRows(TimePoint aNow)
{
  const Result<std::vector<TableRow>> rows =
    this->store.scanRows(kTable, {}, {}, kMaxRows);
  if (!rows) {
    return false;
  }
  this->hasRead = true;
  this->readAt = aNow;
  std::vector<Suspect> stored;
  for (const TableRow& row : rows.value()) {
    const auto id = fingerprintFromText(row.key);
    const auto suspect = id ? suspectFromStore(*id, row.value) : std::nullopt;
    if (suspect) {
      stored.push_back(*suspect);
      this->rowStates[suspect->id].stored = true;
    }
  }
  if (*this->shared.storedQuarantine.read() != stored) {
    this->shared.storedQuarantine.replace(
      std::make_shared<const std::vector<Suspect>>(std::move(stored)));
  }
  return true;
}

template<PlatformLike Store>
bool
QuarantineRows<Store>::writeChanges()
{
  const auto records = this->shared.quarantine.read();
  bool succeeded = true;
  std::set<Fingerprint> quarantined;
  for (const QuarantineRecord& record : *records) {
    const Suspect& suspect = record.suspect;
    quarantined.insert(suspect.id);
    RowState& row = this->rowStates[suspect.id];
    row.quarantinedHere = true;
    if (!row.stored && (record.own || this->shared.holdsLease)) {
      const Result<std::vector<std::uint64_t>> written = this->store.transact(
        { TableWrite{ kTable, toText(suspect.id), 0, storedText(suspect) } });
      // A conflict means that another relay has written the row.
      row.stored = written || written.error().kind == ErrorKind::Conflict;
      succeeded = succeeded && row.stored;
    }
  }
  std::erase_if(this->rowStates, [&](const auto& aEntry) {
    const auto& [id, row] = aEntry;
    if (!row.quarantinedHere || quarantined.contains(id)) {
      return false;
    }
    // The other relays that know of the quarantine leave the row alone.
    const bool responsible = row.stored || this->shared.holdsLease;
    const bool removed = !responsible || this->removeRow(toText(id));
    succeeded = succeeded && removed;
    return removed;
  });
  return succeeded;
}

template<PlatformLike Store>
bool
QuarantineRows<Store>::removeRow(const std::string& aKey)
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
