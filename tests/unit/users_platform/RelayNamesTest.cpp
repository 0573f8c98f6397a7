#include "platform/RelayNames.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

TEST(RelayNames, FieldsThatTheStandInsShareAreSpelledAsOnThePlatform)
{
  // Guards against a misspelled field, which stand-ins that use the same
  // constant would accept.
  const RelayHeaderNames names = platformHeaderNames();
  EXPECT_EQ(names.promptParts, "Poplartrack-Prompt-Prefix");
  EXPECT_EQ(names.draining, "Server-Leaving");
  EXPECT_EQ(names.rateLimit, "Server-Limit");
}

} // namespace
} // namespace poplartrack
