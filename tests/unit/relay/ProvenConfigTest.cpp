#include "poplartrack/relay/ProvenConfig.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

constexpr Duration kOldAge = std::chrono::seconds{ 3 };
constexpr Duration kNewAge = std::chrono::milliseconds{ 1 };

/** Puts version 2 in force with a new proof between the two reads. */
class ConfigInChange
{
public:
  Duration readAge() { return this->next() == 1 ? kOldAge : kNewAge; }
  std::shared_ptr<const RelayConfig> readConfig()
  {
    auto config = std::make_shared<RelayConfig>();
    config->version = this->next();
    return config;
  }

private:
  std::uint64_t next() { return ++this->reads; }

  std::uint64_t reads = 0;
};

TEST(ProvenConfig, AnOlderConfigurationNeverHasANewerProof)
{
  ConfigInChange source;
  const ProvenConfig proven = readProven([&] { return source.readAge(); },
                                         [&] { return source.readConfig(); });
  EXPECT_EQ(proven.config->version, 2U);
  EXPECT_EQ(proven.proofAge, kOldAge);
}

} // namespace
} // namespace poplartrack
