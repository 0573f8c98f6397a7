#pragma once

#include <functional>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Keeps SIGTERM, SIGINT and SIGHUP from ending the process; call before any
 * thread starts, so that all inherit it. */
void
blockStopSignals();

/** Waits for SIGTERM or SIGINT. */
void
waitForStopSignal();

/**
 * Waits until aDone says so, for at most aMost. A second stop signal ends the
 * wait at once. True when done.
 */
bool
waitUntilDone(const std::function<bool()>& aDone, Duration aMost);

} // namespace poplartrack
