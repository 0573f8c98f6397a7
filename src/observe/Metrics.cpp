#include "poplartrack/observe/Metrics.h"

#include <sstream>

#include "LatencySummary.h"

namespace poplartrack {
namespace {

constexpr std::string_view kPrefix = "poplartrack_";

void
renderLine(std::ostringstream& aOut,
           std::string_view aName,
           std::string_view aLabels,
           auto aValue)
{
  aOut << kPrefix << aName << aLabels << ' ' << aValue << '\n';
}

void
renderType(std::ostringstream& aOut,
           std::string_view aName,
           std::string_view aType)
{
  aOut << "# TYPE " << kPrefix << aName << ' ' << aType << '\n';
}

std::string
label(std::string_view aKey, std::string_view aValue)
{
  std::string text{ "{" };
  text.append(aKey).append("=\"").append(aValue).append("\"}");
  return text;
}

/** Renders a counter with one label, whose values are the names of Kind. */
template<typename Kind>
void
renderCounts(std::ostringstream& aOut,
             std::string_view aName,
             std::string_view aKey,
             const auto& aCounts)
{
  renderType(aOut, aName, "counter");
  for (std::size_t i = 0; i < aCounts.size(); ++i) {
    renderLine(aOut,
               aName,
               label(aKey, nameOf(static_cast<Kind>(i))),
               aCounts[i].load());
  }
}

} // namespace

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void
Metrics::countRefusal(ErrorKind aKind)
{
  this->refusalCounts[static_cast<std::size_t>(aKind)].fetch_add(
    1, std::memory_order_relaxed);
}

void
Metrics::countRetry(RetryReason aReason)
{
  this->retryCounts[static_cast<std::size_t>(aReason)].fetch_add(
    1, std::memory_order_relaxed);
}

void
Metrics::countExcess(AnswerExcess aExcess)
{
  this->excessCounts[static_cast<std::size_t>(aExcess)].fetch_add(
    1, std::memory_order_relaxed);
}

void
Metrics::countStoreCall(StoreCall aCall, std::uint64_t aAmount)
{
  this->storeCallCounts[static_cast<std::size_t>(aCall)].fetch_add(
    aAmount, std::memory_order_relaxed);
}

void
Metrics::count(std::string_view aName, std::uint64_t aAmount)
{
  const std::scoped_lock lock{ this->named };
  const auto found = this->counters.find(aName);
  if (found != this->counters.end()) {
    found->second += aAmount;
    return;
  }
  this->counters.emplace(aName, aAmount);
}

void
Metrics::set(std::string_view aName, std::int64_t aValue)
{
  const std::scoped_lock lock{ this->named };
  this->gauges.insert_or_assign(std::string{ aName }, aValue);
}

void
Metrics::observe(std::string_view aName, Duration aValue)
{
  const std::scoped_lock lock{ this->named };
  auto found = this->summaries.find(aName);
  if (found == this->summaries.end()) {
    found =
      this->summaries.emplace(aName, std::make_unique<LatencySummary>()).first;
  }
  found->second->add(aValue);
}

std::uint64_t
Metrics::refusals(ErrorKind aKind) const
{
  return this->refusalCounts[static_cast<std::size_t>(aKind)].load();
}

std::uint64_t
Metrics::retries(RetryReason aReason) const
{
  return this->retryCounts[static_cast<std::size_t>(aReason)].load();
}

std::uint64_t
Metrics::excesses(AnswerExcess aExcess) const
{
  return this->excessCounts[static_cast<std::size_t>(aExcess)].load();
}

std::uint64_t
Metrics::storeCalls(StoreCall aCall) const
{
  return this->storeCallCounts[static_cast<std::size_t>(aCall)].load();
}

std::uint64_t
Metrics::counter(std::string_view aName) const
{
  const std::scoped_lock lock{ this->named };
  const auto found = this->counters.find(aName);
  return found == this->counters.end() ? 0 : found->second;
}

std::string
Metrics::render() const
{
  std::ostringstream out;
  renderCounts<ErrorKind>(out, "refusals_total", "kind", this->refusalCounts);
  renderCounts<RetryReason>(out, "retries_total", "reason", this->retryCounts);
  renderCounts<AnswerExcess>(
    out, "answers_over_limit_total", "cause", this->excessCounts);
  renderCounts<StoreCall>(
    out, "store_calls_total", "reason", this->storeCallCounts);
  const std::scoped_lock lock{ this->named };
  for (const auto& [name, value] : this->counters) {
    renderType(out, name, "counter");
    renderLine(out, name, "", value);
  }
  for (const auto& [name, value] : this->gauges) {
    renderType(out, name, "gauge");
    renderLine(out, name, "", value);
  }
  for (const auto& [name, summary] : this->summaries) {
    renderType(out, name, "summary");
    renderLine(out, name, label("quantile", "0.5"), summary->p50());
    renderLine(out, name, label("quantile", "0.95"), summary->p95());
    renderLine(out, name, label("quantile", "0.99"), summary->p99());
    renderLine(out, name + "_sum", "", summary->sum());
    renderLine(out, name + "_count", "", summary->count());
  }
  return out.str();
}

} // namespace poplartrack
