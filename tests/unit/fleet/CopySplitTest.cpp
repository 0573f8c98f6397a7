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

/** Tokens for the usual requests of all slots. */
constexpr double kGoal = 8'000;

std::vector<const AcceleratorKind*>
fastFirst(const EngineProfile& aProfile, std::size_t aFast, std::size_t aSlow)
{
  std::vector<const AcceleratorKind*> kinds(aFast, &aProfile.kinds.at("fast"));
  kinds.insert(kinds.end(), aSlow, &aProfile.kinds.at("slow"));
  return kinds;
}

std::vector<const AcceleratorKind*>
membersOf(const std::vector<const AcceleratorKind*>& aReplicas,
          const CopyMembers& aCopy)
{
  std::vector<const AcceleratorKind*> members;
  for (const std::size_t place : aCopy) {
    members.push_back(aReplicas[place]);
  }
  return members;
}

/** Time of one token over all layers, in steps of the reference, when the
 * copies are not busy and it takes the fastest. */
double
quickestToken(const EngineProfile& aProfile,
              const std::vector<const AcceleratorKind*>& aReplicas,
              const std::vector<CopyMembers>& aCopies)
{
  double quickest = 1e9;
  for (const CopyMembers& copy : aCopies) {
    const auto members = membersOf(aReplicas, copy);
    const auto counts = cutLayers(
      aProfile, members, bestTokens(aProfile, members, kGoal), aProfile.layers);
    double steps = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
      steps += members[i]->stepFactor * counts[i] / aProfile.layers;
    }
    quickest = std::min(quickest, steps);
  }
  return quickest;
}

// Guards against copies that each wait for slow accelerators while fast ones
// that hold the model together stand among them.
TEST(CopySplit, FastAcceleratorsThatHoldTheModelShareACopy)
{
  const EngineProfile profile = smallProfile();
  const auto replicas = fastFirst(profile, 2, 8);
  const auto copies = splitCopies(profile, replicas, kGoal);
  ASSERT_GE(copies.size(), 2U);
  const double fast = profile.kinds.at("fast").stepFactor;
  EXPECT_DOUBLE_EQ(quickestToken(profile, replicas, copies), fast);
}

TEST(CopySplit, ReplicasOfOneKindMakeCopiesThatAreAlike)
{
  const EngineProfile profile = smallProfile();
  const auto copies = splitCopies(profile, fastFirst(profile, 0, 10), kGoal);
  ASSERT_GE(copies.size(), 2U);
  for (const CopyMembers& copy : copies) {
    EXPECT_LE(copy.size(), copies.front().size());
    EXPECT_GE(copy.size() + 1, copies.front().size());
  }
}

TEST(CopySplit, ReplicasForOneCopyAllBelongToIt)
{
  const EngineProfile profile = smallProfile();
  const auto copies = splitCopies(profile, fastFirst(profile, 1, 4), kGoal);
  ASSERT_EQ(copies.size(), 1U);
  EXPECT_EQ(copies[0].size(), 5U);
}

RC_GTEST_PROP(CopySplit,
              CopiesAreWholeAndShareNoReplica,
              (std::uint8_t aFast, std::uint8_t aSlow))
{
  const EngineProfile profile = smallProfile();
  const auto replicas = fastFirst(profile, aFast % 8, 1 + aSlow % 24);
  const auto copies = splitCopies(profile, replicas, kGoal);
  std::set<std::size_t> named;
  for (const CopyMembers& copy : copies) {
    for (const std::size_t place : copy) {
      RC_ASSERT(place < replicas.size());
      RC_ASSERT(named.insert(place).second);
    }
    const double tokens =
      tokensOfCopy(profile, membersOf(replicas, copy), kGoal);
    RC_ASSERT(copies.size() == 1 || tokens >= kGoal / 2);
  }
}

} // namespace
} // namespace poplartrack
