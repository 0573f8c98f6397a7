#include "poplartrack/entry/ActiveRun.h"

namespace poplartrack {

void
ActiveRun::deliver(std::uint32_t aToken)
{
  this->delivered.push_back(aToken);
  this->changed.notify_all();
}

void
ActiveRun::finish(RunEnd aEnd)
{
  this->ended = std::move(aEnd);
  this->changed.notify_all();
}

RunOutput
ActiveRun::waitOutput(std::size_t aTaken, TimePoint aLatest)
{
  std::unique_lock lock{ this->guard };
  this->changed.wait_until(lock, aLatest, [&] {
    return this->delivered.size() > aTaken || this->ended.has_value();
  });
  RunOutput output;
  output.tokens.assign(this->delivered.begin() +
                         static_cast<std::ptrdiff_t>(aTaken),
                       this->delivered.end());
  output.end = this->ended;
  return output;
}

RunOutput
ActiveRun::waitEnd(TimePoint aLatest)
{
  std::unique_lock lock{ this->guard };
  this->changed.wait_until(
    lock, aLatest, [&] { return this->ended.has_value(); });
  return RunOutput{ this->delivered, this->ended };
}

} // namespace poplartrack
