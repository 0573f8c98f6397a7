#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "poplartrack/base/LayerRange.h"
#include "poplartrack/http/HttpClient.h"
#include "poplartrack/http/HttpServer.h"

namespace poplartrack::standins {

/** How a stand-in replica of the users' platform is set up. */
struct UsersReplicaSettings
{
  std::string id;
  std::string service;
  std::string zone;
  /** Kind of accelerator; empty for a plain service. */
  std::string kind;
  Address listen;
  /** Where others reach it: a link that a test can break. */
  Address advertised;
  /** The store in which it registers. */
  Address store;
  /** How many times as long as usual its work takes. */
  int slowdown = 1;
};

/** How long a replica that rejects requests asks each relay to send nothing. */
constexpr std::chrono::milliseconds kRequestedBackoff{ 1'200 };

/** Id of a prompt part that crashes each replica that begins to answer it. */
constexpr std::string_view kDeadlyPart = "deadly";

/** Exit code of a replica that has crashed under a request. */
constexpr int kCrashExit = 70;

/** What the replica answers to a request: computed alone by whoever checks. */
std::string
usersAnswer(const std::string& aRequestId);

/** The events of a stream: how many, and each one's bytes. */
int
usersEventCount(const std::string& aRequestId);
std::string
usersEvent(const std::string& aRequestId, int aNumber);

/**
 * A replica of the users' platform, as far as a relay can tell: registers, runs
 * plain requests and streams, takes orders to hold layers, and prints a line
 * "run ID MS" and "took REPLICA ID MS" for each request that it begins, MS on
 * the clock that counts suspension. A request with kDeadlyPart as a part that
 * others may share crashes it at its first event; it prints "crashed REPLICA ID
 * MS". While it rejects requests or announces its drain, it also prints
 * "rejected REPLICA ID MS" or "announced REPLICA ID MS" for each one. While it
 * fails its requests or is slow, its reports do not show it.
 */
class UsersReplica
{
public:
  static Result<std::unique_ptr<UsersReplica>> create(
    UsersReplicaSettings aSettings);

  /** Writes its entry in the store, for as long as that takes. */
  void registerSelf();
  /** Rejects all requests and asks for a backoff, or no longer does. */
  void setRejecting(bool aRejecting) { this->rejecting = aRejecting; }
  /** Answers all requests with 500, or no longer does. */
  void setFailing(bool aFailing) { this->failing = aFailing; }
  /** Takes much longer for all requests, or no longer does. */
  void setSlow(bool aSlow) { this->slow = aSlow; }
  /** Answers all requests with bytes that do not end, or no longer does. */
  void setEndless(bool aEndless) { this->endless = aEndless; }
  /** Announces its drain in all answers from now on. */
  void announceDrain() { this->draining = true; }

private:
  explicit UsersReplica(UsersReplicaSettings aSettings);

  HttpReply answer(const HttpRequest& aRequest);
  HttpReply answerCall(const HttpRequest& aRequest);
  void print(const char* aWhat, const std::string& aRequestId);
  /** Ends the process as a crash does: with all connections, and no word. */
  [[noreturn]] void crash(const std::string& aRequestId);
  HttpReply report();
  HttpReply takeOrder(const HttpRequest& aRequest);
  HttpReply runPlain(const std::string& aId);
  HttpReply runStream(const std::string& aId, int aAfter);
  HttpReply runEndless(const std::string& aId, int aAfter);
  /** Waits for the time that work takes here which usually takes this long. */
  void work(std::chrono::milliseconds aTime) const;
  [[nodiscard]] std::string entry();

  UsersReplicaSettings settings;
  std::unique_ptr<HttpClient> http;
  std::mutex guard;
  std::optional<LayerRange> layers;
  std::atomic<bool> rejecting{ false };
  std::atomic<bool> draining{ false };
  std::atomic<bool> failing{ false };
  std::atomic<bool> slow{ false };
  std::atomic<bool> endless{ false };
  int sequence = 0;
  // Last: it answers from all the above.
  std::unique_ptr<HttpServer> server;
};

} // namespace poplartrack::standins
