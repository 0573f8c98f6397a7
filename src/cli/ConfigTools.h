#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "cli/Command.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/config/ConfigStore.h"
#include "poplartrack/http/HttpClient.h"
#include "poplartrack/store/PlatformClient.h"

namespace poplartrack {

/** Options of a config command that has examples in its help. */
cxxopts::Options
configOptions(const std::string& aCommand,
              const std::string& aPurpose,
              const std::vector<std::string>& aExamples);

/** Adds --platform. */
void
addPlatformOption(cxxopts::Options& aOptions);

/** Adds --author, --note and --change. */
void
addPushOptions(cxxopts::Options& aOptions);

/** A parsed command line, or the exit code when there is no more to do. */
struct ParsedCommand
{
  std::optional<ExitCode> exit;
  cxxopts::ParseResult values;
};

/** Parses; answers --help and a missing needed option by itself. */
ParsedCommand
parseCommand(cxxopts::Options& aOptions,
             const std::vector<std::string>& aNeeded,
             int argc,
             char** argv);

/** The platform's configuration store over HTTP. */
class StoreAccess
{
public:
  static Result<std::unique_ptr<StoreAccess>> open(const std::string& aAddress);

  ConfigStore<PlatformClient>& store() { return this->configStore; }

private:
  StoreAccess(std::unique_ptr<HttpClient> aHttp, const Address& aPlatform);

  std::unique_ptr<HttpClient> http;
  PlatformClient client;
  ConfigStore<PlatformClient> configStore;
};

/** The exit code that tells a script what went wrong. */
ExitCode
exitCodeOf(ErrorKind aKind);

/** Prints the error, as JSON when asked, and returns its exit code. */
ExitCode
report(const Error& aError, bool aJson);

/** Author, note, change id and time of a push, from the command line. */
PushRequest
pushRequestFrom(const cxxopts::ParseResult& aValues);

/** Prints an accepted push. */
void
printOutcome(const PushOutcome& aOutcome,
             const std::string& aChange,
             bool aJson);

/**
 * The revision of that platform that a folder was pulled from or pushed as; 0:
 * none. A folder that came from another platform counts as none, or it could
 * pass for an edit of a revision that it never saw.
 */
std::uint64_t
readBase(const std::string& aFolder, const std::string& aPlatform);

/** Remembers that revision in the folder's hidden file. */
Result<Done>
writeBase(const std::string& aFolder,
          const std::string& aPlatform,
          std::uint64_t aRevision);

/**
 * Changes a folder from one set of files to another. Only files that differ
 * between the two are touched, so that an edit saved meanwhile to another
 * file stays.
 */
Result<Done>
changeFolder(const std::string& aFolder,
             const std::vector<SettingsFile>& aFrom,
             const std::vector<SettingsFile>& aTo);

} // namespace poplartrack
