#include "poplartrack/config/RevisionDocument.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "poplartrack/config/RevisionText.h"

namespace poplartrack {
namespace {

/** Returns one of four names, so that edits change, remove and add entries. */
std::string
randomName()
{
  return "n" + std::to_string(*rc::gen::inRange(0, 4));
}

/** Makes one random change to a configuration. */
void
editRandomly(Configuration& aConfiguration)
{
  const std::string name = randomName();
  const auto number = static_cast<std::uint32_t>(*rc::gen::inRange(1, 100));
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
      aConfiguration.accounts[name].secretSha256 = std::string(64, 'a');
      aConfiguration.accounts[name].requestsPerSecond = number;
      break;
    case 1:
      aConfiguration.accounts.erase(name);
      break;
    case 2:
      aConfiguration.models[name] =
        ModelSpec{ number, "v1", { { "v1", { "w" } } }, 10, 10, 1, 0.5 };
      break;
    case 3:
      aConfiguration.models.erase(name);
      break;
    case 4:
      aConfiguration.services[name].operations["op"].idempotent =
        number % 2 == 0;
      break;
    case 5:
      aConfiguration.services.erase(name);
      break;
    case 6:
      aConfiguration.priorities[0].floorShare = number / 100.0;
      break;
    default:
      aConfiguration.limits.maxDeadline = std::chrono::seconds{ 30 + number };
  }
}

/** Rebuilding only the entries that the steps change gives the same
 * configuration as reading the whole text. */
RC_GTEST_PROP(RevisionDocument, stepsGiveTheSameAsTheWholeText, ())
{
  Configuration configuration;
  configuration.revision = 1;
  auto document = RevisionDocument::create(toRevisionText(configuration));
  RC_ASSERT(document.ok());
  const int pushes = *rc::gen::inRange(1, 8);
  for (int i = 0; i < pushes; ++i) {
    const std::string before = toRevisionText(configuration);
    const int edits = *rc::gen::inRange(0, 4);
    for (int j = 0; j < edits; ++j) {
      editRandomly(configuration);
    }
    ++configuration.revision;
    const std::string after = toRevisionText(configuration);
    const auto update = updateBetween(before, after);
    RC_ASSERT(update.ok());
    RC_ASSERT(document.value().apply(update.value()).ok());
    RC_ASSERT(document.value().text() == after);
    RC_ASSERT(toRevisionText(*document.value().configuration()) == after);
  }
}

TEST(RevisionDocument, aStepToInvalidSettingsChangesNothing)
{
  Configuration configuration;
  configuration.revision = 1;
  const std::string before = toRevisionText(configuration);
  configuration.revision = 2;
  configuration.accounts["shop"].secretSha256 = "no hash";
  const auto update = updateBetween(before, toRevisionText(configuration));
  auto document = RevisionDocument::create(before);
  ASSERT_TRUE(document);
  EXPECT_EQ(document.value().apply(update.value()).error().kind,
            ErrorKind::BadSettings);
  EXPECT_EQ(document.value().text(), before);

  configuration.accounts["shop"].secretSha256 = std::string(64, 'a');
  const auto good = updateBetween(before, toRevisionText(configuration));
  EXPECT_TRUE(document.value().apply(good.value()));
  EXPECT_EQ(document.value().configuration()->accounts.size(), 1U);
}

// Guards against an update whose nesting overflows the stack of every process
// that follows the configuration.
TEST(RevisionDocument, ADeepUpdateIsRejected)
{
  const std::string deep =
    std::string(100'000, '[') + std::string(100'000, ']');
  const RevisionUpdate update{
    1,
    2,
    R"({"from":1,"to":2,"sha256":"0","steps":[[{"op":"add",)"
    R"("path":"/settings/odd","value":)" +
      deep + "}]]}"
  };
  Configuration configuration;
  configuration.revision = 1;
  const std::string text = toRevisionText(configuration);
  auto document = RevisionDocument::create(text);
  ASSERT_TRUE(document);
  EXPECT_FALSE(document.value().apply(update));
  EXPECT_EQ(document.value().text(), text);
  EXPECT_FALSE(joinUpdates({ update }));
  EXPECT_FALSE(updateFromText(update.text));
  EXPECT_FALSE(RevisionDocument::create(R"({"revision":1,"settings":{"odd":)" +
                                        deep + "}}"));
}

} // namespace
} // namespace poplartrack
