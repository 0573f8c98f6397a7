#pragma once

#include <string_view>

namespace poplartrack {

/** Exit codes of every sub-command; documented in docs/OPERATIONS.md. */
enum class ExitCode : int
{
  Ok = 0,
  /** The command ran and the answer is no: refused, conflict, not whole. */
  Refused = 1,
  /** The command line or the settings are wrong. */
  Usage = 2,
  /** A peer or the platform could not be reached. */
  Unreachable = 3,
  /** It is not known whether it took effect. */
  Unknown = 4,
};

/** A sub-command: its word, its line in the help, and what runs it with the
 * arguments from its own word on. */
struct Command
{
  std::string_view name;
  std::string_view summary;
  ExitCode (*run)(int argc, char** argv);
};

} // namespace poplartrack
