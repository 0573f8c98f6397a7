#include "poplartrack/config/RevisionLog.h"

#include <vector>

namespace poplartrack {

void
RevisionLog::add(const RevisionUpdate& aUpdate)
{
  const bool follows =
    !this->updates.empty() && this->updates.back().to == aUpdate.from;
  if (!follows) {
    this->updates.clear();
    this->keptBytes = 0;
  }
  if (aUpdate.from == 0) {
    return;
  }
  this->updates.push_back(aUpdate);
  this->keptBytes += aUpdate.text.size();
  while (this->keptBytes > kMaxBytes) {
    this->keptBytes -= this->updates.front().text.size();
    this->updates.pop_front();
  }
}

std::optional<RevisionUpdate>
RevisionLog::since(std::uint64_t aRevision) const
{
  std::vector<RevisionUpdate> steps;
  for (const RevisionUpdate& update : this->updates) {
    if (!steps.empty() || update.from == aRevision) {
      steps.push_back(update);
    }
  }
  const Result<RevisionUpdate> joined = joinUpdates(steps);
  if (!joined) {
    return std::nullopt;
  }
  return joined.value();
}

} // namespace poplartrack
