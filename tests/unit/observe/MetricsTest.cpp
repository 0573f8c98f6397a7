#include "poplartrack/observe/Metrics.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

TEST(Metrics, everyRefusalAndRetryReasonHasALineFromTheStart)
{
  const Metrics metrics;
  const std::string text = metrics.render();
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const std::string kind{ nameOf(static_cast<ErrorKind>(i)) };
    EXPECT_NE(text.find("refusals_total{kind=\"" + kind + "\"} 0"),
              std::string::npos);
  }
  for (const std::string_view reason : kRetryReasonNames) {
    EXPECT_NE(
      text.find("retries_total{reason=\"" + std::string{ reason } + "\"} 0"),
      std::string::npos);
  }
  for (const std::string_view reason : kStoreCallNames) {
    EXPECT_NE(text.find("store_calls_total{reason=\"" + std::string{ reason } +
                        "\"} 0"),
              std::string::npos);
  }
}

TEST(Metrics, countsAndSummarises)
{
  Metrics metrics;
  metrics.countRefusal(ErrorKind::Overloaded);
  metrics.countRetry(RetryReason::StageLost);
  metrics.countStoreCall(StoreCall::ReplicasRead, 2);
  metrics.count("answers_total", 2);
  metrics.observe("first_token_seconds", std::chrono::milliseconds{ 500 });
  EXPECT_EQ(metrics.refusals(ErrorKind::Overloaded), 1U);
  EXPECT_EQ(metrics.retries(RetryReason::StageLost), 1U);
  EXPECT_EQ(metrics.storeCalls(StoreCall::ReplicasRead), 2U);
  EXPECT_EQ(metrics.counter("answers_total"), 2U);
  const std::string text = metrics.render();
  EXPECT_NE(text.find("poplartrack_first_token_seconds_count 1"),
            std::string::npos);
}

} // namespace
} // namespace poplartrack
