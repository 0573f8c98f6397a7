#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "poplartrack/relay/RelaySettings.h"
#include "poplartrack/relay/RelayShared.h"
#include "poplartrack/store/PlatformLike.h"

namespace poplartrack {

/** The list of a region's relays, kept as rows of the store. Each relay writes
 * the address at which it receives datagrams and reads those of the others. Not
 * thread-safe. */
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

  /** Writes this relay's row until that has succeeded, and reads the other rows
   * when a read is due. */
  void refresh(TimePoint aNow)
  {
    if (aNow < this->nextAttempt) {
      return;
    }
    if (!this->registered) {
      this->registerSelf();
    }
    const Duration interval =
      this->shared.polls ? kReadInterval : kNonReaderInterval;
    if (!this->peersRead || aNow - this->peersReadAt >= interval) {
      this->readPeers(aNow);
    }
    const bool upToDate = this->registered && this->peersRead &&
                          aNow - this->peersReadAt < interval;
    this->nextAttempt = upToDate ? aNow : aNow + kRetryDelay;
  }

private:
  /** Interval between reads of the list by a store reader. Other relays learn
   * of a new relay from its status messages; it learns of them within this
   * time. */
  static constexpr Duration kReadInterval = std::chrono::seconds{ 20 };
  /** Interval between reads by other relays. They learn of relays that they
   * miss from the status messages of the store readers. */
  static constexpr Duration kNonReaderInterval = std::chrono::seconds{ 60 };
  /** Delay after a call that failed. Retries in every housekeeping round, four
   * times a second, are most of the calls that relays make to an unavailable
   * store: up to 770 calls in 8 s with 24 relays. */
  static constexpr Duration kRetryDelay = std::chrono::milliseconds{ 1'500 };
  static constexpr const char* kTable = "relays";
  /** Most relays of one region. Relays beyond it would not receive each other's
   * status messages, and each would use the whole slack of the retry budget. */
  static constexpr std::size_t kMaxRelays = 1'000;

  /** Writes this relay's row. */
  void registerSelf();
  /** Reads the rows of all relays and publishes the addresses of the others. */
  void readPeers(TimePoint aNow);

  const RelaySettings& settings;
  RelayShared& shared;
  Store& store;
  /** The store has this relay's row. */
  bool registered = false;
  /** The list has been read at least once. */
  bool peersRead = false;
  /** When the list was last read. */
  TimePoint peersReadAt{};
  /** No call before this time. */
  TimePoint nextAttempt{};
};

template<PlatformLike Store>
void
RelayDirectory<Store>::registerSelf()
{
  const std::string key = this->settings.region + "/" + this->settings.name;
  const std::string ownAddress = toText(this->settings.peers);
  // Writes before it reads: a new fleet has no rows yet, so this saves a call
  // for each relay.
  this->registered =
    this->store.transact({ TableWrite{ kTable, key, 0, ownAddress } }).ok();
  if (this->registered) {
    return;
  }
  const Result<std::optional<TableRow>> row = this->store.readRow(kTable, key);
  if (!row) {
    return;
  }
  if (row.value() && row.value()->value == ownAddress) {
    this->registered = true;
    return;
  }
  const std::uint64_t expect = row.value() ? row.value()->version : 0;
  this->registered =
    this->store.transact({ TableWrite{ kTable, key, expect, ownAddress } })
      .ok();
}

template<PlatformLike Store>
void
RelayDirectory<Store>::readPeers(TimePoint aNow)
{
  const Result<std::vector<TableRow>> rows =
    this->store.scanRows(kTable, this->settings.region + "/", {}, kMaxRelays);
  if (!rows) {
    return;
  }
  this->peersRead = true;
  this->peersReadAt = aNow;
  std::vector<Address> peers;
  for (const TableRow& row : rows.value()) {
    const Result<Address> address = addressFromText(row.value);
    if (address && address.value() != this->settings.peers) {
      peers.push_back(address.value());
    }
  }
  if (*this->shared.peers.read() != peers) {
    this->shared.log.write(LogLine{ LogPart::Peers, "listed" }.with(
      "relays", static_cast<std::int64_t>(peers.size())));
    this->shared.peers.replace(
      std::make_shared<const std::vector<Address>>(std::move(peers)));
  }
}

} // namespace poplartrack
