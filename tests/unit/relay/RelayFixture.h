#pragma once

#include <initializer_list>
#include <optional>
#include <string>

#include "RelayWorld.h"

namespace poplartrack::relaytest {

/** Tokens of a stream so long that it is worth moving to another path. */
constexpr const char* kLongStream = "X-Tokens: 5,50000\r\nX-Hint: 50000\r\n";

/** Test fixture: a relay, two listeners of replicas, and one request between a
 * caller and a replica. */
class RelayFixture : public ::testing::Test
{
protected:
  /** Starts the relay with replicas of a service at the first listener. */
  void startWith(const std::string& aService,
                 std::initializer_list<const char*> aReplicas)
  {
    for (const char* name : aReplicas) {
      this->world.addReplica(name, aService, this->one.address());
    }
    this->world.start();
  }
  /** Accepts a connection at a replica and reads the head of its request. */
  static RawSocket acceptRequest(RawListener& aReplica, std::string& aHead)
  {
    RawSocket connection = aReplica.accept();
    aHead = connection.readUntil("\r\n\r\n");
    return connection;
  }
  /** Accepts the next attempt of a request at the first listener. */
  RawSocket nextAttempt() { return acceptRequest(this->one, this->head); }
  /** Sends a request, and accepts it at the first listener. */
  void openRequest(const std::string& aPath,
                   const std::string& aMore = {},
                   const std::string& aId = "id-1")
  {
    this->caller.emplace(this->world.sendRequest(aPath, aId, aMore));
    this->replica.emplace(this->nextAttempt());
  }
  /** Opens a stream, of which the caller receives the first event. */
  void openStream(const std::string& aMore = "X-Tokens: 5,5\r\n")
  {
    this->openRequest("/stream/x", aMore);
    this->replica->send(RelayWorld::streamHead("id-1") + RelayWorld::event(1));
    this->caller->readUntil("id: 1");
  }
  /** Expects that the stream ends where it runs. */
  void expectEnd()
  {
    this->replica->send(RelayWorld::event(2) + RelayWorld::kLastChunk);
    EXPECT_TRUE(has(this->caller->readUntil("0\r\n\r\n"), "id: 2"));
  }
  /** Expects that the stream is resumed after its first event. */
  void expectResumed(RawListener& aReplica)
  {
    RawSocket second = acceptRequest(aReplica, this->head);
    EXPECT_TRUE(has(this->head, "Last-Event-Id: 1\r\n")) << this->head;
    second.send(RelayWorld::streamHead("id-1") + RelayWorld::event(2) +
                RelayWorld::kLastChunk);
    const std::string rest = this->caller->readUntil("0\r\n\r\n");
    EXPECT_TRUE(has(rest, "id: 2\n")) << rest;
  }
  /** Expects that the replica of the last request gets none of the next ones:
   * with equal load, the choice falls on the one with fewer errors. */
  void expectOtherReplicaNext(const std::string& aPath)
  {
    const bool first = has(this->head, "X-Expect: one\r\n");
    for (int i = 2; i < 5; ++i) {
      const std::string id = "id-" + std::to_string(i);
      RawSocket next = this->world.sendRequest(aPath, id);
      RawSocket other = this->nextAttempt();
      EXPECT_TRUE(has(this->head, first ? "X-Expect: two" : "X-Expect: one"));
      other.send(RelayWorld::answer(
        id, "whole", "200 OK", "X-Stamp: s\r\nConnection: close\r\n"));
      next.readUntil("whole");
    }
  }
  /** Expects the status line of the answer, and returns it with its fields. */
  std::string expectStatus(const std::string& aStatus)
  {
    std::string answer = this->caller->readUntil("\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + aStatus)) << answer;
    return answer;
  }

  RelayWorld world;
  RawListener one;
  RawListener two;
  std::optional<RawSocket> caller;
  std::optional<RawSocket> replica;
  /** The head of the request that was accepted last. */
  std::string head;
};

} // namespace poplartrack::relaytest
