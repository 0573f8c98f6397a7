#pragma once

#include <csignal>

namespace poplartrack {

/** Returns the signals that a role handles itself: those that stop it, and
 * SIGHUP, which says that its settings have changed. */
sigset_t
roleSignals();

/** Keeps these signals from ending the process: they wait until it asks for
 * them. Call it before any thread starts, so that all inherit it. */
void
blockRoleSignals();

} // namespace poplartrack
