#include "cli/RoleSignals.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace poplartrack {
namespace {

constexpr std::array<std::string_view, 3> kRoles{ "entry", "relay", "side" };

/** Blocks the signals of a role before the initializers of the shared libraries
 * run: a signal that came before main() would end the process. */
void
blockBeforeMain(int aCount, char** aArguments, char** /*aEnvironment*/)
{
  const bool isRole =
    aCount > 1 &&
    std::find(kRoles.begin(), kRoles.end(), aArguments[1]) != kRoles.end();
  if (isRole) {
    blockRoleSignals();
  }
}

/** The C library calls what this section lists first of all, with the arguments
 * of main(). */
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const kBeforeMain)(int, char**, char**) = blockBeforeMain;

} // namespace

sigset_t
roleSignals()
{
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  return set;
}

void
blockRoleSignals()
{
  const sigset_t set = roleSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

} // namespace poplartrack
