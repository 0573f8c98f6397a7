#include <csignal>
#include <iostream>

#include <cxxopts.hpp>

#include "standins/lib/StopSignal.h"
#include "standins/lib/UsersReplica.h"

namespace {

using namespace poplartrack;
using namespace poplartrack::standins;

Address
addressIn(const cxxopts::ParseResult& aLine, const std::string& aName)
{
  const auto text = aLine[aName].as<std::string>();
  const Result<Address> address = addressFromText(text);
  if (!address) {
    throw std::runtime_error(describe(address.error()));
  }
  return address.value();
}

int
run(const cxxopts::ParseResult& aLine, const StopSignal& aStop)
{
  UsersReplicaSettings settings;
  settings.id = aLine["id"].as<std::string>();
  settings.service = aLine["service"].as<std::string>();
  settings.zone = aLine["zone"].as<std::string>();
  settings.kind = aLine["kind"].as<std::string>();
  settings.listen = addressIn(aLine, "listen");
  settings.advertised = addressIn(aLine, "advertise");
  settings.store = addressIn(aLine, "store");
  settings.slowdown = aLine["slowdown"].as<int>();
  const auto replica = UsersReplica::create(settings);
  if (!replica) {
    std::cerr << "standin_users_replica: " << describe(replica.error()) << '\n';
    return 3;
  }
  replica.value()->registerSelf();
  std::cout << "ready id=" << settings.id << std::endl;
  while (true) {
    switch (aStop.wait()) {
      case SIGUSR1:
        replica.value()->setRejecting(true);
        break;
      case SIGUSR2:
        replica.value()->setRejecting(false);
        replica.value()->setFailing(false);
        replica.value()->setSlow(false);
        replica.value()->setEndless(false);
        break;
      case SIGURG:
        replica.value()->setFailing(true);
        break;
      case SIGWINCH:
        replica.value()->setSlow(true);
        break;
      case SIGQUIT:
        replica.value()->setEndless(true);
        break;
      case SIGHUP:
        replica.value()->announceDrain();
        break;
      default:
        return 0;
    }
  }
}

} // namespace

int
main(int argc, char** argv)
{
  StopSignal stop;
  for (const int signal :
       { SIGUSR1, SIGUSR2, SIGHUP, SIGURG, SIGWINCH, SIGQUIT }) {
    stop.add(signal);
  }
  cxxopts::Options options{
    "standin_users_replica",
    "A replica of the users' platform for tests. Prints \"ready id=ID\", then\n"
    "\"run ID MS\" for each request that it begins. Ends on SIGTERM.\n"
    "SIGUSR1: rejects requests with Retry-After. SIGURG: answers them with "
    "500.\n"
    "SIGWINCH: is slow. SIGQUIT: answers without end. SIGUSR2: ends these "
    "four.\n"
    "SIGHUP: announces its drain in all answers."
  };
  auto add = options.add_options();
  const auto text = [] { return cxxopts::value<std::string>(); };
  add("id", "its name in the store", text());
  add("service", "the service that it serves", text());
  add("zone", "its availability zone", text()->default_value("a"));
  add("kind", "accelerator; empty: a plain service", text()->default_value(""));
  add("listen", "A.B.C.D:PORT", text());
  add("advertise", "where others reach it", text());
  add("store", "the store", text());
  add("slowdown",
      "how many times as long as usual its work takes",
      cxxopts::value<int>()->default_value("1"));
  add("help", "print this");
  try {
    const cxxopts::ParseResult line = options.parse(argc, argv);
    if (line.count("help") > 0) {
      std::cout << options.help() << '\n';
      return 0;
    }
    return run(line, stop);
  } catch (const std::exception& problem) {
    std::cerr << "standin_users_replica: " << problem.what() << '\n';
    return 2;
  }
}
