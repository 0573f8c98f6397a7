#include "poplartrack/config/TomlDocument.h"

#include <algorithm>
#include <optional>

#include "TomlGuard.h"

// Limits the nesting of values, since the library and the conversion below
// recurse once per level: a hostile file must not exhaust the stack.
#define TOML_MAX_NESTED_VALUES 16
// The library reports errors by exceptions; parseOnce catches them.
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

namespace poplartrack {
namespace {

/**
 * Each dot of a dotted key nests a table without a bracket. The library does
 * not limit that depth.
 */
constexpr std::ptrdiff_t kMaxDotsPerLine = 200;
/** Values below this depth are not converted, to bound the recursion. */
constexpr int kMaxTreeDepth = 16;
/** Parsing stops after this many errors; each one costs another parse. */
constexpr int kMaxErrorsPerFile = 30;
/**
 * Name of the table, with a number appended, that replaces a header with an
 * error. It receives the keys that follow the header and is then removed.
 */
constexpr std::string_view kRejectedHeaderPrefix = "rejected-header-";

std::vector<std::string>
splitLines(std::string_view aText)
{
  std::vector<std::string> lines;
  while (!aText.empty()) {
    const auto end = aText.find('\n');
    lines.emplace_back(aText.substr(0, end));
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
  }
  return lines;
}

std::string
joinLines(const std::vector<std::string>& aLines)
{
  std::string text;
  for (const std::string& line : aLines) {
    text += line;
    text += '\n';
  }
  return text;
}

/** The line on which a parse failed, and why. */
struct ParseFailure
{
  /** Counted from 1. */
  std::uint32_t line = 0;
  std::string description;

