#include "poplartrack/side/OrderGate.h"

#include <algorithm>

#include "poplartrack/base/Result.h"

namespace poplartrack {
namespace {

/** A load whose call ended without an answer may still take effect for this
 * long: more than a call waits in an endpoint that is not suspended. */
constexpr Duration kUnsureHolds = std::chrono::seconds{ 5 };

} // namespace

void
OrderGate::onFloor(std::uint64_t aFence)
{
  const std::scoped_lock lock{ this->guard };
  this->floorKnown = true;
  this->fence = std::max(this->fence, aFence);
}

bool
OrderGate::ready() const
{
  const std::scoped_lock lock{ this->guard };
  return this->floorKnown;
}

std::optional<Error>
OrderGate::admit(const EndpointOrder& aOrder, TimePoint aNow)
{
  const std::scoped_lock lock{ this->guard };
  if (!this->floorKnown) {
    return fail(ErrorKind::PlatformUnavailable,
                "the lease's number has not been read yet");
  }
  if (aOrder.fence < this->fence) {
    return fail(ErrorKind::StaleFence, "a newer fencing number was seen here");
  }
  this->fence = aOrder.fence;
  if (this->withEngine || aNow < this->unsureUntil) {
    return fail(ErrorKind::Conflict, "an earlier load is with the endpoint");
  }
  this->withEngine = aOrder.order == OrderKind::Load;
  return std::nullopt;
}

void
OrderGate::onEngineEnd(bool aSure, TimePoint aNow)
{
  const std::scoped_lock lock{ this->guard };
  this->withEngine = false;
  if (!aSure) {
    this->unsureUntil = aNow + kUnsureHolds;
  }
}

std::uint64_t
OrderGate::highest() const
{
  const std::scoped_lock lock{ this->guard };
  return this->fence;
}

} // namespace poplartrack
