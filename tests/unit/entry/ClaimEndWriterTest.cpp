#include "poplartrack/entry/ClaimEndWriter.h"

#include <gtest/gtest.h>

#include "standins/lib/PlatformStandin.h"

namespace poplartrack {
namespace {

using std::chrono::seconds;

class ClaimEndWriterTest : public testing::Test
{
protected:
  ClaimVerdict claim(const std::string& aToken)
  {
    return this->claims.claim({ "accra", "key-1", "digest", aToken });
  }
  ClaimHeld held() { return std::get<ClaimHeld>(this->claim("entry-1")); }

  ManualClock clock;
  standins::PlatformStandin<ManualClock> platform{ clock };
  IdempotencyClaim<standins::PlatformStandin<ManualClock>> claims{ platform };
  ClaimEndWriter ends{ [this](const ClaimEnd& aEnd) {
                        return this->claims.end(aEnd);
                      },
                       { .maxAge = seconds{ 30 }, .maxKept = 1 } };
};

TEST_F(ClaimEndWriterTest, anAnswerIsRecordedAfterAnOutage)
{
  // Guards against repeats that wait until their deadlines for an answer that
  // the holder has.
  const ClaimHeld first = held();
  platform.setFaults({ .outage = true });
  ends.write(answeredClaim(first, 200, "crew 4"), clock.now());
  EXPECT_EQ(ends.retry(clock.now()), 0U);
  EXPECT_EQ(ends.kept(), 1U);
  platform.setFaults({ .loseAfter = 1 });
  ends.retry(clock.now());
  // The lost answer is settled by the conflict with the entry's own write.
  ends.retry(clock.now());
  EXPECT_EQ(ends.kept(), 0U);
  EXPECT_TRUE(std::holds_alternative<ClaimReplay>(claim("entry-2")));
}

TEST_F(ClaimEndWriterTest, keptEndsAreBoundedInNumberAndAge)
{
  // Guards against memory and a drain that grow with the length of an outage.
  const ClaimHeld first = held();
  platform.setFaults({ .outage = true });
  ends.write(unknownClaim(first), clock.now());
  ends.write(unknownClaim(first), clock.now());
  EXPECT_EQ(ends.retry(clock.now()), 1U);
  EXPECT_EQ(ends.retry(clock.now() + seconds{ 30 }), 1U);
  EXPECT_EQ(ends.kept(), 0U);
}

TEST_F(ClaimEndWriterTest, aReleaseIsRetriedOnlyIfItHadNoEffect)
{
  // Guards against a retry that releases the claim of the key's next holder.
  const ClaimHeld first = held();
  platform.setFaults({ .loseBefore = 1 });
  ends.write(releasedClaim(first), clock.now());
  EXPECT_EQ(ends.kept(), 0U);
  platform.setFaults({ .outage = true });
  ends.write(releasedClaim(first), clock.now());
  platform.setFaults({});
  ends.retry(clock.now());
  EXPECT_TRUE(std::holds_alternative<ClaimHeld>(claim("entry-2")));
}

} // namespace
} // namespace poplartrack
