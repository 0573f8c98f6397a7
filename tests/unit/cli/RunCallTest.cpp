#include "cli/RunCall.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "unit/relay/AnsweringReplica.h"

namespace poplartrack {
namespace {

using relaytest::AnsweringReplica;

/** Runs a sub-command with these arguments. */
ExitCode
run(ExitCode (*aCommand)(int, char**), std::vector<std::string> aArguments)
{
  std::vector<char*> pointers;
  pointers.reserve(aArguments.size());
  for (std::string& argument : aArguments) {
    pointers.push_back(argument.data());
  }
  return aCommand(static_cast<int>(pointers.size()), pointers.data());
}

ExitCode
callEntry(const Address& aEntry, const std::vector<std::string>& aMore)
{
  std::vector<std::string> arguments{ "call",      "--entry", toText(aEntry),
                                      "--account", "a",       "--secret",
                                      "s" };
  arguments.insert(arguments.end(), aMore.begin(), aMore.end());
  return run(runCall, arguments);
}

// Guards against an empty answer that is printed as a whole one.
TEST(RunCall, anAnswerCutWithinItsHeadIsUnknown)
{
  AnsweringReplica entry{ [](const std::string&) {
    return std::string{ "HTTP/1.1 200 OK\r\nContent-Le" };
  } };
  const Address address = entry.address();
  EXPECT_EQ(callEntry(address, { "--service", "s", "--operation", "o" }),
            ExitCode::Unknown);
  EXPECT_EQ(callEntry(address, { "--model", "m" }), ExitCode::Unknown);
  EXPECT_EQ(callEntry(address, { "--model", "m", "--stream" }),
            ExitCode::Unknown);
  EXPECT_EQ(run(runStatus, { "status", "--entry", toText(address) }),
            ExitCode::Unknown);
}

// Guards against a request that counts as refused, though it may have run.
TEST(RunCall, aRefusalCutWithinItsHeadIsUnknown)
{
  AnsweringReplica entry{ [](const std::string&) {
    return std::string{ "HTTP/1.1 502 Bad Gateway\r\nContent-Le" };
  } };
  EXPECT_EQ(callEntry(entry.address(), { "--model", "m" }), ExitCode::Unknown);
}

} // namespace
} // namespace poplartrack
