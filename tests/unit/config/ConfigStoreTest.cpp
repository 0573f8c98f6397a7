#include "poplartrack/config/ConfigStore.h"

#include <gtest/gtest.h>

#include "poplartrack/config/FolderChange.h"
#include "poplartrack/config/RevisionDocument.h"
#include "poplartrack/config/RevisionText.h"
#include "poplartrack/config/RevisionUpdate.h"
#include "standins/lib/PlatformStandin.h"

namespace poplartrack {
namespace {

const SettingsFile kModels{ "10-models.toml",
                            "[models.m]\nlayers = 4\nversion = \"v1\"\n"
                            "[models.m.versions.v1]\nweights = \"w\"\n" };

SettingsFile
limitsFile(int aDeadline)
{
  return SettingsFile{ "20-limits.toml",
                       "limits.max_deadline_ms = " + std::to_string(aDeadline) +
                         "\n" };
}

SettingsFile
accountFile(int aWeight)
{
  return SettingsFile{ "30-accounts.toml",
                       "[accounts.shop]\nweight = " + std::to_string(aWeight) +
                         "\nsecret_sha256 = \"" + std::string(64, 'a') +
                         "\"\n" };
}

using Platform = standins::PlatformStandin<ManualClock>;

/** Returns the canonical text after an update, or the error when it cannot be
 * applied. */
Result<std::string>
applyUpdate(const std::string& aText, const RevisionUpdate& aUpdate)
{
  RevisionDocument document = RevisionDocument::create(aText).value();
  const Result<Done> applied = document.apply(aUpdate);
  if (!applied) {
    // A failed update leaves the document unchanged.
    EXPECT_EQ(document.text(), aText);
    return applied.error();
  }
  EXPECT_EQ(toRevisionText(*document.configuration()), document.text());
  return document.text();
}

class ConfigStoreTest : public testing::Test
{
protected:
  ManualClock clock;
  Platform platform{ clock };
  ConfigStore<Platform> store{ platform };
  int writes = 0;

  /** Runs aHook once, just before the transaction of the next push, which is
   * its third write: a push puts two objects first. */
  void beforeTransaction(std::function<void()> aHook)
  {
    this->writes = 0;
    this->platform.onWrite([this, aHook = std::move(aHook)] {
      constexpr int kTransaction = 3;
      if (++this->writes == kTransaction) {
        aHook();
      }
    });
  }

  void setFaults(const standins::PlatformFaults& aFaults)
  {
    this->platform.setFaults(aFaults);
  }

  static PushRequest request(std::string aChange,
                             std::string aAuthor,
                             std::uint64_t aBase,
                             std::vector<SettingsFile> aFiles)
  {
    return PushRequest{ std::move(aChange),
                        std::move(aAuthor),
                        0,
                        "",
                        aBase,
                        std::move(aFiles),
                        false };
  }

  /** Pushes revision 1: models, limits and accounts by kari. */
  void pushFirstRevision()
  {
    const auto pushed = this->store.push(
      request("c1", "kari", 0, { kModels, limitsFile(60000), accountFile(1) }));
    ASSERT_TRUE(pushed) << describe(pushed.error());
    ASSERT_EQ(pushed.value().revision, 1U);
  }

