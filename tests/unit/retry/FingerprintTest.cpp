#include "poplartrack/retry/Fingerprint.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

RequestContent
content()
{
  return { "shop", "shop.example", "POST", "/again/x", "body" };
}

TEST(Fingerprint, IsEqualOnlyForEqualContent)
{
  const Fingerprint one = fingerprintOf(content());
  EXPECT_EQ(one, fingerprintOf(content()));
  RequestContent other = content();
  other.account = "stall";
  EXPECT_NE(one, fingerprintOf(other));
  other = content();
  other.target = "/again/y";
  EXPECT_NE(one, fingerprintOf(other));
  other = content();
  other.body = "bodies";
  EXPECT_NE(one, fingerprintOf(other));
}

TEST(Fingerprint, DependsOnWhereEachPartEnds)
{
  RequestContent left = content();
  left.target = "/ab";
  left.body = "c";
  RequestContent right = content();
  right.target = "/a";
  right.body = "bc";
  EXPECT_NE(fingerprintOf(left), fingerprintOf(right));
}

TEST(Fingerprint, ParsesItsOwnText)
{
  const Fingerprint one = fingerprintOf(content());
  EXPECT_EQ(fingerprintFromText(toText(one)), one);
  EXPECT_FALSE(fingerprintFromText("no fingerprint"));
}

} // namespace
} // namespace poplartrack
