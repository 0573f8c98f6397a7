#include "store/PlatformJson.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

const std::string kGood =
  R"({"name":"one","role":"side","zone":"a","region":"r",)"
  R"("address":"10.0.0.1:80","state":"active"})";

/** Returns the instances of a list in which this one is the first. */
std::optional<std::vector<InstanceInfo>>
listWith(const std::string& aOdd)
{
  return instancesFromJson(R"({"instances":[)" + aOdd + "," + kGood + "]}");
}

// Guards against one odd instance that hides the others, or ends the process.
TEST(PlatformJson, AnOddInstanceAffectsNoOther)
{
  constexpr std::size_t kDepth = 100'000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  std::vector<std::string> odd{ "null", "7", "{}", deep };
  odd.push_back(R"({"name":)" + deep + "}");
  for (const char* port : { "0", "65536", "99999999999", "+80", " 80" }) {
    odd.push_back(R"({"name":"two","role":"side","zone":"a","region":"r",)"
                  R"("address":"10.0.0.1:)" +
                  std::string{ port } + R"(","state":"active"})");
  }
  for (const std::string& instance : odd) {
    const auto list = listWith(instance);
    ASSERT_TRUE(list) << instance.substr(0, 100);
    ASSERT_EQ(list->size(), 1U) << instance.substr(0, 100);
    EXPECT_EQ(list->front().name, "one");
  }
}

TEST(PlatformJson, ATextThatIsNoListIsNotTakenForAnEmptyOne)
{
  EXPECT_FALSE(instancesFromJson("{}"));
  EXPECT_FALSE(instancesFromJson(R"({"instances":{"a":1}})"));
  EXPECT_FALSE(instancesFromJson(R"({"instances":null})"));
}

} // namespace
} // namespace poplartrack
