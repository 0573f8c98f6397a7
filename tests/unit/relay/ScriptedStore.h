#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "poplartrack/relay/FleetControl.h"

namespace poplartrack::relaytest {

/** A store with scripted answers. When all have been returned, further polls
 * block until the test calls end(). */
class ScriptedStore
{
public:
  /** Appends an answer to a configuration poll; nullopt: the poll fails. */
  void scriptConfig(std::optional<ConfigPoll> aPoll)
  {
    this->configs.push_back(std::move(aPoll));
  }
  /** Appends an answer to a replica list poll; nullopt: the poll fails. */
  void scriptReplicas(std::optional<ReplicaPoll> aPoll)
  {
    this->lists.push_back(std::move(aPoll));
  }
  /** Waits until the relay has processed every answer: polls of both kinds
   * block. */
  void waitUntilProcessed()
  {
    std::unique_lock lock{ this->guard };
    this->changed.wait(lock, [this] {
      return this->configPollBlocked && this->listPollBlocked;
    });
  }
  /** Lets the polls that block fail. */
  void end()
  {
    const std::scoped_lock lock{ this->guard };
    this->stopped = true;
    this->changed.notify_all();
  }

  Result<ConfigPoll> readConfig(Duration)
  {
    return this->next(this->configs, this->configPollBlocked);
  }
  Result<ConfigPoll> awaitConfig(std::uint64_t, Duration)
  {
    return this->next(this->configs, this->configPollBlocked);
  }
  Result<RelayConfig> parseConfig(const std::string& aText)
  {
    RelayConfig config;
    config.version = std::stoul(aText);
    config.text = aText;
    return config;
  }
  Result<ReplicaPoll> readReplicas(Duration)
  {
    return this->next(this->lists, this->listPollBlocked);
  }
  Result<ReplicaPoll> awaitReplicas(std::uint64_t, Duration)
  {
    return this->next(this->lists, this->listPollBlocked);
  }
  /** Makes the calls that read or write rows fail from now on. */
  void failRows()
  {
    const std::scoped_lock lock{ this->guard };
    this->rowsFail = true;
  }
  Result<std::optional<TableRow>> readRow(const std::string& aTable,
                                          const std::string& aKey)
  {
    const std::scoped_lock lock{ this->guard };
    if (this->rowsFail) {
      return fail(ErrorKind::PlatformUnavailable);
    }
    const auto found = this->rows.find(aTable + "/" + aKey);
    return found == this->rows.end() ? std::optional<TableRow>{}
                                     : std::optional<TableRow>{ found->second };
  }
  Result<std::vector<TableRow>> scanRows(const std::string& aTable,
                                         const std::string&,
                                         const std::string&,
                                         std::size_t)
  {
    const std::scoped_lock lock{ this->guard };
    return aTable == "relays" ? this->contacts : std::vector<TableRow>{};
  }
  /** Lists a contact of the region; before the relay starts. */
  void addContact(const std::string& aKey, const Address& aAddress)
  {
    this->contacts.push_back(TableRow{ aKey, toText(aAddress), 1 });
  }
  Result<std::vector<std::uint64_t>> transact(
    const std::vector<TableWrite>& aWrites)
  {
    const std::scoped_lock lock{ this->guard };
    if (this->rowsFail) {
      return fail(ErrorKind::PlatformUnavailable);
    }
    for (const TableWrite& write : aWrites) {
      TableRow& row = this->rows[write.table + "/" + write.key];
      if (row.version != write.expect) {
        return fail(ErrorKind::Conflict);
      }
      row = TableRow{ write.key, write.value.value_or(""), ++this->version };
    }
    return std::vector<std::uint64_t>(aWrites.size(), this->version);
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

private:
  template<typename Poll>
  Result<Poll> next(std::deque<std::optional<Poll>>& aScript, bool& aBlocked)
  {
    std::unique_lock lock{ this->guard };
    if (aScript.empty()) {
      aBlocked = true;
      this->changed.notify_all();
      this->changed.wait(lock, [this] { return this->stopped; });
      return fail(ErrorKind::PlatformUnavailable);
    }
    std::optional<Poll> poll = std::move(aScript.front());
    aScript.pop_front();
    if (!poll) {
      return fail(ErrorKind::PlatformUnavailable);
    }
    return std::move(*poll);
  }

  std::mutex guard;
  std::condition_variable changed;
  std::deque<std::optional<ConfigPoll>> configs;
  std::deque<std::optional<ReplicaPoll>> lists;
  std::map<std::string, TableRow> rows;
  std::vector<TableRow> contacts;
  std::uint64_t version = 0;
  bool configPollBlocked = false;
  bool listPollBlocked = false;
  bool stopped = false;
  bool rowsFail = false;
};

static_assert(FleetStoreLike<ScriptedStore>);

} // namespace poplartrack::relaytest
