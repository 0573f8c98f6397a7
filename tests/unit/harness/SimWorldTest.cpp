#include "harness/SimWorld.h"

#include <gtest/gtest.h>

#include "harness/Judge.h"

namespace poplartrack::harness {
namespace {

TEST(SimWorld, answersWithoutFaults)
{
  SimWorld world{ 1 };
  world.startEntry("entry-1");
  world.startEngine("oslo-1", { 0, 5 });
  world.startEngine("oslo-2", { 3, 9 });
  world.startEngine("oslo-3", { 8, 12 });
  world.startService("kituo-1", "kituo");
  world.run(std::chrono::seconds{ 1 });
  SimCall ask;
  ask.entry = "entry-1";
  ask.prompt = { 5, 6, 7 };
  ask.tokens = 6;
  const auto model = world.call(ask);
  ask.service = "kituo";
  ask.operation = "dispatch";
  ask.body = "crew 1";
  ask.idempotent = false;
  ask.key = "k1";
  const auto dispatch = world.call(ask);
  const auto repeat = world.call(ask);
  world.run(std::chrono::seconds{ 4 });
  EXPECT_EQ(Judge{ world }.faults(), std::vector<std::string>{});
  ASSERT_EQ(model->answers.size(), 1U);
  EXPECT_TRUE(model->answers[0].complete);
  EXPECT_TRUE(dispatch->answers.at(0).complete);
  EXPECT_TRUE(repeat->answers.at(0).complete);
  EXPECT_EQ(repeat->answers.at(0).body, dispatch->answers.at(0).body);
  EXPECT_EQ(world.side("oslo-1").state().openAttempts(), 0U);
}

} // namespace
} // namespace poplartrack::harness
