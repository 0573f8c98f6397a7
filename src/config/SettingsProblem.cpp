#include "poplartrack/config/SettingsProblem.h"

namespace poplartrack {

std::string
toText(const SettingsProblem& aProblem)
{
  std::string text = aProblem.file + ":" + std::to_string(aProblem.line) + ": ";
  if (!aProblem.key.empty()) {
    text += aProblem.key + ": ";
  }
  return text + aProblem.message;
}

std::string
toText(const std::vector<SettingsProblem>& aProblems)
{
  std::string text;
  for (const SettingsProblem& problem : aProblems) {
    text += toText(problem) + "\n";
  }
  return text;
}

} // namespace poplartrack