  std::uint64_t headRevision()
  {
    const auto head = this->store.head();
    return head && head.value() ? head.value()->revision : 0;
  }
};

TEST_F(ConfigStoreTest, aPushIsReadBackAsAWholeTextAndAsAStep)
{
  this->pushFirstRevision();
  const auto pushed = this->store.push(
    request("c2", "juma", 1, { kModels, limitsFile(90000), accountFile(1) }));
  ASSERT_TRUE(pushed) << describe(pushed.error());
  const auto text = this->store.text(2);
  ASSERT_TRUE(text);
  EXPECT_EQ(fromRevisionText(text.value()).value().limits.maxDeadline,
            std::chrono::seconds{ 90 });

  const auto record = this->store.record(2);
  ASSERT_TRUE(record);
  EXPECT_EQ(record.value().files,
            (std::vector<std::string>{ "20-limits.toml" }));
  const auto update = updateFromText(record.value().update);
  ASSERT_TRUE(update);
  EXPECT_EQ(applyUpdate(this->store.text(1).value(), update.value()).value(),
            text.value());

  const auto files = this->store.files(2);
  EXPECT_EQ(files.value()[0].changedBy, "kari");
  EXPECT_EQ(files.value()[1].changedBy, "juma");
  EXPECT_EQ(files.value()[1].changedIn, 2U);
}

/**
 * Two operators edit the same file from revision 1. The second gets an error
 * with the file and the author of the first push. Nothing of the second push is
 * in force, because the head row is compared before anything is written.
 */
TEST_F(ConfigStoreTest, theSecondOfTwoOperatorsGetsAConflictWithFileAndAuthor)
{
  this->pushFirstRevision();
  ASSERT_TRUE(this->store.push(
    request("c2", "juma", 1, { kModels, limitsFile(70000), accountFile(1) })));
  auto late =
    request("c3", "kari", 1, { kModels, limitsFile(80000), accountFile(1) });
  for (const bool rebase : { false, true }) {
    late.rebase = rebase;
    const auto refused = this->store.push(late);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().kind, ErrorKind::Conflict);
    EXPECT_NE(refused.error().detail.find("20-limits.toml"), std::string::npos);
    EXPECT_NE(refused.error().detail.find("juma"), std::string::npos);
  }
  EXPECT_EQ(this->headRevision(), 2U);
  EXPECT_FALSE(this->store.record(3));
}

/**
 * A push is frozen between its read of the head row and its transaction, and
 * another push commits meanwhile. The late transaction must not undo it: its
 * compare-and-set fails. The push returns a conflict, or with rebase merges its
 * files with those of the other push.
 */
TEST_F(ConfigStoreTest, aFrozenPushNeverUndoesAPushThatCommittedMeanwhile)
{
  this->pushFirstRevision();
  const auto overtake = [this] {
    ASSERT_TRUE(this->store.push(request(
      "c2", "juma", 1, { kModels, limitsFile(70000), accountFile(1) })));
  };
  auto slow =
    request("c3", "kari", 1, { kModels, limitsFile(60000), accountFile(9) });
  this->beforeTransaction(overtake);
  const auto refused = this->store.push(slow);
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().kind, ErrorKind::Conflict);
  EXPECT_EQ(this->headRevision(), 2U);

  slow.rebase = true;
  slow.changeId = "c4";
  const auto rebased = this->store.push(slow);
  ASSERT_TRUE(rebased) << describe(rebased.error());
  EXPECT_EQ(rebased.value().revision, 3U);
  EXPECT_EQ(
    rebased.value().files,
    (std::vector<SettingsFile>{ kModels, limitsFile(70000), accountFile(9) }));
}

/**
 * The transaction takes effect and its answer is lost. The operator must learn
 * that the push is in force, and repeating it must not make a second revision.
 * The change row, written together with the head row, shows both.
 */
TEST_F(ConfigStoreTest, aPushWhoseAnswerWasLostIsFoundByItsChangeId)
{
  this->pushFirstRevision();
  this->beforeTransaction([this] { this->setFaults({ .loseAfter = 1 }); });
  const auto second =
    request("c2", "juma", 1, { kModels, limitsFile(70000), accountFile(1) });
  const auto pushed = this->store.push(second);
  ASSERT_TRUE(pushed) << describe(pushed.error());
  EXPECT_TRUE(pushed.value().alreadyMade);
  EXPECT_EQ(pushed.value().revision, 2U);
  EXPECT_EQ(this->store.push(second).value().revision, 2U);
  EXPECT_EQ(this->headRevision(), 2U);
}

/**
 * The transaction is lost each time before it takes effect; then the platform
 * is available again. The operator gets an unknown outcome with the change id.
 * Repeating the push with that id makes exactly one revision.
 */
