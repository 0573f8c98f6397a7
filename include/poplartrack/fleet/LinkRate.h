#pragma once

#include "poplartrack/fleet/EngineProfile.h"

namespace poplartrack {

/** Requests per second from which a zone link counts as fast. Each prompt then
 * delays the streams that cross the link by at most 50 ms, and callers accept
 * several such pauses. */
constexpr double kFastLinkRequestRate = 20;

/** Returns the requests per second that the link between two zones carries if
 * each crosses it once; infinity if links are unbounded. */
double
linkRequestRate(const EngineProfile& aProfile);

/** Returns whether a prompt on a zone link delays the streams that cross it
 * only as long as callers accept. */
inline bool
hasFastLinks(const EngineProfile& aProfile)
{
  return linkRequestRate(aProfile) >= kFastLinkRequestRate;
}

} // namespace poplartrack
