#include "cli/ConfigTools.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <utility>

#include <nlohmann/json.hpp>
#include <pwd.h>
#include <unistd.h>

#include "poplartrack/base/RequestId.h"

namespace poplartrack {
namespace {

using Json = nlohmann::json;

/** An operator waits rather than not know; a process would not. */
constexpr Duration kOperatorTimeout = std::chrono::seconds{ 10 };

std::string
userName()
{
  const passwd* user = getpwuid(geteuid());
  return user == nullptr ? "unknown" : user->pw_name;
}

} // namespace

cxxopts::Options
configOptions(const std::string& aCommand,
              const std::string& aPurpose,
              const std::vector<std::string>& aExamples)
{
  std::string text = aPurpose + "\nExamples:\n";
  for (const std::string& example : aExamples) {
    text.append("  poplartrack config ")
      .append(aCommand)
      .append(" ")
      .append(example)
      .append("\n");
  }
  text += "Exit codes: 0 done, 1 refused (conflict, not found), 2 command line "
          "or\nsettings wrong, 3 platform not reached, 4 not known whether it "
          "took effect.\n";
  cxxopts::Options options{ "poplartrack config " + aCommand, text };
  auto add = options.add_options();
  add("json", "print JSON");
  add("h,help", "this text");
  return options;
}

void
addPlatformOption(cxxopts::Options& aOptions)
{
  aOptions.add_options()("platform",
                         "address of the platform, A.B.C.D:PORT",
                         cxxopts::value<std::string>());
}

void
addPushOptions(cxxopts::Options& aOptions)
{
  auto add = aOptions.add_options();
  add("author",
      "who makes the change; default: the user's name",
      cxxopts::value<std::string>());
  add("note",
      "why, for the history",
      cxxopts::value<std::string>()->default_value(""));
  add("change",
      "change id of an earlier try whose outcome is not known",
      cxxopts::value<std::string>());
}

ParsedCommand
parseCommand(cxxopts::Options& aOptions,
             const std::vector<std::string>& aNeeded,
             int argc,
             char** argv)
{
  ParsedCommand command;
  try {
    command.values = aOptions.parse(argc, argv);
  } catch (const cxxopts::exceptions::exception& problem) {
    std::cerr << aOptions.program() << ": " << problem.what() << '\n';
    command.exit = ExitCode::Usage;
    return command;
  }
  if (command.values.count("help") > 0) {
    std::cout << aOptions.help();
    command.exit = ExitCode::Ok;
    return command;
  }
  for (const std::string& needed : aNeeded) {
    if (command.values.count(needed) == 0) {
      std::cerr << aOptions.program() << ": " << needed
                << " is missing; see --help\n";
      command.exit = ExitCode::Usage;
    }
  }
  return command;
}

StoreAccess::StoreAccess(std::unique_ptr<HttpClient> aHttp,
                         const Address& aPlatform)
  : http(std::move(aHttp))
  , client(
      *this->http,
      PlatformClientSettings{ aPlatform, kOperatorTimeout, kOperatorTimeout })
  , configStore(this->client)
{
}

Result<std::unique_ptr<StoreAccess>>
StoreAccess::open(const std::string& aAddress)
{
  const Result<Address> address = addressFromText(aAddress);
  if (!address) {
    return address.error();
  }
  constexpr std::size_t kMaxObjectBytes = std::size_t{ 32 } << 20U;
  HttpClientLimits limits;
  limits.maxBodyBytes = kMaxObjectBytes;
  Result<std::unique_ptr<HttpClient>> http = HttpClient::create(limits);
  if (!http) {
    return http.error();
  }
  return std::unique_ptr<StoreAccess>{ new StoreAccess{ std::move(http).value(),
                                                        address.value() } };
}

ExitCode
exitCodeOf(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::BadSettings:
      return ExitCode::Usage;
    case ErrorKind::PlatformUnavailable:
    case ErrorKind::Network:
      return ExitCode::Unreachable;
    case ErrorKind::PlatformUnknown:
      return ExitCode::Unknown;
    default:
      return ExitCode::Refused;
  }
}

ExitCode
report(const Error& aError, bool aJson)
{
  if (aJson) {
    std::cout << Json{ { "error",
                         { { "kind", nameOf(aError.kind) },
                           { "detail", aError.detail } } } }
                   .dump(2, ' ', false, Json::error_handler_t::replace)
              << '\n';
  } else {
    std::cerr << "poplartrack config: " << nameOf(aError.kind) << ": "
              << aError.detail << '\n';
  }
  return exitCodeOf(aError.kind);
}

PushRequest
pushRequestFrom(const cxxopts::ParseResult& aValues)
{
  PushRequest request;
  request.author = aValues.count("author") > 0
                     ? aValues["author"].as<std::string>()
                     : userName();
  request.note = aValues["note"].as<std::string>();
  request.changeId = aValues.count("change") > 0
                       ? aValues["change"].as<std::string>()
                       : toText(randomRequestId());
  request.atSeconds = std::chrono::duration_cast<std::chrono::seconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  return request;
}

void
printOutcome(const PushOutcome& aOutcome,
             const std::string& aChange,
             bool aJson)
{
  if (aJson) {
    std::cout << Json{
      { "revision", aOutcome.revision },
      { "change", aChange },
      { "earlier", aOutcome.alreadyMade },
      { "unchanged", aOutcome.unchanged }
    }.dump(2) << '\n';
    return;
  }
  std::cout << "revision " << aOutcome.revision
            << (aOutcome.unchanged ? " is in force already; nothing differs"
                                   : " is in force")
            << (aOutcome.alreadyMade ? " (by an earlier try of this change)"
                                     : "")
            << '\n';
}

} // namespace poplartrack
