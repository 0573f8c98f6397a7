// Which requests the relay sends to a second replica.

#include "RelayFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

using RelayRetryTest = RelayFixture;

TEST_F(RelayRetryTest,
       ANonIdempotentRequestIsNotRepeatedAfterItsConnectionIsLost)
{
  // The replica closes the connection after it has read the request, which may
  // therefore have run. The error must not say that it has not run, and no
  // other replica may receive it.
  this->startWith("plain", { "one", "two" });
  this->openRequest("/once/x");
  this->replica->close();
  this->expectStatus("502 Bad Gateway");
}

TEST_F(RelayRetryTest, AnIdempotentRequestIsRetriedOnceAtAnotherReplica)
{
  this->startWith("plain", { "one", "two" });
  this->openRequest("/again/x");
  this->replica->close();
  RawSocket second = this->nextAttempt();
  second.send(RelayWorld::answer("id-1", "done"));
  EXPECT_TRUE(has(this->caller->readUntil("done"), "200 OK"));
}

TEST_F(RelayRetryTest, ARequestRefusedAsNotRunIsSentToAnotherReplica)
{
  this->startWith("plain", { "one", "two" });
  this->openRequest("/once/x");
  this->replica->send(RelayWorld::answer(
    "id-1", "", "503 Service Unavailable", "X-Not-Run: 1\r\n"));
  RawSocket second = this->nextAttempt();
  second.send(RelayWorld::answer("id-1", "done"));
  EXPECT_TRUE(has(this->caller->readUntil("done"), "200 OK"));
}

TEST_F(RelayRetryTest, ARequestAtARestartedReplicaHasAnUnknownOutcome)
{
  // A replica restarts under its name while it has a request that must not run
  // twice. The request may have run there: the caller must learn at once that
  // the outcome is unknown, and the new incarnation must not receive it.
  this->startWith("plain", { "one" });
  this->openRequest("/once/x");
  this->world.restartReplica("one");
  this->world.publishReplicas(2);
  this->expectStatus("502 Bad Gateway");
}

} // namespace
} // namespace poplartrack
