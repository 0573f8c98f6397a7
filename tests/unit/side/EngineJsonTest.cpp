#include "side/EngineJson.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

Result<EngineInfo>
infoWith(const std::string& aFields)
{
  return readInfo(R"({"incarnation":"7","model":"m",)" + aFields + "}");
}

// Guards against an engine's report that ends the processes that plan with it.
TEST(EngineJson, NumbersOutOfRangeMakeTheAnswerUnreadable)
{
  ASSERT_TRUE(infoWith(R"("holds":{"from":5,"to":9},"capacityLayers":4)"));
  ASSERT_TRUE(readLoad(R"({"running":3,"stepMicros":812.5})"));
  for (const char* number :
       { "-1", "1e300", "1e999", "18446744073709551616", "4294967296", "[]" }) {
    const std::string odd = number;
    EXPECT_FALSE(infoWith(R"("holds":{"from":0,"to":)" + odd + "}")) << odd;
    EXPECT_FALSE(infoWith(R"("holds":{"from":)" + odd + R"(,"to":9})")) << odd;
    EXPECT_FALSE(infoWith(R"("capacityLayers":)" + odd)) << odd;
    EXPECT_FALSE(readLoad(R"({"running":)" + odd + "}")) << odd;
  }
  EXPECT_FALSE(infoWith(R"("holds":{"from":9,"to":5})"));
  EXPECT_FALSE(infoWith(R"("holds":{"from":0,"to":4294967295})"));
}

// Guards against a nested answer that overflows the stack.
TEST(EngineJson, ADeepAnswerIsUnreadable)
{
  const std::string deep =
    std::string(100'000, '[') + std::string(100'000, ']');
  EXPECT_FALSE(readInfo(deep));
  EXPECT_FALSE(infoWith(R"("holds":)" + deep));
  EXPECT_EQ(readRefusal(deep).substr(0, 2), "[[");
}

} // namespace
} // namespace poplartrack
