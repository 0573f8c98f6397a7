#include "poplartrack/entry/ClaimEndWriter.h"

#include <utility>

namespace poplartrack {

bool
ClaimEndWriter::needsRetry(const ClaimEnd& aEnd) const
{
  const Result<Done> written = this->writeRow(aEnd);
  if (written) {
    return false;
  }
  // A release whose answer was lost may have taken effect, and another entry
  // may hold the key by the time of a retry.
  return written.error().kind == ErrorKind::PlatformUnavailable ||
         (written.error().kind == ErrorKind::PlatformUnknown && aEnd.record);
}

void
ClaimEndWriter::write(ClaimEnd aEnd, TimePoint aNow)
{
  if (!this->needsRetry(aEnd)) {
    return;
  }
  const std::scoped_lock lock{ this->guard };
  if (this->ends.size() >= this->policy.maxKept) {
    ++this->dropped;
    return;
  }
  this->ends.push_back({ std::move(aEnd), aNow });
}

std::uint64_t
ClaimEndWriter::retry(TimePoint aNow)
{
  std::unique_lock lock{ this->guard };
  this->dropped += std::erase_if(this->ends, [&](const Kept& aKept) {
    return aNow - aKept.since >= this->policy.maxAge;
  });
  for (std::size_t left = this->ends.size(); left > 0; --left) {
    // Only this function removes ends, so this one stays where it is.
    const ClaimEnd& next = this->ends.front().end;
    lock.unlock();
    const bool again = this->needsRetry(next);
    lock.lock();
    if (again) {
      // The others go first next time: this row alone may be the reason.
      this->ends.splice(this->ends.end(), this->ends, this->ends.begin());
      break;
    }
    this->ends.pop_front();
  }
  return std::exchange(this->dropped, 0);
}

std::size_t
ClaimEndWriter::kept() const
{
  const std::scoped_lock lock{ this->guard };
  return this->ends.size();
}

} // namespace poplartrack
