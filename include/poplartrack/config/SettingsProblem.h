#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace poplartrack {

/** One mistake in a settings file, with a message that says how to fix it. */
struct SettingsProblem
{
  std::string file;
  /** Counted from 1; 0 if the mistake has no line of its own. */
  std::uint32_t line = 0;
  /** The dotted key; empty if the file could not be read that far. */
  std::string key;
  std::string message;

  friend bool operator==(const SettingsProblem&,
                         const SettingsProblem&) = default;
  /** Orders by file, line, key and message. */
  friend bool operator<(const SettingsProblem& aLeft,
                        const SettingsProblem& aRight)
  {
    return std::tie(aLeft.file, aLeft.line, aLeft.key, aLeft.message) <
           std::tie(aRight.file, aRight.line, aRight.key, aRight.message);
  }
};

/** Formats a problem as "FILE:LINE: KEY: message". */
std::string
toText(const SettingsProblem& aProblem);

/** Formats all problems, one per line. */
std::string
toText(const std::vector<SettingsProblem>& aProblems);

/** A value, or all the mistakes that kept it from being read. */
template<typename T>
struct Checked
{
  /** Valid only if ok(). */
  T value{};
  std::vector<SettingsProblem> problems;

  [[nodiscard]] bool ok() const { return this->problems.empty(); }
};

} // namespace poplartrack
