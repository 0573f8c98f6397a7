#include "poplartrack/config/Folder.h"

#include <gtest/gtest.h>

#include "poplartrack/config/RevisionText.h"
#include "poplartrack/config/SettingRow.h"

namespace poplartrack {
namespace {

constexpr std::string_view kModels = R"([models.pairing-llm]
layers = 24
version = "v3"
min_copies = 2
weight = 3.0
[models.pairing-llm.versions.v3]
weights = "pairing-llm-v3"
[services.kituo.operations.dispatch]
idempotent = false
)";

const std::string kSecret =
  "secret_sha256 = \"" + std::string(64, 'a') + "\"\n";

SettingsFile
file(std::string aName, std::string_view aText)
{
  return SettingsFile{ std::move(aName), std::string{ aText } };
}

TEST(Folder, mergesByNameLaterFilesOverride)
{
  const auto merged = mergeFolder(
    { file("90-late.toml",
           "models.pairing-llm.min_copies = 5\n[accounts.shop]\nweight = 7\n"),
      file("10-models.toml", kModels),
      file("20-accounts.toml",
           "[accounts.shop]\n" + kSecret +
             "weight = 2\nhighest_priority = \"high\"\n") });
  ASSERT_TRUE(merged.ok()) << toText(merged.problems);
  const Configuration& configuration = merged.value;
  EXPECT_EQ(configuration.models.at("pairing-llm").minCopies, 5U);
  EXPECT_EQ(configuration.models.at("pairing-llm").layers, 24U);
  EXPECT_EQ(configuration.accounts.at("shop").weight, 7);
  EXPECT_EQ(configuration.accounts.at("shop").highestPriority, Priority::High);
  EXPECT_FALSE(
    configuration.services.at("kituo").operations.at("dispatch").idempotent);
}

TEST(Folder, reportsEveryMistakeOfAFileAtOnce)
{
  const auto merged = mergeFolder({ file("10-all.toml", R"([models.m]
layers = "24"
version = "v9"
min_copys = 2
weight = -1
weight = 2
[models.m.versions.v3]
weights = "w"
[priorities.urgent]
floor_share = 0.5
[models.m.versions.v3]
weights = "again"
)") });
  EXPECT_EQ(
    toText(merged.problems),
    "10-all.toml:2: models.m.layers: wrong type string; write an integer from "
    "1 to 1000\n"
    "10-all.toml:3: models.m.version: version \"v9\" is not declared; "
    "declared: v3\n"
    "10-all.toml:4: models.m.min_copys: unknown key; did you mean "
    "\"min_copies\"?\n"
    "10-all.toml:5: models.m.weight: impossible value -1; write a number from "
    "0 to 1000\n"
    "10-all.toml:6: models.m.weight: duplicate: it is already given in this "
    "file; keep one of the two\n"
    "10-all.toml:9: priorities.urgent: unknown key; known here: high, low, "
    "normal\n"
    "10-all.toml:11: models.m.versions.v3: duplicate: it is already given in "
    "this file; keep one of the two\n");
}

TEST(Folder, reportsAMistakeThatALaterFileOverrides)
{
  const auto merged =
    mergeFolder({ file("10.toml", kModels),
                  file("20.toml", "models.pairing-llm.layers = 0\n"),
                  file("30.toml", "models.pairing-llm.layers = 12\n") });
  ASSERT_EQ(merged.problems.size(), 1U) << toText(merged.problems);
  EXPECT_EQ(merged.problems[0].file, "20.toml");
}

TEST(Folder, aSyntaxErrorDoesNotHideOtherMistakes)
{
  const auto merged =
    mergeFolder({ file("10.toml", "[models.m]\nlayers = = 3\nversion = 3\n") });
  ASSERT_EQ(merged.problems.size(), 2U) << toText(merged.problems);
  EXPECT_EQ(merged.problems[0].line, 2U);
  EXPECT_EQ(merged.problems[1].key, "models.m.version");
}

/** Each of these lines, found by the fuzzer, causes undefined behaviour in the
 * TOML library: a header without a name, a non-ASCII letter in a bare key or
 * after a value, a byte that is not UTF-8. Each must be reported as a problem
 * and not reach the library. */
TEST(Folder, reportsLinesThatTheTomlLibraryCannotHandle)
{
  for (const std::string_view line : { "[",
                                       "[[",
                                       "[ \t",
                                       "[=]",
                                       "[accounts.elkj\u00f8p]",
                                       "a\u00f8 = 1",
                                       "a = 1 \u00f8",
                                       "# \xd4" }) {
    const auto merged =
      mergeFolder({ file("1.toml", std::string{ line } + "\n") });
    ASSERT_FALSE(merged.ok()) << line;
    EXPECT_EQ(merged.problems[0].line, 1U);
  }
  const auto fine = mergeFolder({ file(
    "1.toml", "# Troms\u00f8 [\nlimits.max_deadline_ms = 90000 # \u00f8\n") });
  EXPECT_TRUE(fine.ok()) << toText(fine.problems);
}

/** Guards against a stack overflow: the TOML library recurses once per level.
 */
TEST(Folder, reportsDeepNestingWithoutACrash)
{
  std::string dots = "a";
  for (int i = 0; i < 100000; ++i) {
    dots += ".a";
  }
  EXPECT_FALSE(mergeFolder({ file("1.toml", dots + " = 1\n") }).ok());
  const std::string open(100000, '[');
  EXPECT_FALSE(mergeFolder({ file("1.toml", "a = " + open) }).ok());
}

TEST(Folder, checksRulesThatSpanSeveralKeys)
{
  const auto merged = mergeFolder(
    { file("1.toml",
           "[limits]\ndefault_deadline_ms = 200000\n[priorities]\n"
           "high.floor_share = 0.8\nlow.floor_share = 0.4\n"
           "[services.engine]\n[accounts.a]\nsecret_sha256 = \"x\"\n"
           "highest_priority = \"urgent\"\n[accounts.b]\n") });
  std::vector<std::string> keys;
  for (const SettingsProblem& problem : merged.problems) {
    keys.push_back(problem.key);
  }
  EXPECT_EQ(keys,
            (std::vector<std::string>{ "limits.default_deadline_ms",
                                       "priorities",
                                       "services.engine",
                                       "accounts.a.secret_sha256",
                                       "accounts.a.highest_priority",
                                       "accounts.b.secret_sha256" }));
}

/** Guards against a documented default that differs from the default in the
 * code: writing the defaults out must give the same configuration. */
TEST(Folder, explicitDefaultsChangeNothing)
{
  const std::string required = std::string{ kModels } + "[accounts.shop]\n" +
                               kSecret + "[services.kituo]\n";
  std::string defaults;
  for (const SettingRow& row : folderSettings()) {
    std::string path{ row.path };
    if (row.required() || path.find("operations") != std::string::npos ||
        path == "models.*.weight" || path == "models.*.min_copies") {
      continue;
    }
    const std::string name = path.starts_with("models")     ? "pairing-llm"
                             : path.starts_with("services") ? "kituo"
                                                            : "shop";
    if (const auto star = path.find('*'); star != std::string::npos) {
      path.replace(star, 1, name);
    }
    defaults += path + " = " + std::string{ row.defaultValue } + "\n";
  }
  const auto plain = mergeFolder({ file("1.toml", required) });
  const auto given =
    mergeFolder({ file("1.toml", required), file("2.toml", defaults) });
  ASSERT_TRUE(given.ok()) << toText(given.problems);
  EXPECT_EQ(toRevisionText(plain.value), toRevisionText(given.value));
}

TEST(RevisionText, readsBackExactly)
{
  auto merged = mergeFolder(
    { file("1.toml", kModels),
      file("2.toml",
           "[accounts.shop]\nweight = 0.1\ntokens_per_second = 333.3333\n" +
             kSecret) });
  ASSERT_TRUE(merged.ok()) << toText(merged.problems);
  merged.value.revision = 18'000'000'000'000'000'000ULL;
  const std::string text = toRevisionText(merged.value);
  const auto back = fromRevisionText(text);
  ASSERT_TRUE(back) << describe(back.error());
  EXPECT_EQ(back.value().revision, merged.value.revision);
  EXPECT_EQ(back.value().accounts.at("shop").weight, 0.1);
  EXPECT_EQ(toRevisionText(back.value()), text);
}

TEST(RevisionText, rejectsTruncatedAndInvalidText)
{
  const auto merged = mergeFolder({ file("1.toml", kModels) });
  const std::string text = toRevisionText(merged.value);
  EXPECT_FALSE(fromRevisionText(text.substr(0, text.size() - 1)));
  std::string wrong = text;
  wrong.replace(wrong.find("\"layers\":24"), 11, "\"layers\":-1");
  EXPECT_FALSE(fromRevisionText(wrong));
  EXPECT_FALSE(fromRevisionText("[]"));
}

} // namespace
} // namespace poplartrack
