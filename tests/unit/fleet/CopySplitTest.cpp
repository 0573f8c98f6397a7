#include "../../../src/fleet/CopySplit.h"

#include <algorithm>
#include <set>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "../../../src/fleet/LayerPartition.h"
#include "FleetSamples.h"

namespace poplartrack {
namespace {

using namespace fleettest;

/** Tokens of mean requests in all slots. */
constexpr double kTokenTarget = 8'000;

/** Returns fast accelerators followed by slow ones. */
std::vector<const AcceleratorKind*>
fastFirst(const EngineProfile& aProfile, std::size_t aFast, std::size_t aSlow)
{
  std::vector<const AcceleratorKind*> kinds(aFast, &aProfile.kinds.at("fast"));
  kinds.insert(kinds.end(), aSlow, &aProfile.kinds.at("slow"));
  return kinds;
}

/** Returns the accelerators of a copy. */
std::vector<const AcceleratorKind*>
membersOf(const std::vector<const AcceleratorKind*>& aReplicas,
          const CopyMembers& aCopy)
{
  std::vector<const AcceleratorKind*> members;
  for (const std::size_t index : aCopy) {
    members.push_back(aReplicas[index]);
  }
  return members;
}

/** Returns the time of one token through the fastest copy under no load, in
 * decode steps of the reference accelerator. */
double
quickestToken(const EngineProfile& aProfile,
              const std::vector<const AcceleratorKind*>& aReplicas,
              const std::vector<CopyMembers>& aCopies)
{
  double quickest = 1e9;
  for (const CopyMembers& copy : aCopies) {
    const auto members = membersOf(aReplicas, copy);
    const auto counts =
      partitionLayers(aProfile,
                      members,
                      bestTokenCapacity(aProfile, members, kTokenTarget),
                      aProfile.layers);
    double steps = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
      steps += members[i]->stepFactor * counts[i] / aProfile.layers;
    }
    quickest = std::min(quickest, steps);
  }
  return quickest;
}

// Guards against fast accelerators that could hold the model together but are
// spread over several copies, each of which then waits for slow ones.
TEST(CopySplit, FastAcceleratorsThatHoldTheModelShareACopy)
{
  const EngineProfile profile = smallProfile();
  const auto replicas = fastFirst(profile, 2, 8);
  const auto copies = splitCopies(profile, replicas, kTokenTarget);
  ASSERT_GE(copies.size(), 2U);
  const double fast = profile.kinds.at("fast").stepFactor;
  EXPECT_DOUBLE_EQ(quickestToken(profile, replicas, copies), fast);
}

TEST(CopySplit, ReplicasOfOneKindMakeCopiesThatAreAlike)
{
  const EngineProfile profile = smallProfile();
  const auto copies =
    splitCopies(profile, fastFirst(profile, 0, 10), kTokenTarget);
  ASSERT_GE(copies.size(), 2U);
  for (const CopyMembers& copy : copies) {
    EXPECT_LE(copy.size(), copies.front().size());
    EXPECT_GE(copy.size() + 1, copies.front().size());
  }
}

TEST(CopySplit, ReplicasForOneCopyAllBelongToIt)
{
  const EngineProfile profile = smallProfile();
  const auto copies =
    splitCopies(profile, fastFirst(profile, 1, 4), kTokenTarget);
  ASSERT_EQ(copies.size(), 1U);
  EXPECT_EQ(copies[0].size(), 5U);
}

RC_GTEST_PROP(CopySplit,
              CopiesAreWholeAndShareNoReplica,
              (std::uint8_t aFast, std::uint8_t aSlow))
{
  const EngineProfile profile = smallProfile();
  const auto replicas = fastFirst(profile, aFast % 8, 1 + aSlow % 24);
  const auto copies = splitCopies(profile, replicas, kTokenTarget);
  std::set<std::size_t> named;
  for (const CopyMembers& copy : copies) {
    for (const std::size_t index : copy) {
      RC_ASSERT(index < replicas.size());
      RC_ASSERT(named.insert(index).second);
    }
    const double tokens =
      copyTokenCapacity(profile, membersOf(replicas, copy), kTokenTarget);
    RC_ASSERT(copies.size() == 1 || tokens >= kTokenTarget / 2);
  }
}

} // namespace
} // namespace poplartrack
