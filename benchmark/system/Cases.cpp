#include "system/Cases.h"

#include <algorithm>
#include <limits>
#include <thread>

#include "system/ProcessorUse.h"

namespace poplartrack::bench {
namespace {

using nlohmann::json;

constexpr double kSteadyPart = 0.70;
constexpr double kOverload = 2.0;
constexpr double kNearFull = 0.95;
constexpr double kBack = 0.95;
constexpr double kPlainPerSecond = 100;
constexpr Duration kSlice = std::chrono::milliseconds{ 250 };
/** Windows that are looked at together: single ones vary by more than 5% with
 * no fault too. */
constexpr int kSlicesTogether = 4;
constexpr std::uint32_t kAlways = 1'000'000'000;

double
seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

TimePoint
now()
{
  return SystemClock{}.now();
}

/** The 99th percentile of plain calls in a window, seconds; failures. */
struct PlainFigures
{
  double p99 = 0;
  double p50 = 0;
  double failed = 0;
};

PlainFigures
plainFigures(const std::vector<CallRecord>& aCalls, const Window& aWindow)
{
  constexpr double kP99 = 0.99;
  constexpr double kMedian = 0.5;
  std::vector<double> times;
  PlainFigures figures;
  for (const CallRecord& call : aCalls) {
    if (!call.model.empty() || call.intended < aWindow.from ||
        call.intended >= aWindow.until) {
      continue;
    }
    times.push_back(seconds(call.ended - call.intended));
    figures.failed += call.good() ? 0 : 1;
  }
  figures.p99 = percentile(times, kP99);
  figures.p50 = percentile(times, kMedian);
  return figures;
}

} // namespace

Cases::Cases(const BenchOptions& aOptions, const FleetPlan& aPlan)
  : options(aOptions)
  , plan(aPlan)
{
  for (const PlannedModel& model : aPlan.models()) {
    this->layers[model.name] = model.layers;
  }
}

LoadSpec
Cases::modelLoad(const std::string& aModel,
                 double aPart,
                 Duration aFrom,
                 Duration aUntil) const
{
  LoadSpec spec;
  spec.model = aModel;
  spec.shape = this->plan.shape();
  spec.perSecond = aPart * this->plan.bound(aModel) / spec.shape.tokens;
  spec.from = aFrom;
  spec.until = aUntil;
  spec.deadline = this->options.deadline;
  spec.seed = this->options.seed * 1'000 + this->runs * 10;
  return spec;
}

std::vector<LoadSpec>
Cases::bothModels(double aPart) const
{
  std::vector<LoadSpec> specs;
  for (const PlannedModel& model : this->plan.models()) {
    specs.push_back(
      this->modelLoad(model.name,
                      aPart,
                      Duration{ 0 },
                      this->options.warm + this->options.measured));
    specs.back().seed += specs.size();
  }
  return specs;
}

std::vector<LoadSpec>
Cases::plainLoad() const
{
  std::vector<LoadSpec> specs;
  const std::vector<std::pair<std::string, std::string>> calls{
    { "codebook", "lookup" }, { "kituo", "location" }
  };
  for (const auto& [service, operation] : calls) {
    LoadSpec spec;
    spec.service = service;
    spec.operation = operation;
    spec.perSecond = kPlainPerSecond;
    spec.until = this->options.warm + this->options.measured;
    spec.deadline = std::chrono::seconds{ 5 };
    spec.seed = this->options.seed * 1'000 + specs.size() + 5;
    specs.push_back(spec);
  }
  return specs;
}

std::vector<CallRecord>
Cases::run(Fleet& aFleet,
           const std::vector<LoadSpec>& aSpecs,
           const Event& aEvent)
{
  ++this->runs;
  Result<std::unique_ptr<LoadRunner>> runner =
    LoadRunner::create(aFleet.entries());
  if (!runner) {
    return {};
  }
  this->start = now() + kSlice;
  std::thread events{ [&] {
    std::this_thread::sleep_until(this->window().from);
    const ProcessorUse use;
    if (aEvent) {
      aEvent();
    }
    std::this_thread::sleep_until(this->window().until);
    this->processors = use.part();
    this->ownProcessors = use.ownPart();
  } };
  this->retries = aFleet.retries();
  std::vector<CallRecord> calls = runner.value()->run(aSpecs, this->start);
  events.join();
  for (const auto& [reason, count] : aFleet.retries()) {
    this->retries[reason] = count - this->retries[reason];
  }
  return calls;
}

Window
Cases::window() const
{
  const TimePoint from = this->start + this->options.warm;
  return Window{ from, from + this->options.measured };
}

CaseResult
Cases::result(const std::string& aName,
              const std::vector<CallRecord>& aCalls,
              double aBound) const
{
  CaseResult made = summarize(aName, aCalls, this->window(), this->layers);
  made.bound = aBound;
  made.more["part of all processors in use, other work too"] = this->processors;
  for (const auto& [reason, count] : this->retries) {
    if (count > 0) {
      made.more["retries, " + reason] = count;
    }
  }
  made.more["part of all processors in use by this system"] =
    this->ownProcessors;
  return made;
}

double
Cases::bothBounds(const std::set<std::string>& aWithout) const
{
  double sum = 0;
  for (const PlannedModel& model : this->plan.models()) {
    sum += this->plan.bound(model.name, aWithout);
  }
  return sum;
}

std::string
Cases::victim() const
{
  // The fastest engine of the middle layers: the worst one to lose.
  const LayerRange middle{ 8, 16 };
  for (const PlannedEngine& engine : this->plan.engines()) {
    if (engine.holds == middle) {
      return engine.name;
    }
  }
  return this->plan.engines().front().name;
}

CaseResult
Cases::steady(Fleet& aFleet, const std::string& aName, double aPart)
{
  const std::vector<CallRecord> calls =
    this->run(aFleet, this->bothModels(aPart), {});
  return this->result(aName, calls, this->bothBounds());
}

CaseResult
Cases::uneven(Fleet& aFleet, const std::string& aName)
{
  const Duration end = this->options.warm + this->options.measured;
  const PlannedModel& large = this->plan.models()[0];
  const PlannedModel& small = this->plan.models()[1];
  constexpr double kHalf = 0.5;
  // The shift comes a second before the window, within which all demand is
  // the large model's.
  const Duration shift = this->options.warm - std::chrono::seconds{ 1 };
  std::vector<LoadSpec> specs{
    this->modelLoad(large.name, kHalf, Duration{ 0 }, shift),
    this->modelLoad(small.name, kNearFull, Duration{ 0 }, shift),
    this->modelLoad(large.name, kNearFull, shift, end),
  };
  for (std::size_t i = 0; i < specs.size(); ++i) {
    specs[i].seed += i;
  }
  const std::vector<CallRecord> calls = this->run(aFleet, specs, {});
  return this->result(aName, calls, this->plan.bound(large.name));
}

CaseResult
Cases::overload(Fleet& aFleet)
{
  const std::vector<CallRecord> idle = this->run(aFleet, this->plainLoad(), {});
  const PlainFigures before = plainFigures(idle, this->window());
  std::vector<LoadSpec> specs = this->bothModels(kOverload);
  for (const LoadSpec& plain : this->plainLoad()) {
    specs.push_back(plain);
  }
  const std::vector<CallRecord> calls = this->run(aFleet, specs, {});
  const PlainFigures during = plainFigures(calls, this->window());
  CaseResult made =
    this->result("200% offered, with plain calls", calls, this->bothBounds());
  constexpr double kMillis = 1e3;
  made.more["plain calls idle, p50 ms"] = before.p50 * kMillis;
  made.more["plain calls idle, p99 ms"] = before.p99 * kMillis;
  made.more["plain calls at 200%, p50 ms"] = during.p50 * kMillis;
  made.more["plain calls at 200%, p99 ms"] = during.p99 * kMillis;
  made.more["plain calls p99 over idle"] =
    before.p99 > 0 ? during.p99 / before.p99 : 0;
  made.more["plain calls failed at 200%"] = during.failed;
  return made;
}

CaseResult
Cases::kill(Fleet& aFleet)
{
  const std::string name = this->victim();
  std::vector<LoadSpec> specs = this->bothModels(kSteadyPart);
  for (LoadSpec& spec : specs) {
    spec.arrivals = Arrivals::Even;
  }
  TimePoint killed{};
  TimePoint heard{};
  const std::vector<CallRecord> calls = this->run(aFleet, specs, [&] {
    killed = now();
    aFleet.signalSide(name, SIGKILL);
    const Result<Done> died = aFleet.engine(name, "die", json::object());
    while (now() < this->window().until && !aFleet.anyEntrySeesFailure(name)) {
      std::this_thread::sleep_for(std::chrono::milliseconds{ 5 });
    }
    heard = now();
    if (!died) {
      heard = TimePoint{};
    }
  });
  CaseResult made =
    this->result("one stage killed at 70%", calls, this->bothBounds({ name }));
  made.more["detection s"] = seconds(heard - killed);
  this->addRecovery(made, calls, std::min(made.offered, made.bound));
  return made;
}

void
Cases::addRecovery(CaseResult& aResult,
                   const std::vector<CallRecord>& aCalls,
                   double aWanted) const
{
  const Window all = this->window();
  std::vector<double> parts;
  for (TimePoint at = all.from; at + kSlice <= all.until; at += kSlice) {
    parts.push_back(goodTokensPerSecond(aCalls, Window{ at, at + kSlice }) /
                    aWanted);
  }
  double worst = std::numeric_limits<double>::infinity();
  for (const double part : parts) {
    worst = std::min(worst, part);
  }
  aResult.more["worst 250 ms window of what is offered"] = worst;
  // Back for good: the end of the last second that was below.
  double recovered = 0;
  double firstBack = -1;
  for (std::size_t i = 0; i + kSlicesTogether <= parts.size(); ++i) {
    double mean = 0;
    for (int k = 0; k < kSlicesTogether; ++k) {
      mean += parts[i + static_cast<std::size_t>(k)] / kSlicesTogether;
    }
    if (mean < kBack) {
      recovered = static_cast<double>(i + 1) * seconds(kSlice);
    } else if (firstBack < 0) {
      firstBack = static_cast<double>(i) * seconds(kSlice);
    }
  }
  aResult.more["first second at 95% begins, s after"] = firstBack;
  aResult.more["last second below 95% began, s after"] = recovered;
  std::vector<double> stalls;
  double lost = 0;
  for (const CallRecord& call : aCalls) {
    const bool hit =
      call.intended < all.from && call.ended > all.from && call.attempts > 1;
    const bool open = call.intended < all.from && call.ended > all.from;
    lost += open && !call.whole ? 1 : 0;
    double longest = 0;
    for (std::size_t i = 1; i < call.tokenTimes.size(); ++i) {
      if (call.tokenTimes[i] >= all.from) {
        longest = std::max(
          longest, seconds(call.tokenTimes[i] - call.tokenTimes[i - 1]));
      }
    }
    if (hit) {
      stalls.push_back(longest);
    }
  }
  constexpr double kMedian = 0.5;
  aResult.more["streams that were rebuilt"] =
    static_cast<double>(stalls.size());
  aResult.more["their longest gap, median s"] = percentile(stalls, kMedian);
  aResult.more["their longest gap, most s"] = percentile(stalls, 1);
  aResult.more["streams open at the fault, not whole"] = lost;
}

CaseResult
Cases::frozen(Fleet& aFleet)
{
  const std::string name = this->victim();
  std::vector<LoadSpec> specs = this->bothModels(kSteadyPart);
  for (LoadSpec& spec : specs) {
    spec.arrivals = Arrivals::Even;
  }
  const std::vector<CallRecord> calls =
    this->run(aFleet, specs, [&] { aFleet.signalSide(name, SIGSTOP); });
  aFleet.signalSide(name, SIGCONT);
  CaseResult made =
    this->result("one side frozen at 70%", calls, this->bothBounds({ name }));
  this->addRecovery(made, calls, std::min(made.offered, made.bound));
  return made;
}

CaseResult
Cases::slow(Fleet& aFleet)
{
  const std::string name = this->victim();
  std::vector<LoadSpec> specs = this->bothModels(kSteadyPart);
  for (LoadSpec& spec : specs) {
    spec.arrivals = Arrivals::Even;
  }
  constexpr double kTenth = 10;
  const std::vector<CallRecord> calls = this->run(aFleet, specs, [&] {
    (void)aFleet.engine(name, "faults", json{ { "slowFactor", kTenth } });
  });
  (void)aFleet.engine(name, "faults", json{ { "slowFactor", 1.0 } });
  CaseResult made = this->result(
    "one engine 10x slow at 70%", calls, this->bothBounds({ name }));
  this->addRecovery(made, calls, std::min(made.offered, made.bound));
  return made;
}

CaseResult
Cases::brownOut(Fleet& aFleet)
{
  // Three of each ten engines, spread over kinds and ranges.
  std::set<std::string> failing;
  constexpr std::size_t kOfEach = 10;
  constexpr std::size_t kFailing = 3;
  std::size_t turn = 0;
  for (const PlannedEngine& engine : this->plan.engines()) {
    // Steps of three in a cycle of ten touch every kind.
    if (turn * kFailing % kOfEach < kFailing) {
      failing.insert(engine.name);
    }
    ++turn;
  }
  const auto setFaults = [&](std::uint32_t aCount) {
    for (const std::string& name : failing) {
      (void)aFleet.engine(name, "faults", json{ { "failSteps", aCount } });
    }
  };
  const std::vector<CallRecord> calls = this->run(
    aFleet, this->bothModels(kSteadyPart), [&] { setFaults(kAlways); });
  setFaults(0);
  CaseResult made = this->result(
    "30% of engines fail at 70%", calls, this->bothBounds(failing));
  made.more["engines that fail"] = static_cast<double>(failing.size());
  double again = 0;
  for (const auto& [reason, count] : this->retries) {
    again += count;
  }
  // The calls of the warm-up are requests too.
  made.more["attempts over requests"] =
    1 + again / std::max(1.0, static_cast<double>(calls.size()));
  return made;
}

} // namespace poplartrack::bench
