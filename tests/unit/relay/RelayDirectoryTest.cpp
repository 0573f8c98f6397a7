#include "poplartrack/relay/RelayDirectory.h"

#include <fcntl.h>

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

/** A store that holds the rows of aRelays relays and nothing else. */
class RelayRowStore
{
public:
  explicit RelayRowStore(int aRelays)
  {
    for (int i = 0; i < aRelays; ++i) {
      const std::string name = std::to_string(1'000 + i);
      this->rows.push_back(TableRow{ "r/" + name, "10.0.0.1:" + name, 1 });
    }
  }
  Result<std::optional<TableRow>> readRow(const std::string&,
                                          const std::string&)
  {
    return std::optional<TableRow>{};
  }
  Result<std::vector<TableRow>> scanRows(const std::string&,
                                         const std::string&,
                                         const std::string&,
                                         std::size_t aMost)
  {
    return std::vector<TableRow>{ this->rows.begin(),
                                  this->rows.begin() +
                                    static_cast<std::ptrdiff_t>(
                                      std::min(aMost, this->rows.size())) };
  }
  Result<std::vector<std::uint64_t>> transact(const std::vector<TableWrite>&)
  {
    return std::vector<std::uint64_t>{ 1 };
  }
  Result<Done> putObject(const std::string&, const std::string&)
  {
    return Done{};
  }
  Result<std::string> getObject(const std::string&)
  {
    return fail(ErrorKind::NotFound);
  }
  Result<std::vector<InstanceInfo>> listInstances()
  {
    return std::vector<InstanceInfo>{};
  }

private:
  std::vector<TableRow> rows;
};

TEST(RelayDirectory, ARelayKnowsAllOthersOfALargeRegion)
{
  // With 370 relays and a limit of 64 listed ones, the relays beyond the limit
  // receive no status messages from each other. Each then uses the whole slack
  // of the retry budget, and together they exceed the bound on attempts.
  RelaySettings settings;
  settings.region = "r";
  settings.name = "1000";
  settings.peers = { "10.0.0.1", 1'000 };
  RelayShared shared{ ::open("/dev/null", O_WRONLY) };
  RelayRowStore store{ 370 };
  RelayDirectory<RelayRowStore> directory{ settings, shared, store };
  directory.refresh(TimePoint{ std::chrono::hours{ 1 } });
  EXPECT_EQ(shared.peers.read()->size(), 369U);
}

} // namespace
} // namespace poplartrack