  /** Returns whether the error is a duplicate key or table, which only the
   * library's message tells. */
  [[nodiscard]] bool isRedefinition() const
  {
    return this->description.find("redefin") != std::string::npos;
  }
};

/** Returns the key or the header name of a line, for an error message. */
std::string
keyOfLine(const std::string& aLine)
{
  const auto first = aLine.find_first_not_of(" \t[");
  const auto last = aLine.find_first_of("=]#\r", first);
  if (first == std::string::npos) {
    return {};
  }
  std::string key =
    aLine.substr(first, last == std::string::npos ? last : last - first);
  key.erase(key.find_last_not_of(" \t") + 1);
  return key;
}

/** Returns the header above a line; empty if there is none. */
std::string
enclosingHeader(const std::vector<std::string>& aLines, std::size_t aIndex)
{
  for (std::size_t i = aIndex; i > 0; --i) {
    const std::string& line = aLines[i - 1];
    const auto first = line.find_first_not_of(" \t");
    if (first != std::string::npos && line[first] == '[') {
      return keyOfLine(line);
    }
  }
  return {};
}

bool
isHeader(const std::string& aLine)
{
  const auto first = aLine.find_first_not_of(" \t");
  return first != std::string::npos && aLine[first] == '[';
}

/** Converts a node of the library and everything below it. */
SettingsNode
toSettingsNode(const toml::node& aNode, std::uint32_t aFile, int aDepth)
{
  SettingsNode node;
  node.file = aFile;
  node.line = aNode.source().begin.line;
  if (aDepth > kMaxTreeDepth) {
    return node;
  }
  if (const auto* table = aNode.as_table()) {
    SettingsTable entries;
    for (const auto& [key, child] : *table) {
      entries.emplace(std::string{ key.str() },
                      toSettingsNode(child, aFile, aDepth + 1));
      SettingsNode& entry = entries.find(key.str())->second;
      // The position of a value is its own, that of a table is its header's.
      // A node without a position gets the line of its key.
      if (entry.line == 0) {
        entry.line = key.source().begin.line;
      }
    }
    node.value = std::move(entries);
  } else if (const auto* array = aNode.as_array()) {
    SettingsArray items;
    for (const auto& child : *array) {
      items.push_back(toSettingsNode(child, aFile, aDepth + 1));
    }
    node.value = std::move(items);
  } else if (const auto* text = aNode.as_string()) {
    node.value = text->get();
  } else if (const auto* integer = aNode.as_integer()) {
    node.value = integer->get();
  } else if (const auto* real = aNode.as_floating_point()) {
    node.value = real->get();
  } else if (const auto* boolean = aNode.as_boolean()) {
    node.value = boolean->get();
  }
  return node;
}

/** Parses the whole text up to the first error. */
std::variant<SettingsNode, ParseFailure>
parseOnce(const std::vector<std::string>& aLines, std::uint32_t aFileIndex)
{
  if (auto rejected = findRejectedLine(aLines)) {
    return ParseFailure{ static_cast<std::uint32_t>(rejected->index + 1),
                         std::move(rejected->reason) };
  }
  try {
    return toSettingsNode(toml::parse(joinLines(aLines)), aFileIndex, 0);
  } catch (const toml::parse_error& error) {
    return ParseFailure{ error.source().begin.line,
                         std::string{ error.description() } };
  }
}

/** Returns a problem if the file is too large or nests too deeply. */
std::optional<SettingsProblem>
findSizeProblem(const std::string& aFile,
                std::string_view aText,
                const std::vector<std::string>& aLines)
{
  if (aText.size() > kMaxSettingsFileBytes) {
    return SettingsProblem{
      aFile, 0, "", "the file is larger than 8 MB; split it"
    };
  }
  for (std::size_t i = 0; i < aLines.size(); ++i) {
    if (std::count(aLines[i].begin(), aLines[i].end(), '.') > kMaxDotsPerLine) {
      return SettingsProblem{ aFile,
                              static_cast<std::uint32_t>(i + 1),
                              "",
                              "more than 200 dots on one line; use one line "
                              "for each item" };
    }
  }
  return std::nullopt;
}

/**
 * Blanks a line with an error so that the rest can be parsed. Returns false if
 * the line is not a header and contains no '=': the caller then stops
 * parsing, since blanking one line of a value that spans several does not help.
 */
bool
blankLine(std::string& aLine, int aErrorIndex)
{
  if (isHeader(aLine)) {
    // Otherwise the keys that follow would belong to the table above.
    aLine = "[" + std::string{ kRejectedHeaderPrefix } +
            std::to_string(aErrorIndex) + "]";
    return true;
  }
  const bool isKeyValue = aLine.find('=') != std::string::npos;
  aLine.clear();
  return isKeyValue;
}

/** Removes the tables that blankLine added. */
void
removeRejectedTables(SettingsNode& aRoot)
{
  std::erase_if(std::get<SettingsTable>(aRoot.value), [](const auto& aEntry) {
    return aEntry.first.starts_with(kRejectedHeaderPrefix);
  });
}

/** Describes a parse failure with the key of its line and the table above. */
SettingsProblem
makeProblem(const std::string& aFile,
            const std::vector<std::string>& aLines,
            std::size_t aIndex,
            const ParseFailure& aFailure)
{
  const std::string& line = aLines[aIndex];
  SettingsProblem problem{
    aFile, static_cast<std::uint32_t>(aIndex + 1), keyOfLine(line), ""
  };
  const std::string header =
    isHeader(line) ? std::string{} : enclosingHeader(aLines, aIndex);
  if (!header.empty()) {
    problem.key = header + "." + problem.key;
  }
  problem.message = aFailure.isRedefinition()
                      ? "duplicate: it is already given in this file; keep "
                        "one of the two"
                      : "no TOML: " + aFailure.description;
  return problem;
}

} // namespace

TomlDocument
parseToml(const std::string& aFile,
          std::uint32_t aFileIndex,
          std::string_view aText)
{
  TomlDocument document;
  document.root.value = SettingsTable{};
  document.root.file = aFileIndex;
  std::vector<std::string> lines = splitLines(aText);
  if (auto problem = findSizeProblem(aFile, aText, lines)) {
    document.problems.push_back(std::move(*problem));
    document.incomplete = true;
    return document;
  }
  const std::vector<std::string> original = lines;
  for (int errors = 0; errors < kMaxErrorsPerFile; ++errors) {
    auto parsed = parseOnce(lines, aFileIndex);
    if (auto* root = std::get_if<SettingsNode>(&parsed)) {
      document.root = std::move(*root);
      removeRejectedTables(document.root);
      return document;
    }
    const auto& failure = std::get<ParseFailure>(parsed);
    document.incomplete = document.incomplete || !failure.isRedefinition();
    if (lines.empty()) {
      return document;
    }
    const std::size_t line =
      std::min<std::size_t>(std::max(failure.line, 1U), lines.size());
    document.problems.push_back(
      makeProblem(aFile, original, line - 1, failure));
    if (!blankLine(lines[line - 1], errors)) {
      break;
    }
  }
  document.incomplete = true;
  return document;
}

} // namespace poplartrack
