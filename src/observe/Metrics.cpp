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
  renderType(out, "refusals_total", "counter");
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    renderLine(out,
               "refusals_total",
               label("kind", nameOf(kind)),
               this->refusalCounts[i].load());
  }
  renderType(out, "retries_total", "counter");
  for (std::size_t i = 0; i < kRetryReasonCount; ++i) {
    const auto reason = static_cast<RetryReason>(i);
    renderLine(out,
               "retries_total",
               label("reason", nameOf(reason)),
               this->retryCounts[i].load());
  }
  renderType(out, "store_calls_total", "counter");
  for (std::size_t i = 0; i < kStoreCallCount; ++i) {
    const auto call = static_cast<StoreCall>(i);
    renderLine(out,
               "store_calls_total",
               label("reason", nameOf(call)),
               this->storeCallCounts[i].load());
  }
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
