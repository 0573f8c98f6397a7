#include "cli/ProcessLoop.h"

#include <csignal>
#include <ctime>

#include "cli/RoleSignals.h"

namespace poplartrack {
namespace {

constexpr long kPollNanos = 20'000'000;

sigset_t
stopSignals()
{
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

} // namespace

void
blockStopSignals()
{
  blockRoleSignals();
  // A peer that closes a connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler)
}

void
waitForStopSignal()
{
  const sigset_t set = stopSignals();
  int signal = 0;
  sigwait(&set, &signal);
}

bool
waitUntilDone(const std::function<bool()>& aDone, Duration aMost)
{
  const sigset_t set = stopSignals();
  const TimePoint latest = SystemClock{}.now() + aMost;
  while (!aDone()) {
    if (SystemClock{}.now() >= latest) {
      return false;
    }
    const timespec pause{ 0, kPollNanos };
    if (sigtimedwait(&set, nullptr, &pause) > 0) {
      return false;
    }
  }
  return true;
}

} // namespace poplartrack
