#include <iostream>
#include <memory>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "cli/RunCall.h"
#include "cli/Unreached.h"

namespace poplartrack {
namespace {

using nlohmann::json;

} // namespace

ExitCode
runStatus(int argc, char** argv)
{
  cxxopts::Options options{
    "poplartrack status",
    "Prints what an entry knows.\n"
    "Example: poplartrack status --entry 10.0.0.1:8080 --json\n"
  };
  options.add_options()("entry",
                        "address of an entry, A.B.C.D:PORT",
                        cxxopts::value<std::string>())("json", "as JSON")(
    "h,help", "this text");
  HttpCall call;
  bool asJson = false;
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return ExitCode::Ok;
    }
    call.url = "http://" + parsed["entry"].as<std::string>() + "/status";
    asJson = parsed.count("json") > 0;
  } catch (const cxxopts::exceptions::exception& problem) {
    std::cerr << "poplartrack status: " << problem.what() << '\n';
    return ExitCode::Usage;
  }
  Result<std::unique_ptr<HttpClient>> client = HttpClient::create({});
  if (!client) {
    return ExitCode::Unreachable;
  }
  const HttpResult result = client.value()->sendAndWait(std::move(call));
  if (result.outcome != CallOutcome::Replied) {
    return unreached(result);
  }
  const json body = json::parse(result.body, nullptr, false);
  if (asJson || !body.is_object()) {
    std::cout << result.body;
    return ExitCode::Ok;
  }
  std::cout << body.value("name", "?") << " in " << body.value("zone", "?")
            << ", revision " << body.value("revision", 0) << ", active "
            << body.value("active", 0)
            << (body.value("draining", false) ? ", draining" : "") << '\n';
  for (const json& endpoint : body.value("endpoints", json::array())) {
    std::cout << "  " << endpoint.value("name", "?") << " "
              << endpoint.value("zone", "?") << " "
              << endpoint.value("service", "?") << " "
              << endpoint.value("model", "") << " "
              << endpoint.value("holds", json::array()).dump()
              << (endpoint.value("leaving", false) ? " leaving" : "")
              << (endpoint.value("failures", 0) > 0 ? " silent" : "") << '\n';
  }
  return ExitCode::Ok;
}

} // namespace poplartrack
