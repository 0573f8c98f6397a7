#pragma once

#include <string>

#include "RelayFixture.h"

namespace poplartrack::relaytest {

/** A relay whose status queries end without an answer. Its clock is advanced by
 * the test. */
class RelayReplacementFixture : public RelayFixture
{
protected:
  RelayReplacementFixture()
  {
    this->world.useManualClock();
    this->world.onQuery = [](const Address&, const auto& aDone) {
      aDone(ReplicaReport{});
    };
  }
  /** Starts the relay with two replicas of the model; streams begin at the
   * first one. */
  void startTwo(const Address& aSecond)
  {
    this->world.addReplica("one", "model", this->one.address());
    this->world.addReplica("two", "model", aSecond);
    this->world.replicas["two"].zone = "b";
    this->world.start();
  }
  /** Lets time pass until the second replica has the next attempt. */
  RawSocket awaitNext(std::uint64_t aReplaced = 1)
  {
    EXPECT_TRUE(this->world.advanceUntil([&] {
      return this->world.counter("attempts_replaced_total") >= aReplaced;
    }));
    return acceptRequest(this->two, this->head);
  }
  /** Waits until the attempt that was replaced is the current one again. */
  void awaitRestored(std::uint64_t aTimes)
  {
    EXPECT_GE(this->world.awaitCounter("attempts_restored_total", aTimes),
              aTimes);
  }
  /** Lets as much time pass as a silence takes. */
  void passSilence()
  {
    for (int i = 0; i < 48; ++i) {
      this->world.advance(kRound);
    }
  }
};

} // namespace poplartrack::relaytest
