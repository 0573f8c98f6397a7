#include "cli/RunCall.h"

#include <iostream>
#include <memory>
#include <optional>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "cli/StreamReader.h"
#include "cli/Unreached.h"
#include "poplartrack/base/Address.h"
#include "poplartrack/http/HttpClient.h"

namespace poplartrack {
namespace {

using nlohmann::json;

constexpr int kFirstErrorStatus = 400;

/** What the command line asks for. */
struct CallArguments
{
  std::string entry;
  std::string account;
  std::string secret;
  std::string model;
  std::string prompt;
  std::uint32_t tokens = 0;
  std::string service;
  std::string operation;
  std::string body;
  std::string key;
  std::string priority;
  std::uint32_t deadlineMs = 0;
  bool nonIdempotent = false;
  bool stream = false;
  bool verbose = false;
  bool json = false;
  std::optional<ExitCode> exit;
};

cxxopts::Options
callOptions()
{
  cxxopts::Options options{
    "poplartrack call",
    "Sends one request to an entry and prints its answer.\n"
    "Examples:\n"
    "  poplartrack call --entry 10.0.0.1:8080 --account shop --secret S \\\n"
    "    --model pairing-llm --prompt \"soundbar X200\" --stream --verbose\n"
    "  poplartrack call --entry 10.0.0.1:8080 --account ward --secret S \\\n"
    "    --service kituo --operation dispatch --body '{\"ward\":4}' \\\n"
    "    --non-idempotent --key report-77\n"
    "Exit codes: 0 whole answer, 1 refused or not whole, 2 usage,\n"
    "3 entry not reached, 4 outcome unknown.\n"
  };
  auto add = options.add_options();
  add("entry",
      "address of an entry, A.B.C.D:PORT",
      cxxopts::value<std::string>());
  add("account", "client account", cxxopts::value<std::string>());
  add("secret", "the account's secret", cxxopts::value<std::string>());
  add(
    "model", "model to ask", cxxopts::value<std::string>()->default_value(""));
  add(
    "prompt", "prompt text", cxxopts::value<std::string>()->default_value(""));
  add("tokens",
      "tokens wanted",
      cxxopts::value<std::uint32_t>()->default_value("16"));
  add("stream", "show tokens as they come");
  add("service",
      "plain service to call",
      cxxopts::value<std::string>()->default_value(""));
  add("operation",
      "its operation",
      cxxopts::value<std::string>()->default_value(""));
  add("body", "JSON body", cxxopts::value<std::string>()->default_value("{}"));
  add(
    "key", "idempotency key", cxxopts::value<std::string>()->default_value(""));
  add("non-idempotent", "the call may run at most once");
  add("priority",
      "high, normal or low",
      cxxopts::value<std::string>()->default_value("normal"));
  add("deadline-ms",
      "deadline; 0: the configured default",
      cxxopts::value<std::uint32_t>()->default_value("0"));
  add("verbose", "print route and timing");
  add("json", "print the answer as JSON");
  add("h,help", "this text");
  return options;
}

CallArguments
parseCall(int argc, char** argv)
{
  CallArguments arguments;
  cxxopts::Options options = callOptions();
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      arguments.exit = ExitCode::Ok;
      return arguments;
    }
    arguments.entry = parsed["entry"].as<std::string>();
    arguments.account = parsed["account"].as<std::string>();
    arguments.secret = parsed["secret"].as<std::string>();
    arguments.model = parsed["model"].as<std::string>();
    arguments.prompt = parsed["prompt"].as<std::string>();
    arguments.tokens = parsed["tokens"].as<std::uint32_t>();
    arguments.service = parsed["service"].as<std::string>();
    arguments.operation = parsed["operation"].as<std::string>();
    arguments.body = parsed["body"].as<std::string>();
    arguments.key = parsed["key"].as<std::string>();
    arguments.priority = parsed["priority"].as<std::string>();
    arguments.deadlineMs = parsed["deadline-ms"].as<std::uint32_t>();
    arguments.nonIdempotent = parsed.count("non-idempotent") > 0;
    arguments.stream = parsed.count("stream") > 0;
    arguments.verbose = parsed.count("verbose") > 0;
    arguments.json = parsed.count("json") > 0;
  } catch (const cxxopts::exceptions::exception& problem) {
    std::cerr << "poplartrack call: " << problem.what() << '\n';
    arguments.exit = ExitCode::Usage;
    return arguments;
  }
  if (arguments.model.empty() == arguments.service.empty()) {
    std::cerr << "poplartrack call: give either --model or --service\n";
    arguments.exit = ExitCode::Usage;
  } else if (const auto address = addressFromText(arguments.entry); !address) {
    std::cerr << "poplartrack call: --entry: " << address.error().detail
              << '\n';
    arguments.exit = ExitCode::Usage;
  }
  return arguments;
}

