#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "poplartrack/relay/RelayDirectory.h"

namespace poplartrack::relaytest {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The rows of relays, shared by all relays of a test. A write becomes visible
 * kWriteTime after the call, like one that is under way while others read. */
class RelayRows
{
public:
  static constexpr Duration kWriteTime = milliseconds{ 5 };

  /** Adds the row of a relay of the older format, which names no zone. */
  void addOldRow(int aPort)
  {
    const std::string name = std::to_string(aPort);
    this->rows["r/" + name] = { TableRow{ "r/" + name, "10.0.0.1:" + name, 1 },
                                TimePoint{} };
  }
  void addRow(const std::string& aKey, const std::string& aAddress)
  {
    this->rows[aKey] = { TableRow{ aKey, aAddress, 1 }, TimePoint{} };
  }
  void clear() { this->rows.clear(); }
  [[nodiscard]] std::size_t size() const { return this->rows.size(); }
  void resetCounts()
  {
    this->reads = 0;
    this->writes = 0;
    this->rowsRead = 0;
  }

  Result<std::optional<TableRow>> readRow(const std::string&,
                                          const std::string&)
  {
    return std::optional<TableRow>{};
  }
  Result<std::vector<TableRow>> scanRows(const std::string&,
                                         const std::string& aPrefix,
                                         const std::string&,
                                         std::size_t aLimit)
  {
    ++this->reads;
    if (this->fails) {
      return fail(ErrorKind::PlatformUnavailable);
    }
    std::vector<TableRow> found;
    for (const auto& [key, entry] : this->rows) {
      if (found.size() < aLimit && key.starts_with(aPrefix) &&
          entry.visibleAt <= this->now) {
        found.push_back(entry.row);
      }
    }
    this->rowsRead += found.size();
    return found;
  }
  Result<std::vector<std::uint64_t>> transact(
    const std::vector<TableWrite>& aWrites)
  {
    ++this->writes;
    const TableWrite& write = aWrites.front();
    const auto found = this->rows.find(write.key);
    const std::uint64_t version =
      found == this->rows.end() ? 0 : found->second.row.version;
    if (version != write.expect) {
      return fail(ErrorKind::Conflict);
    }
    this->rows[write.key] = { TableRow{ write.key, *write.value, version + 1 },
                              this->now + kWriteTime };
    return std::vector<std::uint64_t>{ version + 1 };
  }
  Result<Done> putObject(const std::string&, const std::string&)
  {
    return Done{};
  }
  Result<std::string> getObject(const std::string&)
  {
    return fail(ErrorKind::NotFound);
  }
  Result<std::vector<InstanceInfo>> listInstances()
  {
    return std::vector<InstanceInfo>{};
  }

  TimePoint now = TimePoint{} + std::chrono::hours{ 1 };
  bool fails = false;
  std::size_t reads = 0;
  std::size_t writes = 0;
  /** Rows that all reads together returned. */
  std::size_t rowsRead = 0;

private:
  struct Entry
  {
    TableRow row;
    TimePoint visibleAt;
  };
  std::map<std::string, Entry> rows;
};

/** One relay with its directory. */
class DirectoryRelay
{
public:
  DirectoryRelay(RelayRows& aRows, int aNumber, const std::string& aZone)
    : fd(::open("/dev/null", O_WRONLY))
    , shared(this->fd)
    , directory(this->settings, this->shared, aRows)
  {
    constexpr int kFirstPort = 1'000;
    this->settings.region = "r";
    this->settings.zone = aZone;
    this->settings.name = std::to_string(aNumber);
    this->settings.peers = { "10.0.0.1",
                             static_cast<std::uint16_t>(kFirstPort + aNumber) };
  }
  DirectoryRelay(const DirectoryRelay&) = delete;
  DirectoryRelay& operator=(const DirectoryRelay&) = delete;
  ~DirectoryRelay() { ::close(this->fd); }

  RelaySettings settings;
  int fd;
  RelayShared shared;
  RelayDirectory<RelayRows> directory;
};

/** Relays in five zones that start on the same store. */
class FleetStart
{
public:
  explicit FleetStart(int aRelays)
  {
    for (int i = 0; i < aRelays; ++i) {
      this->relays.push_back(this->newRelay(i));
    }
  }
  /** Lets all relays start within 300 ms of each other, and run for a while. */
  void run(Duration aTime)
  {
    constexpr int kStartSpreadMs = 300;
    constexpr int kStride = 97;
    const TimePoint start = this->rows.now;
    while (this->rows.now - start < aTime) {
      for (std::size_t i = 0; i < this->relays.size(); ++i) {
        const auto delay = static_cast<int>(i) * kStride % kStartSpreadMs;
        if (this->rows.now - start >= milliseconds{ delay }) {
          this->relays[i]->directory.refresh(this->rows.now);
        }
      }
      this->rows.now += milliseconds{ 10 };
    }
  }
  /** Lets one relay start after the other, and run until it has settled. */
  void runOneByOne()
  {
    for (const auto& relay : this->relays) {
      for (int i = 0; i < 4; ++i) {
        relay->directory.refresh(this->rows.now);
        this->rows.now += milliseconds{ 500 };
      }
    }
  }
  /** Replaces all relays by new processes on the same instances, and counts
   * from here. */
  void restartAll()
  {
    for (std::size_t i = 0; i < this->relays.size(); ++i) {
      this->relays[i] = this->newRelay(static_cast<int>(i));
    }
    this->rows.resetCounts();
  }

  static constexpr int kZones = 5;
  RelayRows rows;
  std::vector<std::unique_ptr<DirectoryRelay>> relays;

private:
  std::unique_ptr<DirectoryRelay> newRelay(int aNumber)
  {
    // One relay in seven has a fast link.
    constexpr int kSlow = 7;
    constexpr double kSlowLinkMbps = 20;
    auto relay = std::make_unique<DirectoryRelay>(
      this->rows, aNumber, "zone-" + std::to_string(aNumber % kZones));
    if (aNumber / kZones % kSlow != 0) {
      relay->settings.linkMbps = kSlowLinkMbps;
    }
    return relay;
  }
};

} // namespace poplartrack::relaytest
