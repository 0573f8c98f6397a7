#include "poplartrack/retry/PromptParts.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using Ids = std::vector<std::string_view>;

TEST(PromptParts, TheLastPartIsTheRequestsOwn)
{
  EXPECT_EQ(sharedPromptParts("5c1e:800,91bd:410,e440:250"),
            (Ids{ "5c1e", "91bd" }));
  EXPECT_EQ(sharedPromptParts("e440:250"), Ids{});
  EXPECT_EQ(sharedPromptParts(""), Ids{});
}

TEST(PromptParts, EachIsReturnedOnceWithoutBlanksOrTokens)
{
  EXPECT_EQ(sharedPromptParts(" a:1, b ,a:2,:3,,c:4"), (Ids{ "a", "b" }));
}

TEST(PromptParts, OfALongListOnlyTheFirstAreReturned)
{
  std::string list;
  for (int i = 0; i < 10'000; ++i) {
    list += std::to_string(i) + ":1,";
  }
  EXPECT_EQ(sharedPromptParts(list).size(), 32U);
}

} // namespace
} // namespace poplartrack