HttpCall
makeCall(const CallArguments& aArguments)
{
  // The entry answers by the deadline; the margin is for the way back.
  constexpr std::uint32_t kLongestMs = 180'000;
  constexpr std::uint32_t kMarginMs = 5'000;
  HttpCall call;
  call.method = "POST";
  call.headers["authorization"] =
    "Bearer " + aArguments.account + ":" + aArguments.secret;
  call.headers["content-type"] = "application/json";
  call.headers["x-priority"] = aArguments.priority;
  if (aArguments.deadlineMs > 0) {
    call.headers["x-deadline-ms"] = std::to_string(aArguments.deadlineMs);
  }
  if (!aArguments.key.empty()) {
    call.headers["idempotency-key"] = aArguments.key;
  }
  if (aArguments.nonIdempotent) {
    call.headers["x-non-idempotent"] = "true";
  }
  const std::string base = "http://" + aArguments.entry + "/v1/";
  if (aArguments.model.empty()) {
    call.url =
      base + "services/" + aArguments.service + "/" + aArguments.operation;
    call.body = aArguments.body;
  } else {
    call.url = base + "models/" + aArguments.model + "/answers";
    call.body = json{
      { "prompt", aArguments.prompt },
      { "max_tokens", aArguments.tokens },
      { "stream", aArguments.stream }
    }.dump();
  }
  const std::uint32_t timeoutMs =
    aArguments.deadlineMs > 0 ? aArguments.deadlineMs + kMarginMs : kLongestMs;
  call.timeout = std::chrono::milliseconds{ timeoutMs };
  call.freshConnection = true;
  return call;
}

void
printFacts(const json& aFacts)
{
  std::cerr << "request " << aFacts.value("request", "?") << ", "
            << aFacts.value("model", "?") << " " << aFacts.value("version", "?")
            << ", revision " << aFacts.value("revision", 0) << ", attempts "
            << aFacts.value("attempts", 0) << '\n';
  for (const json& stage : aFacts.value("route", json::array())) {
    std::cerr << "  " << stage.value("endpoint", "?") << " layers ["
              << stage.value("from", 0) << ", " << stage.value("to", 0)
              << ")\n";
  }
  std::cerr << "  first token " << aFacts.value("first_token_ms", 0.0)
            << " ms, total " << aFacts.value("total_ms", 0.0) << " ms\n";
}

ExitCode
judgeFailure(const json& aBody)
{
  return aBody.is_object() && aBody.value("ran", "") == "unknown"
           ? ExitCode::Unknown
           : ExitCode::Refused;
}

ExitCode
finishStream(const StreamReader& aReader,
             const HttpResult& aResult,
             const CallArguments& aArguments)
{
  std::cout << '\n';
  if (aReader.whole()) {
    if (aArguments.verbose) {
      printFacts(aReader.last());
    }
    return ExitCode::Ok;
  }
  if (aReader.failed()) {
    std::cerr << "failed: " << aReader.last().dump() << '\n';
    return judgeFailure(aReader.last());
  }
  std::cerr << "the answer is not whole: " << aReader.tokens().size()
            << " tokens came. " << aResult.detail << '\n';
  return ExitCode::Unknown;
}

ExitCode
streamCall(HttpClient& aClient, HttpCall aCall, const CallArguments& aArguments)
{
  StreamReader reader;
  std::string raw;
  aCall.onBytes = [&](std::string_view aBytes) {
    raw.append(aBytes);
    for (const std::uint32_t token : reader.feed(aBytes)) {
      std::cout << token << ' ' << std::flush;
    }
    return true;
  };
  const HttpResult result = aClient.sendAndWait(std::move(aCall));
  if (result.outcome != CallOutcome::Replied && reader.tokens().empty()) {
    return unreached(result);
  }
  if (result.status >= kFirstErrorStatus) {
    std::cerr << "refused: " << raw;
    return judgeFailure(json::parse(raw, nullptr, false));
  }
  return finishStream(reader, result, aArguments);
}

ExitCode
plainCall(HttpClient& aClient, HttpCall aCall, const CallArguments& aArguments)
{
  const HttpResult result = aClient.sendAndWait(std::move(aCall));
  if (result.outcome != CallOutcome::Replied) {
    return unreached(result);
  }
  const json body = json::parse(result.body, nullptr, false);
  if (result.status >= kFirstErrorStatus) {
    std::cerr << "refused: " << result.body;
    return judgeFailure(body);
  }
  if (aArguments.json || aArguments.model.empty() || !body.is_object()) {
    std::cout << result.body << (result.body.ends_with('\n') ? "" : "\n");
  } else {
    for (const json& token : body.value("tokens", json::array())) {
      std::cout << token << ' ';
    }
    std::cout << '\n';
  }
  if (aArguments.verbose && !aArguments.model.empty()) {
    printFacts(body);
  } else if (aArguments.verbose) {
    for (const auto& [name, value] : result.headers) {
      if (name.starts_with("x-")) {
        std::cerr << "  " << name << ": " << value << '\n';
      }
    }
  }
  return ExitCode::Ok;
}

} // namespace

ExitCode
runCall(int argc, char** argv)
{
  const CallArguments arguments = parseCall(argc, argv);
  if (arguments.exit) {
    return *arguments.exit;
  }
  Result<std::unique_ptr<HttpClient>> client = HttpClient::create({});
  if (!client) {
    std::cerr << describe(client.error()) << '\n';
    return ExitCode::Unreachable;
  }
  const bool streams = arguments.stream && !arguments.model.empty();
  return streams ? streamCall(*client.value(), makeCall(arguments), arguments)
                 : plainCall(*client.value(), makeCall(arguments), arguments);
}

} // namespace poplartrack
