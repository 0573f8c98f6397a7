// Measures routing, admission and retries against named baselines, on a
// service-time model of the endpoints:
//   build/decisions [SCENARIO] [SEEDS]
// With BY_SECOND set it also prints the good answers of each second.
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "decisions/Baselines.h"
#include "decisions/Scenarios.h"
#include "decisions/Simulation.h"

namespace poplartrack::bench {
namespace {

constexpr std::size_t kEntries = 4;
constexpr int kDefaultSeeds = 5;

std::vector<RouteChooser>
ours(std::uint64_t aSeed)
{
  std::vector<RouteChooser> choosers;
  for (std::size_t i = 0; i < kEntries; ++i) {
    choosers.push_back(
      RouteChooser::create(RoutePolicy{}, aSeed * kEntries + i).value());
  }
  return choosers;
}

std::vector<BaselineChooser>
baseline(BaselineRule aRule, std::uint64_t aSeed)
{
  std::vector<BaselineChooser> choosers;
  for (std::size_t i = 0; i < kEntries; ++i) {
    choosers.emplace_back(aRule, aSeed * kEntries + i);
  }
  return choosers;
}

/** One policy's figures over all seeds. */
struct Row
{
  std::string policy;
  std::vector<Figures> runs;
};

double
mean(const Row& aRow, double Figures::*aField)
{
  double sum = 0;
  for (const Figures& run : aRow.runs) {
    sum += run.*aField;
  }
  return sum / static_cast<double>(aRow.runs.size());
}

void
print(const Scenario& aScenario, const std::vector<Row>& aRows)
{
  std::printf("\n%s (offered %.2f of the bound of %.0f requests/s)\n",
              aScenario.name.c_str(),
              mean(aRows[0], &Figures::offeredPerSecond) /
                mean(aRows[0], &Figures::boundPerSecond),
              mean(aRows[0], &Figures::boundPerSecond));
  std::printf("%-14s %6s %6s %6s %6s  %9s %9s %8s %7s %7s %6s %5s\n",
              "policy",
              "good",
              "least",
              "most",
              "wins",
              "first p95",
              "first p99",
              "gap p95",
              "refused",
              "failed",
              "ampl.",
              "hits");
  for (const Row& row : aRows) {
    double least = 1e9;
    double most = 0;
    std::size_t wins = 0;
    for (std::size_t i = 0; i < row.runs.size(); ++i) {
      const double good = row.runs[i].goodOverBound;
      least = std::min(least, good);
      most = std::max(most, good);
      wins += aRows[0].runs[i].goodOverBound > good ? 1 : 0;
    }
    std::printf("%-14s %6.3f %6.3f %6.3f %4zu/%zu  %6.0f ms %6.0f ms %5.1f ms "
                "%7.3f %7.3f %6.2f %5.2f\n",
                row.policy.c_str(),
                mean(row, &Figures::goodOverBound),
                least,
                most,
                wins,
                row.runs.size(),
                mean(row, &Figures::firstTokenP95),
                mean(row, &Figures::firstTokenP99),
                mean(row, &Figures::gapP95),
                mean(row, &Figures::refusedPart),
                mean(row, &Figures::failedPart),
                mean(row, &Figures::amplification),
                mean(row, &Figures::hitPart));
  }
  if (std::getenv("BY_SECOND") != nullptr) {
    for (const Row& row : aRows) {
      std::printf("%-14s", row.policy.c_str());
      for (std::size_t i = 0; i < row.runs[0].goodBySecond.size(); ++i) {
        double sum = 0;
        for (const Figures& run : row.runs) {
          sum += run.goodBySecond[i];
        }
        std::printf(" %.0f", sum / static_cast<double>(row.runs.size()));
      }
      std::printf("\n");
    }
  }
  std::fflush(stdout);
}

template<typename Chooser>
Figures
runOnce(const Scenario& aScenario,
        std::uint64_t aSeed,
        std::vector<Chooser> aChoosers)
{
  Simulation<Chooser> simulation(aScenario, aSeed, std::move(aChoosers));
  return simulation.run();
}

void
compare(const Scenario& aScenario, int aSeeds)
{
  std::vector<Row> rows{ { "poplartrack", {} },
                         { "random", {} },
                         { "round robin", {} },
                         { "least loaded", {} },
                         { "ours, no limit", {} } };
  for (int i = 1; i <= aSeeds; ++i) {
    const auto seed = static_cast<std::uint64_t>(i);
    rows[0].runs.push_back(runOnce(aScenario, seed, ours(seed)));
    Scenario open = aScenario;
    open.admission = false;
    if (aScenario.prefixes > 0) {
      open = aScenario;
      open.affinity = false;
      rows[4].policy = "no affinity";
    }
    rows[4].runs.push_back(runOnce(open, seed, ours(seed)));
    for (const BaselineRule rule : { BaselineRule::Random,
                                     BaselineRule::RoundRobin,
                                     BaselineRule::LeastLoaded }) {
      // Under overload the baselines keep a fixed limit in flight; below it
      // they let everything in.
      Scenario plain = aScenario;
      plain.admission = std::max(plain.offered, plain.offeredLater) > 1;
      rows[1 + static_cast<std::size_t>(rule)].runs.push_back(
        runOnce(plain, seed, baseline(rule, seed)));
    }
  }
  print(aScenario, rows);
}

} // namespace
} // namespace poplartrack::bench

int
main(int argc, char** argv)
{
  using namespace poplartrack::bench;
  const std::string wanted = argc > 1 ? argv[1] : "all";
  const int seeds = argc > 2 ? std::atoi(argv[2]) : kDefaultSeeds;
  for (const Scenario& scenario : allScenarios()) {
    if (wanted == "all" || wanted == scenario.name) {
      compare(scenario, seeds);
    }
  }
  return 0;
}
