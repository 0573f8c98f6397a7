// How requests and their answers pass through the relay.

#include <thread>

#include "RelayFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

using RelayForwardTest = RelayFixture;

TEST_F(RelayForwardTest, ForwardsARequestAndItsAnswer)
{
  this->startWith("plain", { "one" });
  this->caller.emplace(this->world.sendRequest(
    "/once/x?q=1", "id-1", "X-Account: forged\r\nX-Other: kept\r\n", "body"));
  this->replica.emplace(this->one.accept());
  const std::string got = this->replica->readUntil("body");
  EXPECT_TRUE(got.starts_with("POST /once/x?q=1 HTTP/1.1\r\n"));
  EXPECT_TRUE(has(got, "X-Id: id-1\r\n"));
  EXPECT_TRUE(has(got, "X-Other: kept\r\n"));
  EXPECT_TRUE(has(got, "X-Expect: one\r\n"));
  // The relay derives the account from the API key, whatever the caller sends,
  // and does not forward the key.
  EXPECT_TRUE(has(got, "X-Account: shop\r\n"));
  EXPECT_FALSE(has(got, "forged"));
  EXPECT_FALSE(has(got, "secret"));
  this->replica->send(RelayWorld::answer("id-1", "hello"));
  const std::string answer = this->caller->readUntil("hello");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 OK\r\n"));
  EXPECT_TRUE(has(answer, "X-Stamp: s\r\n"));
}

TEST_F(RelayForwardTest, ARequestRightAfterTheStartWaitsForTheConfiguration)
{
  // After all relays crashed, callers retry once, possibly before a restarted
  // relay has read the configuration. The request must wait, not be refused.
  // The relay counts as just started for 700 ms.
  this->world.useManualClock();
  this->world.addReplica("one", "plain", this->one.address());
  this->world.startLoop();
  this->caller.emplace(this->world.sendRequest("/once/x", "id-1"));
  ASSERT_TRUE(this->world.awaitOpen(1));
  this->world.publishConfig();
  this->world.publishReplicas(1);
  this->world.advance(kRound);
  this->replica.emplace(this->nextAttempt());
  this->replica->send(RelayWorld::answer("id-1", "hello"));
  EXPECT_TRUE(
    this->caller->readUntil("hello").starts_with("HTTP/1.1 200 OK\r\n"));
}

TEST_F(RelayForwardTest, ALateAnswerToAnotherRequestIsDiscarded)
{
  // The replica repeats its answer to an earlier request before it answers this
  // one. The caller must receive only its own answer.
  this->startWith("plain", { "one" });
  this->openRequest("/once/x", {}, "id-2");
  this->replica->send(RelayWorld::answer("id-1", "other") +
                      RelayWorld::answer("id-2", "own"));
  const std::string answer = this->caller->readUntil("own");
  EXPECT_FALSE(has(answer, "other"));
}

TEST_F(RelayForwardTest, BytesAfterAnAnswerCloseItsConnection)
{
  // The replica sends a second answer after the first. The next request must
  // use a new connection, or its caller would receive that answer.
  this->startWith("plain", { "one" });
  this->openRequest("/again/x");
  this->replica->send(RelayWorld::answer("id-1", "own") +
                      RelayWorld::answer("id-1", "second"));
  this->caller->readUntil("own");
  this->caller->send(RelayWorld::request("/again/x", "id-2"));
  RawSocket next = this->nextAttempt();
  next.send(RelayWorld::answer("id-2", "own again"));
  EXPECT_FALSE(has(this->caller->readUntil("own again"), "second"));
}

TEST_F(RelayForwardTest, ASuccessWithoutAReplicasStampIsAnError)
{
  this->startWith("plain", { "one" });
  this->openRequest("/once/x");
  this->replica->send(RelayWorld::answer("id-1", "spoiled", "200 OK", ""));
  EXPECT_FALSE(has(this->expectStatus("502 Bad Gateway"), "spoiled"));
}

TEST_F(RelayForwardTest, ATruncatedAnswerIsAnError)
{
  // The connection ends before the announced length of the answer. The caller
  // must not take the part for the complete answer.
  this->startWith("plain", { "one" });
  this->openRequest("/once/x");
  this->replica->send("HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s\r\n"
                      "Content-Length: 100\r\n\r\npart");
  this->replica->close();
  this->expectStatus("502 Bad Gateway");
}

TEST_F(RelayForwardTest, AnAnswerMayEndWithItsConnection)
{
  this->startWith("plain", { "one" });
  this->openRequest("/once/x");
  this->replica->send(
    "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s\r\n\r\nwhole");
  this->replica->close();
  EXPECT_TRUE(has(this->caller->readUntil("whole"), "Content-Length: 5\r\n"));
}

TEST_F(RelayForwardTest, ARestartedReplicaIsAddressedByItsRegisteredName)
{
  // The new incarnation has a replica id of its own, but accepts only requests
  // for the name under which it is registered.
  this->world.addReplica("one", "plain", this->one.address());
  this->world.restartReplica("one");
  this->world.start();
  this->openRequest("/once/x");
  EXPECT_TRUE(has(this->head, "X-Expect: one\r\n"));
}

TEST_F(RelayForwardTest, AnEarlyAnswerToALongBodyClosesItsConnection)
{
  // The replica answers before it has read the body. On the same connection, it
  // would take the next request for the rest of this body.
  this->world.config->limits.bodyBytes = 64U << 20U;
  this->startWith("plain", { "one" });
  RawSocket sending = this->world.caller();
  std::thread sender{ [&] {
    sending.send(RelayWorld::request(
      "/again/x", "id-1", "", std::string(32U << 20U, 'b')));
  } };
  RawSocket first = this->nextAttempt();
  sender.join();
  first.send(RelayWorld::answer(
    "id-1", "too long", "413 Payload Too Large", "X-Stamp: s\r\n"));
  sending.readUntil("too long");
  sending.send(RelayWorld::request("/again/x", "id-2"));
  const RawSocket next = this->nextAttempt();
  EXPECT_TRUE(has(this->head, "X-Id: id-2"));
}

} // namespace
} // namespace poplartrack
