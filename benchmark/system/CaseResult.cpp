#include "system/CaseResult.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include <nlohmann/json.hpp>

#include "standins/lib/ToyModel.h"
#include "system/FleetPlan.h"

namespace poplartrack::bench {
namespace {

constexpr std::size_t kCheckEvery = 10;
constexpr double kP95 = 0.95;
constexpr double kP99 = 0.99;

double
seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

bool
inside(const Window& aWindow, TimePoint aTime)
{
  return aWindow.from <= aTime && aTime < aWindow.until;
}

bool
rightAnswer(const CallRecord& aCall, std::uint32_t aLayers)
{
  return standins::ToyModel{ aCall.model, kVersion, aLayers }.answer(
           aCall.prompt, aCall.wanted) == aCall.tokens;
}

} // namespace

double
percentile(std::vector<double> aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto at = std::min(
    aValues.size() - 1,
    static_cast<std::size_t>(aPart * static_cast<double>(aValues.size())));
  std::nth_element(aValues.begin(),
                   aValues.begin() + static_cast<std::ptrdiff_t>(at),
                   aValues.end());
  return aValues[at];
}

double
goodTokensPerSecond(const std::vector<CallRecord>& aCalls,
                    const Window& aWindow)
{
  double tokens = 0;
  for (const CallRecord& call : aCalls) {
    if (!call.good()) {
      continue;
    }
    for (const TimePoint at : call.tokenTimes) {
      tokens += inside(aWindow, at) ? 1 : 0;
    }
  }
  return tokens / seconds(aWindow.until - aWindow.from);
}

CaseResult
summarize(const std::string& aName,
          const std::vector<CallRecord>& aCalls,
          const Window& aWindow,
          const std::map<std::string, std::uint32_t>& aLayers)
{
  CaseResult result;
  result.name = aName;
  std::vector<double> first;
  std::vector<double> gaps;
  double offered = 0;
  for (const CallRecord& call : aCalls) {
    if (call.model.empty() || !inside(aWindow, call.intended)) {
      continue;
    }
    ++result.calls;
    offered += call.wanted;
    if (!call.whole) {
      ++result.failures[call.kind];
    } else if (!call.good()) {
      ++result.failures["late"];
    } else {
      ++result.good;
    }
    if (!call.tokenTimes.empty()) {
      first.push_back(seconds(call.tokenTimes.front() - call.intended));
    }
    for (std::size_t i = 1; i < call.tokenTimes.size(); ++i) {
      gaps.push_back(seconds(call.tokenTimes[i] - call.tokenTimes[i - 1]));
    }
    if (call.whole && result.good % kCheckEvery == 0) {
      ++result.checked;
      result.wrong += rightAnswer(call, aLayers.at(call.model)) ? 0 : 1;
    }
  }
  result.offered = offered / seconds(aWindow.until - aWindow.from);
  result.goodput = goodTokensPerSecond(aCalls, aWindow);
  result.firstTokenP95 = percentile(first, kP95);
  result.firstTokenP99 = percentile(first, kP99);
  result.gapP95 = percentile(gaps, kP95);
  result.gapP99 = percentile(gaps, kP99);
  return result;
}

std::string
tableHead()
{
  return "case                          offered goodput  first p95  first p99 "
         "   gap p95    gap p99  not whole, by kind\n"
         "                                /bound  /bound         s          s "
         "         s          s\n";
}

std::string
tableRow(const CaseResult& aResult)
{
  std::array<char, 160> line{};
  const double bound = std::max(aResult.bound, 1e-9);
  std::snprintf(line.data(),
                line.size(),
                "%-30s %6.2f  %6.2f %10.2f %10.2f %10.3f %10.3f ",
                aResult.name.c_str(),
                aResult.offered / bound,
                aResult.goodput / bound,
                aResult.firstTokenP95,
                aResult.firstTokenP99,
                aResult.gapP95,
                aResult.gapP99);
  std::string text = line.data();
  for (const auto& [kind, count] : aResult.failures) {
    text += " " + kind + "=" + std::to_string(count);
  }
  text += " of " + std::to_string(aResult.calls);
  if (aResult.wrong > 0) {
    text += " WRONG=" + std::to_string(aResult.wrong);
  }
  text += "\n";
  for (const auto& [what, value] : aResult.more) {
    std::snprintf(
      line.data(), line.size(), "    %-46s %10.3f\n", what.c_str(), value);
    text += line.data();
  }
  return text;
}

std::string
jsonLine(const CaseResult& aResult)
{
  return nlohmann::json{
    { "case", aResult.name },
    { "bound", aResult.bound },
    { "offered", aResult.offered },
    { "goodput", aResult.goodput },
    { "first_token_p95_s", aResult.firstTokenP95 },
    { "first_token_p99_s", aResult.firstTokenP99 },
    { "gap_p95_s", aResult.gapP95 },
    { "gap_p99_s", aResult.gapP99 },
    { "calls", aResult.calls },
    { "good", aResult.good },
    { "failures", aResult.failures },
    { "checked", aResult.checked },
    { "wrong", aResult.wrong },
    { "more", aResult.more }
  }.dump() +
         "\n";
}

} // namespace poplartrack::bench
