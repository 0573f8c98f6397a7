// What it costs a relay to read a configuration of the users' platform.
//   build/config_decode [ROUTES [ROUNDS]]

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>

#include "platform/ConfigDecoder.h"

namespace {

/** A configuration of our own making, with the fields that are read. */
std::string
configOf(int aRoutes)
{
  std::string text = R"({"Version":7,"Routes":[)";
  for (int i = 0; i < aRoutes; ++i) {
    const std::string number = std::to_string(i);
    text.append(i == 0 ? "" : ",").append(R"({"Name":"route-)").append(number);
    text.append(R"(","Host":"host-)").append(std::to_string(i % 3));
    text.append(R"(.example","Prefix":"/part)").append(number);
    text += R"(/one/","Kind":"streaming","Service":"model","TimeoutMs":20000,)"
            R"("SloMs":500,"GapAimMs":200,"Priority":1,"Attempts":2,)"
            R"("Public":false,"Resumable":true,"Backends":[]})";
  }
  text += R"(],"Services":[{"Name":"model"}],"Tenants":[)";
  for (int i = 0; i < 24; ++i) {
    const std::string number = std::to_string(i);
    text.append(i == 0 ? "" : ",")
      .append(R"({"Name":"account-)")
      .append(number);
    text.append(R"(","ApiKeys":["0123456789abcdef)").append(number);
    text.append(R"("]})");
  }
  return text + "]}";
}

double
processorMs()
{
  constexpr double kMsPerSecond = 1000;
  return kMsPerSecond * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

} // namespace

int
main(int argc, char** argv)
{
  const int routes = argc > 1 ? std::atoi(argv[1]) : 1'400;
  const int rounds = argc > 2 ? std::atoi(argv[2]) : 200;
  const std::string text = configOf(routes);
  std::size_t read = 0;
  const double start = processorMs();
  for (int i = 0; i < rounds; ++i) {
    const auto config = poplartrack::decodeConfig(text);
    if (!config) {
      std::puts("it cannot be read");
      return 1;
    }
    for (const auto& [host, list] : config.value().routes) {
      read += list.size();
    }
  }
  std::printf("%d routes, %zu bytes: %.2f ms of processor time (%zu read)\n",
              routes,
              text.size(),
              (processorMs() - start) / rounds,
              read);
  return 0;
}
