#include "poplartrack/fleet/OutageLeadership.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kLeaseEnd{ seconds{ 100 } };
constexpr std::uint64_t kFence = 7;

/** Returns what a relay knows in an outage in which it may lead. */
OutageView
outage()
{
  return OutageView{ OutageLeadership::kOutageProofAge, 9, 5, false, kFence };
}

OutageLeadership
lastHolder()
{
  OutageLeadership leadership;
  leadership.onHeld(kFence, kLeaseEnd);
  return leadership;
}

TEST(OutageLeadership, OnlyTheLastHolderLeadsAndForAtMost20Seconds)
{
  OutageLeadership leadership = lastHolder();
  EXPECT_EQ(leadership.fenceToLead(outage(), kLeaseEnd), kFence);
  EXPECT_TRUE(leadership.fenceToLead(outage(), kLeaseEnd + seconds{ 20 }));
  EXPECT_FALSE(
    leadership.fenceToLead(outage(), kLeaseEnd + milliseconds{ 20'001 }));
  EXPECT_FALSE(OutageLeadership{}.fenceToLead(outage(), kLeaseEnd));
}

TEST(OutageLeadership, EachConditionOfAnOutageIsRequired)
{
  // A relay that the store rejects alone, or that is cut off from the others,
  // must not place layers beside the next holder. It may lead once the others
  // have noticed the outage too.
  const Duration age = OutageLeadership::kOutageProofAge;
  const OutageView oneReadsTheStore{
    age - milliseconds{ 1 }, 9, 5, false, kFence
  };
  const OutageView mostRelaysSilent{ age, 9, 4, false, kFence };
  const OutageView cutOff{ age, 9, 0, false, kFence };
  OutageLeadership leadership = lastHolder();
  for (const OutageView& view :
       { oneReadsTheStore, mostRelaysSilent, cutOff }) {
    EXPECT_FALSE(leadership.fenceToLead(view, kLeaseEnd));
    EXPECT_TRUE(leadership.fenceToLead(outage(), kLeaseEnd));
  }
}

TEST(OutageLeadership, AnotherHolderEndsItForGood)
{
  // A lost status message of the holder must not bring the first one back.
  OutageView held = outage();
  held.peerHoldsLease = true;
  OutageView released = outage();
  released.peerReleasedFence = kFence + 1;
  for (const OutageView& view : { held, released }) {
    OutageLeadership leadership = lastHolder();
    EXPECT_FALSE(leadership.fenceToLead(view, kLeaseEnd));
    EXPECT_FALSE(leadership.fenceToLead(outage(), kLeaseEnd));
    leadership.onHeld(kFence + 2, kLeaseEnd);
    EXPECT_EQ(leadership.fenceToLead(outage(), kLeaseEnd), kFence + 2);
  }
}

TEST(OutageLeadership, TwoRelaysThatLeadEndWithinOneMessage)
{
  OutageLeadership one = lastHolder();
  OutageLeadership other;
  other.onHeld(kFence + 1, kLeaseEnd);
  OutageView view = outage();
  EXPECT_TRUE(one.fenceToLead(view, kLeaseEnd));
  EXPECT_TRUE(other.fenceToLead(view, kLeaseEnd));
  // A status message of each arrives at the other.
  view.peerHoldsLease = true;
  EXPECT_FALSE(one.fenceToLead(view, kLeaseEnd));
  EXPECT_FALSE(other.fenceToLead(view, kLeaseEnd));
}

} // namespace
} // namespace poplartrack
