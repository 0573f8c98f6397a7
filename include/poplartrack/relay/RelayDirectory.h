#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "poplartrack/relay/RelaySettings.h"
#include "poplartrack/relay/RelayShared.h"
#include "poplartrack/store/PlatformLike.h"
#include "poplartrack/store/StoreVersion.h"

namespace poplartrack {

/**
 * The contacts of a region, kept as rows of the store: in each availability
 * zone, a few relays at which the others learn what the fleet knows. A row has
 * the address at which its relay receives datagrams and hands out snapshots.
 *
 * If each relay had a row, a start of all would be as many writes at once, and
 * each relay would read as many rows. So a relay writes one only while its zone
 * has fewer than kContactsPerZone. Not thread-safe.
 */
template<PlatformLike Store>
class RelayDirectory
{
public:
  RelayDirectory(const RelaySettings& aSettings,
                 RelayShared& aShared,
                 Store& aStore)
    : settings(aSettings)
    , shared(aShared)
    , store(aStore)
  {
  }

  /** Reads the rows when a read is due, and writes this relay's row while its
   * zone needs it. */
  void refresh(TimePoint aNow)
  {
    if (aNow < this->nextAttempt) {
      return;
    }
    bool succeeded = !this->isReadDue(aNow) || this->readRows(aNow);
    if (succeeded && this->mayRegister()) {
      succeeded = this->registerSelf();
    }
    if (!succeeded) {
      this->nextAttempt = aNow + kRetryDelay;
    }
  }

