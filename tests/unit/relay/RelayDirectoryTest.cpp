#include "poplartrack/relay/RelayDirectory.h"

#include <fcntl.h>

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

/** The rows of a large region's relays; nothing else. */
class RowsOfRelays
{
public:
  explicit RowsOfRelays(int aRelays)
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
  // 370 relays. Where only 64 were listed, those behind them did not hear each
  // other: each took the retry budget's slack for its own, and callers'
  // attempts at the engines passed the bound together.
  RelaySettings settings;
  settings.region = "r";
  settings.name = "1000";
  settings.peers = { "10.0.0.1", 1'000 };
  RelayShared shared{ ::open("/dev/null", O_WRONLY) };
  RowsOfRelays store{ 370 };
  RelayDirectory<RowsOfRelays> directory{ settings, shared, store };
  directory.refresh(TimePoint{ std::chrono::hours{ 1 } });
  EXPECT_EQ(shared.peers.read()->size(), 369U);
}

} // namespace
} // namespace poplartrack
