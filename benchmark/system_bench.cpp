/**
 * The measuring command: the shipped program as real processes over stand-ins
 * on loopback, under open-loop load.
 *
 *   system_bench BUILD [--full] [--bound TOKENS] [--seed N] [--case NAME]...
 *
 * Prints a line of JSON a case as it ends, and the table last.
 */
#include <cstdio>
#include <iostream>

#include <cxxopts.hpp>

#include "system/Cases.h"

namespace {

using namespace poplartrack;
using namespace poplartrack::bench;

/** One case by name, over a fleet whose entries are this program. */
struct NamedCase
{
  std::string name;
  std::string entry;
  std::function<CaseResult(Cases&, Fleet&)> run;
  /** Whether the fleet is as new after it. */
  bool harmless = true;
};

std::vector<NamedCase>
allCases()
{
  std::vector<NamedCase> cases;
  const std::string own = "poplartrack";
  cases.push_back({ "steady", own, [](Cases& aCases, Fleet& aFleet) {
                     constexpr double kPart = 0.95;
                     return aCases.steady(aFleet, "95% offered", kPart);
                   } });
  cases.push_back({ "uneven", own, [](Cases& aCases, Fleet& aFleet) {
                     return aCases.uneven(aFleet, "one model takes all");
                   } });
  cases.push_back({ "overload", own, [](Cases& aCases, Fleet& aFleet) {
                     return aCases.overload(aFleet);
                   } });
  cases.push_back({ "slow", own, [](Cases& aCases, Fleet& aFleet) {
                     return aCases.slow(aFleet);
                   } });
  cases.push_back({ "frozen", own, [](Cases& aCases, Fleet& aFleet) {
                     return aCases.frozen(aFleet);
                   } });
  cases.push_back({ "brownout", own, [](Cases& aCases, Fleet& aFleet) {
                     return aCases.brownOut(aFleet);
                   } });
  cases.push_back(
    { "kill",
      own,
      [](Cases& aCases, Fleet& aFleet) { return aCases.kill(aFleet); },
      false });
  for (const std::string rule : { "Random", "RoundRobin", "LeastLoaded" }) {
    cases.push_back({ "uneven-" + rule,
                      "poplartrack_baseline_" + rule,
                      [rule](Cases& aCases, Fleet& aFleet) {
                        return aCases.uneven(aFleet, "the same, " + rule);
                      } });
  }
  return cases;
}

bool
wanted(const std::vector<std::string>& aNames, const std::string& aName)
{
  return aNames.empty() ||
         std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

int
runCases(const BenchOptions& aOptions, const std::vector<std::string>& aNames)
{
  const FleetPlan plan{ aOptions.bound, RequestShape{} };
  std::cout << plan.describe() << std::flush;
  Cases cases{ aOptions, plan };
  std::string table = tableHead();
  std::unique_ptr<Fleet> fleet;
  std::string playing;
  std::uint64_t wrong = 0;
  for (const NamedCase& one : allCases()) {
    if (!wanted(aNames, one.name)) {
      continue;
    }
    if (!fleet || playing != one.entry) {
      fleet.reset();
      Result<std::unique_ptr<Fleet>> started =
        Fleet::start(plan, FleetPrograms{ aOptions.build, one.entry });
      if (!started) {
        std::cerr << "system_bench: " << describe(started.error()) << '\n';
        return 1;
      }
      fleet = std::move(started).value();
      playing = one.entry;
    }
    const CaseResult result = one.run(cases, *fleet);
    wrong += result.wrong;
    std::cout << jsonLine(result) << std::flush;
    table += tableRow(result);
    if (!one.harmless) {
      fleet.reset();
    }
  }
  std::cout << '\n' << table;
  return wrong == 0 ? 0 : 1;
}

} // namespace

int
main(int argc, char** argv)
{
  cxxopts::Options options{ "system_bench",
                            "Measures the whole system on loopback." };
  auto add = options.add_options();
  add("build", "the build folder", cxxopts::value<std::string>());
  add("full", "longer runs", cxxopts::value<bool>());
  add("bound",
      "answer tokens a second of the large model; with fewer, engines are "
      "slower and all times longer, and the machine matters less",
      cxxopts::value<double>()->default_value("400"));
  add("seed",
      "of arrivals and prompts",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("case",
      "only this one; may be repeated",
      cxxopts::value<std::vector<std::string>>());
  options.parse_positional({ "build" });
  try {
    const cxxopts::ParseResult line = options.parse(argc, argv);
    BenchOptions bench;
    bench.build = line["build"].as<std::string>();
    bench.bound = line["bound"].as<double>();
    bench.seed = line["seed"].as<std::uint64_t>();
    if (line.count("full") > 0) {
      bench.warm = std::chrono::seconds{ 15 };
      bench.measured = std::chrono::seconds{ 60 };
    }
    const double slower = BenchOptions{}.bound / bench.bound;
    for (Duration* time : { &bench.warm, &bench.measured, &bench.deadline }) {
      *time = Duration{ static_cast<Duration::rep>(
        static_cast<double>(time->count()) * slower) };
    }
    std::vector<std::string> names;
    if (line.count("case") > 0) {
      names = line["case"].as<std::vector<std::string>>();
    }
    return runCases(bench, names);
  } catch (const cxxopts::exceptions::exception& problem) {
    std::cerr << "system_bench: " << problem.what() << '\n';
    return 2;
  }
}