TEST_F(ConfigStoreTest, anUnknownPushIsRepeatedUnderItsChangeId)
{
  this->pushFirstRevision();
  this->beforeTransaction([this] { this->setFaults({ .loseBefore = 100 }); });
  const auto second =
    request("c2", "juma", 1, { kModels, limitsFile(70000), accountFile(1) });
  const auto lost = this->store.push(second);
  ASSERT_FALSE(lost);
  EXPECT_EQ(lost.error().kind, ErrorKind::PlatformUnknown);
  EXPECT_NE(lost.error().detail.find("c2"), std::string::npos);
  this->setFaults({});
  EXPECT_EQ(this->store.push(second).value().revision, 2U);
}

TEST_F(ConfigStoreTest, anOutageChangesNothing)
{
  this->pushFirstRevision();
  this->beforeTransaction([this] { this->setFaults({ .outage = true }); });
  const auto refused = this->store.push(
    request("c2", "juma", 1, { kModels, limitsFile(70000), accountFile(1) }));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().kind, ErrorKind::PlatformUnavailable);
  this->setFaults({});
  EXPECT_EQ(this->headRevision(), 1U);
}

TEST_F(ConfigStoreTest, aPushOfInvalidFilesChangesNothing)
{
  this->pushFirstRevision();
  const auto refused = this->store.push(
    request("c2", "juma", 1, { kModels, limitsFile(-1), accountFile(1) }));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().kind, ErrorKind::BadSettings);
  EXPECT_EQ(this->headRevision(), 1U);
}

TEST_F(ConfigStoreTest, aRollbackIsANewHigherRevision)
{
  this->pushFirstRevision();
  ASSERT_TRUE(this->store.push(
    request("c2", "juma", 1, { kModels, limitsFile(70000), accountFile(1) })));
  const auto back = this->store.rollback(1, request("c3", "kari", 0, {}));
  ASSERT_TRUE(back) << describe(back.error());
  EXPECT_EQ(back.value().revision, 3U);
  const auto now = fromRevisionText(this->store.text(3).value());
  EXPECT_EQ(now.value().limits.maxDeadline, std::chrono::seconds{ 60 });
  EXPECT_EQ(now.value().revision, 3U);
}

TEST_F(ConfigStoreTest, aPushOfUnchangedFilesMakesNoRevision)
{
  this->pushFirstRevision();
  const auto same = this->store.push(
    request("c2", "juma", 1, { kModels, limitsFile(60000), accountFile(1) }));
  ASSERT_TRUE(same);
  EXPECT_TRUE(same.value().unchanged);
  EXPECT_EQ(this->headRevision(), 1U);
}

TEST(RevisionUpdate, joinedStepsGiveTheLastText)
{
  ManualClock clock;
  Platform platform{ clock };
  ConfigStore<Platform> store{ platform };
  std::vector<RevisionUpdate> updates;
  for (int i = 1; i <= 4; ++i) {
    const auto pushed =
      store.push(PushRequest{ "c" + std::to_string(i),
                              "kari",
                              0,
                              "",
                              static_cast<std::uint64_t>(i - 1),
                              { kModels, limitsFile(60000 + i) },
                              false });
    ASSERT_TRUE(pushed) << describe(pushed.error());
  }
  const auto records = store.history(1, 100);
  ASSERT_EQ(records.value().size(), 3U);
  for (const RevisionRecord& record : records.value()) {
    updates.push_back(updateFromText(record.update).value());
  }
  const auto joined = joinUpdates(updates);
  ASSERT_TRUE(joined);
  EXPECT_EQ(applyUpdate(store.text(1).value(), joined.value()).value(),
            store.text(4).value());
  // Updates are refused if they start at another revision, are out of order, or
  // do not match their hash.
  EXPECT_EQ(applyUpdate(store.text(2).value(), joined.value()).error().kind,
            ErrorKind::Conflict);
  std::swap(updates[0], updates[1]);
  EXPECT_FALSE(joinUpdates(updates));
  RevisionUpdate wrong = joined.value();
  wrong.text.replace(wrong.text.find("60004"), 5, "60005");
  EXPECT_EQ(applyUpdate(store.text(1).value(), wrong).error().kind,
            ErrorKind::Malformed);
}

} // namespace
} // namespace poplartrack
