#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "poplartrack/config/Folder.h"
#include "poplartrack/config/RevisionText.h"

namespace {

using namespace poplartrack;

/** Parts the input into the files of a folder. */
constexpr char kBetweenFiles = '\x1e';

std::vector<SettingsFile>
filesOf(std::string_view aInput)
{
  std::vector<SettingsFile> files;
  while (true) {
    const auto end = aInput.find(kBetweenFiles);
    files.push_back(SettingsFile{ std::to_string(files.size()) + ".toml",
                                  std::string{ aInput.substr(0, end) } });
    if (end == std::string_view::npos) {
      return files;
    }
    aInput.remove_prefix(end + 1);
  }
}

} // namespace

/** Any folder merges or is refused with reasons; what merges reads back. */
extern "C" int
// NOLINTNEXTLINE(readability-identifier-naming): the library's name.
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view input{ reinterpret_cast<const char*>(aData), aSize };
  const Checked<Configuration> merged = mergeFolder(filesOf(input));
  if (!merged.ok()) {
    return 0;
  }
  const std::string text = toRevisionText(merged.value);
  const Result<Configuration> back = fromRevisionText(text);
  if (!back || toRevisionText(back.value()) != text) {
    std::abort();
  }
  return 0;
}
