#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "poplartrack/http/HttpServer.h"

namespace poplartrack::standins {

/** What goes wrong at the stand-in. */
struct UsersStoreFaults
{
  /** Status of every answer instead of the call; 0: none. */
  std::atomic<int> refuseWith{ 0 };
  /** Writes are done and their connections cut instead of an answer. */
  std::atomic<bool> loseAnswers{ false };
  /** The feed no longer knows what has changed. */
  std::atomic<bool> forgetHistory{ false };
  /** The feed waits for changes for as long as it is asked to, as the real one
   * does, instead of answering at once. */
  std::atomic<bool> longPolls{ false };
};

/**
 * The users' store, as far as a relay speaks to it: rows with versions, writes
 * under conditions, and a feed of changes. On loopback, in memory.
 */
class UsersStoreStandin
{
public:
  UsersStoreStandin();

  [[nodiscard]] Address address() const { return this->server->address(); }
  /** Writes a row as the operator or a replica does. A key that is no UTF-8 is
   * sent as it is. */
  void put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue);
  /** Writes a row whose value is sent as a text that is no base64. */
  void putNoBase64(const std::string& aTable, const std::string& aKey);
  void drop(const std::string& aTable, const std::string& aKey);
  /** Copies the content. */
  void saveCopy();
  /** Restores the content and the version from the copy: all that was written
   * since is gone, and its versions are given out again. */
  void restoreCopy();
  /** Writes the rows of these tables again that a restore has taken back. */
  void rewrite(const std::vector<std::string>& aTables);

  UsersStoreFaults faults;

private:
  struct Row
  {
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
    bool isBase64 = true;
  };
  using Name = std::pair<std::string, std::string>;

  /** Returns the value as answers carry it. */
  static std::string valueText(const Row& aRow);
  HttpReply answer(const HttpRequest& aRequest);
  HttpReply answerCall(const HttpRequest& aRequest,
                       std::unique_lock<std::mutex>& aLock);
  HttpReply readRows(const HttpRequest& aRequest);
  HttpReply readFeed(const HttpRequest& aRequest,
                     std::unique_lock<std::mutex>& aLock);
  [[nodiscard]] bool changedSince(const std::string& aTable,
                                  std::uint64_t aVersion) const;
  HttpReply transact(const HttpRequest& aRequest);

  std::mutex guard;
  std::condition_variable written;
  std::map<Name, Row> rows;
  std::uint64_t version = 0;
  /** How often the content was restored; every answer says so. */
  std::uint64_t epoch = 0;
  std::map<Name, Row> copiedRows;
  /** The content before the latest restore. */
  std::map<Name, Row> lostRows;
  std::uint64_t copiedVersion = 0;
  // Last: it answers from all the above.
  std::unique_ptr<HttpServer> server;
};

} // namespace poplartrack::standins
