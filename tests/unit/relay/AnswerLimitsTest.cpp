#include "../../../src/relay/AnswerLimits.h"

#include <gtest/gtest.h>

#include "../../../src/relay/BulkReads.h"

namespace poplartrack {
namespace {

constexpr std::uint64_t kMegabyte = 1'048'576;

TEST(AnswerLimits, AnAnswerMayNotTakeMoreThanAllTogetherMayHold)
{
  RelaySettings settings;
  settings.answerMb = 32;
  EXPECT_EQ(answerLimits(settings, 100 * kMegabyte).bodyBytes, 32 * kMegabyte);
  EXPECT_EQ(answerLimits(settings, 8 * kMegabyte).bodyBytes, 8 * kMegabyte);
}

class Excess : public ::testing::Test
{
protected:
  [[nodiscard]] std::optional<AnswerExcess> check() const
  {
    return excessOf(this->progress, AnswerLimits{ 10, 1'000, 5'000, 200 });
  }

  AnswerProgress progress;
};

TEST_F(Excess, AWholeAnswerMayHaveTheLargestSize)
{
  this->progress.bodyBytes = 1'000;
  EXPECT_EQ(this->check(), std::nullopt);
  this->progress.bodyBytes = 1'001;
  EXPECT_EQ(this->check(), AnswerExcess::Body);
}

TEST_F(Excess, AStreamHasLimitsOfItsOwn)
{
  this->progress.isStream = true;
  this->progress.bodyBytes = 5'000;
  this->progress.partialEventBytes = 200;
  EXPECT_EQ(this->check(), std::nullopt);
  this->progress.bodyBytes = 5'001;
  EXPECT_EQ(this->check(), AnswerExcess::Stream);
  this->progress.partialEventBytes = 201;
  EXPECT_EQ(this->check(), AnswerExcess::Event);
}

TEST_F(Excess, OnlyAFewOtherAnswersAreSkipped)
{
  this->progress.interim = 16;
  this->progress.foreign = 16;
  this->progress.foreignBytes = 1'000;
  EXPECT_EQ(this->check(), std::nullopt);
  this->progress.foreignBytes = 1'001;
  EXPECT_EQ(this->check(), AnswerExcess::Foreign);
  this->progress.foreignBytes = 0;
  this->progress.foreign = 17;
  EXPECT_EQ(this->check(), AnswerExcess::Foreign);
  this->progress.interim = 17;
  EXPECT_EQ(this->check(), AnswerExcess::Interim);
}

TEST_F(Excess, TheParserNamesHeadAndFraming)
{
  this->progress.problem = ParseProblem::HeadTooLarge;
  EXPECT_EQ(this->check(), AnswerExcess::Head);
  this->progress.problem = ParseProblem::FramingTooLarge;
  EXPECT_EQ(this->check(), AnswerExcess::Framing);
}

TEST(BulkReads, HaveAShareOfEachPeriod)
{
  using std::chrono::milliseconds;
  BulkReads reads{ milliseconds{ 200 }, 0.1 };
  reads.record(milliseconds{ 19 });
  EXPECT_FALSE(reads.exhausted());
  reads.record(milliseconds{ 1 });
  EXPECT_TRUE(reads.exhausted());
  reads.beginPeriod();
  EXPECT_FALSE(reads.exhausted());
}

} // namespace
} // namespace poplartrack
