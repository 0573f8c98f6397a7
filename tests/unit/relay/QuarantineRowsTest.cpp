#include "poplartrack/relay/QuarantineRows.h"

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include "poplartrack/store/StoreVersion.h"

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr Fingerprint kRequest{ 1, 2 };

/** A store with one table of rows, which may be unavailable. */
class RowStore
{
public:
  Result<std::optional<TableRow>> readRow(const std::string&,
                                          const std::string& aKey)
  {
    ++this->calls;
    const auto found = this->rows.find(aKey);
    return found == this->rows.end() ? std::optional<TableRow>{}
                                     : std::optional{ found->second };
  }
  Result<std::vector<TableRow>> scanRows(const std::string&,
                                         const std::string&,
                                         const std::string&,
                                         std::size_t)
  {
    ++this->calls;
    if (this->unavailable) {
      return fail(ErrorKind::PlatformUnavailable);
    }
    std::vector<TableRow> all;
    for (const auto& [key, row] : this->rows) {
      all.push_back(row);
    }
    return all;
  }
  Result<std::vector<std::uint64_t>> transact(
    const std::vector<TableWrite>& aWrites)
  {
    ++this->calls;
    if (this->unavailable) {
      return fail(ErrorKind::PlatformUnavailable);
    }
    const TableWrite& write = aWrites.front();
    const auto found = this->rows.find(write.key);
    const std::uint64_t version =
      found == this->rows.end() ? 0 : found->second.version;
    if (version != write.expect) {
      return fail(ErrorKind::Conflict);
    }
    if (write.value) {
      this->rows[write.key] =
        TableRow{ write.key, *write.value, ++this->lastVersion };
    } else {
      this->rows.erase(write.key);
    }
    return std::vector<std::uint64_t>{ this->lastVersion };
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

  std::map<std::string, TableRow> rows;
  std::uint64_t lastVersion = 0;
  int calls = 0;
  bool unavailable = false;
};

class QuarantineRowsTest : public ::testing::Test
{
protected:
  QuarantineRowsTest()
    : logFd(::open("/dev/null", O_WRONLY))
    , shared(logFd)
  {
  }
  ~QuarantineRowsTest() override { ::close(this->logFd); }

  /** Puts the request in quarantine. aOwn: this relay observed the crash. */
  void quarantine(bool aOwn)
  {
    this->shared.quarantine.replace(
      std::make_shared<const std::vector<QuarantineRecord>>(
        1, QuarantineRecord{ contentSuspect(kRequest), Duration{ 0 }, aOwn }));
  }
  void endQuarantine()
  {
    this->shared.quarantine.replace(
      std::make_shared<const std::vector<QuarantineRecord>>());
  }