  /** Returns whether the rows have been read. */
  [[nodiscard]] bool hasRead() const { return this->readAt.has_value(); }
  /** Returns whether this relay is a contact. */
  [[nodiscard]] bool isContact() const { return this->registered; }
  /** Returns the other contacts: those of this zone, or all if it has none. */
  [[nodiscard]] const std::vector<Address>& contacts() const
  {
    return this->zoneContacts.empty() ? this->allContacts : this->zoneContacts;
  }
  /** Makes this relay a contact although its zone seems to have enough: none of
   * them answers. */
  void replaceContacts() { this->contactsSilent = true; }

private:
  /** Number of contacts in each zone. A relay that starts asks one after the
   * other, so several may be down. */
  static constexpr std::size_t kContactsPerZone = 4;
  /** Interval between reads by a contact. */
  static constexpr Duration kReadInterval = std::chrono::seconds{ 20 };
  /** A new contact reads the rows again after this time: others may have become
   * contacts at the same moment, and none of them has read the others' rows. */
  static constexpr Duration kSettleTime = std::chrono::seconds{ 1 };
  /** Delay after a call that failed. Retries in every housekeeping round, four
   * times a second, are most of the calls that relays make to an unavailable
   * store: up to 770 calls in 8 s with 24 relays. */
  static constexpr Duration kRetryDelay = std::chrono::milliseconds{ 1'500 };
  static constexpr const char* kTable = "relays";
  /** Most rows of one region. */
  static constexpr std::size_t kMaxRows = 1'000;
  /** A relay waits for as long as its link takes for this many megabits before
   * it becomes a contact, so that the relays with the fastest links do. A
   * contact sends up to some hundred kilobytes to each relay that starts. */
  static constexpr double kWaitMegabits = 10;
  /** Below this wait, a relay becomes a contact without a second read. */
  static constexpr Duration kShortWait = std::chrono::milliseconds{ 20 };

  /** Returns how long this relay waits before it becomes a contact. */
  [[nodiscard]] Duration registrationWait() const
  {
    constexpr double kMicrosPerSecond = 1e6;
    return Duration{ static_cast<Duration::rep>(
      kMicrosPerSecond * kWaitMegabits / this->settings.linkMbps) };
  }
  /** Returns whether the zone has fewer contacts than it needs. */
  [[nodiscard]] bool isNeeded() const
  {
    return this->contactsSilent || this->zoneContacts.size() < kContactsPerZone;
  }
  /** Returns whether the store was restored since the rows were read. It may
   * lack this relay's row then. */
  [[nodiscard]] bool isStoreRestored() const
  {
    return epochOf(this->shared.listVersion) > this->readEpoch;
  }
  [[nodiscard]] bool isReadDue(TimePoint aNow) const
  {
    if (!this->readAt || this->writeFailed) {
      return true;
    }
    const Duration age = aNow - *this->readAt;
    if (this->registered) {
      return this->isStoreRestored() ||
             age >= (this->settled ? kReadInterval : kSettleTime);
    }
    return this->isNeeded() && this->reads == 1 &&
           age >= this->registrationWait() &&
           this->registrationWait() > kShortWait;
  }
  [[nodiscard]] bool mayRegister() const
  {
    const bool waited =
      this->reads > 1 || this->registrationWait() <= kShortWait;
    return this->readAt && !this->registered && this->isNeeded() && waited;
  }
  /** Writes this relay's row. Returns false if the store failed. */
  bool registerSelf();
  /** Reads all rows and adds their addresses to the known relays. Returns false
   * if the store failed. */
  bool readRows(TimePoint aNow);
  /** Takes over one row. */
  void addRow(const TableRow& aRow);
  [[nodiscard]] std::string zonePrefix() const
  {
    return this->settings.region + "/" + this->settings.zone + "/";
  }
  [[nodiscard]] std::string ownKey() const
  {
    return this->zonePrefix() + this->settings.name;
  }

  const RelaySettings& settings;
  RelayShared& shared;
  Store& store;
  /** The store has this relay's row. */
  bool registered = false;
  /** The rows have been read again since this relay has a row. */
  bool settled = false;
  /** No contact of the zone answers. */
  bool contactsSilent = false;
  /** The latest write failed; the row may have changed. */
  bool writeFailed = false;
  /** When the rows were last read. */
  std::optional<TimePoint> readAt;
  /** Epoch of the store before the latest read. */
  std::uint64_t readEpoch = 0;
  /** How often the rows have been read. */
  std::size_t reads = 0;
  /** Version of this relay's row; 0: there is none. */
  std::uint64_t ownRowVersion = 0;
  std::vector<Address> zoneContacts;
  std::vector<Address> allContacts;
  /** No call before this time. */
  TimePoint nextAttempt{};
};

template<PlatformLike Store>
bool
RelayDirectory<Store>::registerSelf()
{
  const std::string ownAddress = toText(this->settings.peers);
  const auto written = this->store.transact(
    { TableWrite{ kTable, this->ownKey(), this->ownRowVersion, ownAddress } });
  this->writeFailed = !written;
  if (written) {
    this->ownRowVersion = written.value().front();
    this->registered = true;
    this->settled = false;
  }
  return written.ok();
}

template<PlatformLike Store>
void
RelayDirectory<Store>::addRow(const TableRow& aRow)
{
  const Result<Address> address = addressFromText(aRow.value);
  if (!address) {
    return;
  }
  if (aRow.key == this->ownKey()) {
    this->ownRowVersion = aRow.version;
    this->registered = address.value() == this->settings.peers;
    return;
  }
  if (address.value() == this->settings.peers) {
    return;
  }
  this->allContacts.push_back(address.value());
  if (aRow.key.starts_with(this->zonePrefix())) {
    this->zoneContacts.push_back(address.value());
  }
}

template<PlatformLike Store>
bool
RelayDirectory<Store>::readRows(TimePoint aNow)
{
  const std::uint64_t epoch = epochOf(this->shared.listVersion);
  const Result<std::vector<TableRow>> rows =
    this->store.scanRows(kTable, this->settings.region + "/", {}, kMaxRows);
  if (!rows) {
    return false;
  }
  this->settled = this->registered;
  this->registered = false;
  this->ownRowVersion = 0;
  this->writeFailed = false;
  this->readAt = aNow;
  this->readEpoch = epoch;
  ++this->reads;
  this->zoneContacts.clear();
  this->allContacts.clear();
  for (const TableRow& row : rows.value()) {
    this->addRow(row);
  }
  if (this->shared.addPeers(this->allContacts, this->settings.peers)) {
    this->shared.log.write(LogLine{ LogPart::Peers, "listed" }.with(
      "relays", static_cast<std::int64_t>(this->shared.peers.read()->size())));
  }
  return true;
}

} // namespace poplartrack
