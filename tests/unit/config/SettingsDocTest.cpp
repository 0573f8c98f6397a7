#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include "poplartrack/config/ProcessSettings.h"
#include "poplartrack/config/SettingRow.h"
#include "poplartrack/relay/RelaySettings.h"

namespace poplartrack {
namespace {

std::string
operationsPage()
{
  std::ifstream stream{ POPLARTRACK_SOURCE_DIR "/docs/OPERATIONS.md" };
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

void
expectDocumented(const std::string& aPage, std::span<const SettingRow> aRows)
{
  for (const SettingRow& row : aRows) {
    const std::string line = toDocTableRow(row) + "\n";
    EXPECT_NE(aPage.find(line), std::string::npos)
      << "docs/OPERATIONS.md lacks this line:\n"
      << line;
  }
}

/** Guards against docs/OPERATIONS.md falling behind the code: it must list each
 * setting with the key, allowed values, default and description of its row. */
TEST(SettingsDoc, operationsPageListsEverySetting)
{
  const std::string page = operationsPage();
  expectDocumented(page, folderSettings());
  expectDocumented(page, processSettings(ProcessRole::Entry));
  expectDocumented(page, processSettings(ProcessRole::Side));
  expectDocumented(page, relaySettings());
}

} // namespace
} // namespace poplartrack