  int logFd;
  RelayShared shared;
  RowStore store;
};

TEST_F(QuarantineRowsTest, WhatOneRelayFoundOutlastsAllRelays)
{
  QuarantineRows<RowStore> finder{ this->shared, this->store };
  finder.refresh(kStart);
  this->quarantine(true);
  finder.refresh(kStart + milliseconds{ 250 });
  EXPECT_EQ(this->store.rows.count(toText(kRequest)), 1U);
  RelayShared restarted{ this->logFd };
  QuarantineRows<RowStore> reader{ restarted, this->store };
  reader.refresh(kStart + seconds{ 5 });
  reader.refresh(kStart + seconds{ 6 });
  EXPECT_EQ(*restarted.storedQuarantine.read(),
            std::vector<Suspect>{ contentSuspect(kRequest) });
  reader.refresh(kStart + seconds{ 7 });
  EXPECT_EQ(this->store.rows.count(toText(kRequest)), 1U);
}

TEST_F(QuarantineRowsTest, AReportedQuarantineIsWrittenByTheLeaseHolderAlone)
{
  QuarantineRows<RowStore> rows{ this->shared, this->store };
  this->quarantine(false);
  rows.refresh(kStart);
  EXPECT_TRUE(this->store.rows.empty());
  this->shared.holdsLease = true;
  rows.refresh(kStart + milliseconds{ 250 });
  EXPECT_EQ(this->store.rows.size(), 1U);
  const int calls = this->store.calls;
  rows.refresh(kStart + milliseconds{ 500 });
  EXPECT_EQ(this->store.calls, calls);
}

TEST_F(QuarantineRowsTest, ARowIsWrittenOnceTheStoreIsAvailableAgain)
{
  QuarantineRows<RowStore> rows{ this->shared, this->store };
  this->quarantine(true);
  this->store.unavailable = true;
  rows.refresh(kStart);
  rows.refresh(kStart + milliseconds{ 250 });
  EXPECT_EQ(this->store.calls, 1);
  this->store.unavailable = false;
  rows.refresh(kStart + seconds{ 2 });
  EXPECT_EQ(this->store.rows.size(), 1U);
}

TEST_F(QuarantineRowsTest, ARowIsDeletedWhenItsQuarantineIsOver)
{
  QuarantineRows<RowStore> rows{ this->shared, this->store };
  this->quarantine(true);
  rows.refresh(kStart);
  EXPECT_EQ(this->store.rows.size(), 1U);
  this->endQuarantine();
  rows.refresh(kStart + milliseconds{ 250 });
  EXPECT_TRUE(this->store.rows.empty());
}

TEST_F(QuarantineRowsTest, AnIsolatedRelayReadsRegularly)
{
  // A relay that is cut off from the other relays, but not from the store, gets
  // no reports of new quarantines. Without regular reads it would forward the
  // requests that the others have put in quarantine.
  this->shared.peers.replace(std::make_shared<const std::vector<Address>>(
    std::vector<Address>{ { "127.0.0.1", 9 } }));
  QuarantineRows<RowStore> rows{ this->shared, this->store };
  rows.refresh(kStart);
  rows.refresh(kStart + seconds{ 3 });
  this->store.rows[toText(kRequest)] = TableRow{ toText(kRequest), "", 7 };
  rows.refresh(kStart + seconds{ 4 });
  EXPECT_EQ(*this->shared.storedQuarantine.read(),
            std::vector<Suspect>{ contentSuspect(kRequest) });
}

TEST_F(QuarantineRowsTest, RelaysThatStartTogetherDoNotAllRead)
{
  // When all relays restart, a read by each would be hundreds of reads at the
  // store. Only the store readers read, once they know each other.
  this->shared.peers.replace(std::make_shared<const std::vector<Address>>(
    std::vector<Address>{ { "127.0.0.1", 9 } }));
  QuarantineRows<RowStore> rows{ this->shared, this->store };
  for (int i = 0; i < 8; ++i) {
    rows.refresh(kStart + milliseconds{ 250 } * i);
  }
  EXPECT_EQ(this->store.calls, 0);
  this->shared.storeReaders = 2;
  this->shared.polls = false;
  rows.refresh(kStart + seconds{ 2 });
  EXPECT_EQ(this->store.calls, 0);
  this->shared.polls = true;
  rows.refresh(kStart + milliseconds{ 2'250 });
  EXPECT_EQ(this->store.calls, 1);
}

TEST_F(QuarantineRowsTest, ARowThatARestoredStoreLacksIsWrittenAgain)
{
  QuarantineRows<RowStore> finder{ this->shared, this->store };
  finder.refresh(kStart);
  this->quarantine(true);
  finder.refresh(kStart + milliseconds{ 250 });
  ASSERT_EQ(this->store.rows.count(toText(kRequest)), 1U);
  this->store.rows.clear();
  this->shared.listVersion = storeVersion(1, 1);
  finder.refresh(kStart + milliseconds{ 500 });
  EXPECT_EQ(this->store.rows.count(toText(kRequest)), 1U);
}

} // namespace
} // namespace poplartrack
