#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "system/CallRecord.h"

namespace poplartrack::bench {

/** What one case showed. Ratios are to the bound that it names. */
struct CaseResult
{
  std::string name;
  /** Answer tokens a second. */
  double bound = 0;
  double offered = 0;
  /** Tokens a second, delivered in the window, of whole answers in time. */
  double goodput = 0;
  double firstTokenP95 = 0;
  double firstTokenP99 = 0;
  double gapP95 = 0;
  double gapP99 = 0;
  /** By kind: what was not whole. "late": whole, after its deadline. */
  std::map<std::string, std::uint64_t> failures;
  std::uint64_t calls = 0;
  std::uint64_t good = 0;
  std::uint64_t checked = 0;
  std::uint64_t wrong = 0;
  /** Figures of this case alone, such as a time of recovery. */
  std::map<std::string, double> more;
};

/** The part of a run that counts. */
struct Window
{
  TimePoint from{};
  TimePoint until{};
};

/** The value below which this part of the values lies; 0 of none. */
double
percentile(std::vector<double> aValues, double aPart);

/** Goodput and latencies of the model calls, from their intended times; every
 * tenth answer is computed alone and compared. Seconds throughout. */
CaseResult
summarize(const std::string& aName,
          const std::vector<CallRecord>& aCalls,
          const Window& aWindow,
          const std::map<std::string, std::uint32_t>& aLayers);

/** Tokens of good answers delivered in a span, a second. */
double
goodTokensPerSecond(const std::vector<CallRecord>& aCalls,
                    const Window& aWindow);

/** The table's head and one case as a row of ratios. */
std::string
tableHead();
std::string
tableRow(const CaseResult& aResult);
/** One case as a line of JSON. */
std::string
jsonLine(const CaseResult& aResult);

} // namespace poplartrack::bench
