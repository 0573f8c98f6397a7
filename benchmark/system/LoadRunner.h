#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "poplartrack/http/HttpClient.h"
#include "system/CallRecord.h"
#include "system/FleetPlan.h"

namespace poplartrack::bench {

/** How the intended send times lie. */
enum class Arrivals
{
  Poisson,
  /** Even spacing, where noise of arrivals would hide what is looked for. */
  Even,
};

/** One stream of calls; a plain service's when model is empty. */
struct LoadSpec
{
  std::string model;
  std::string service;
  std::string operation;
  double perSecond = 1;
  Duration from{ 0 };
  Duration until{ 0 };
  Duration deadline{ 0 };
  RequestShape shape;
  Arrivals arrivals = Arrivals::Poisson;
  std::uint64_t seed = 1;
};

/**
 * Sends calls at their intended times, however late the answers are (open
 * loop), to all entries in turn. The model calls are streams.
 */
class LoadRunner
{
public:
  static Result<std::unique_ptr<LoadRunner>> create(
    std::vector<std::string> aEntries);
  LoadRunner(const LoadRunner&) = delete;
  LoadRunner& operator=(const LoadRunner&) = delete;

  /** Sends all of it from aStart on, waits for every end and gives the calls
   * in the order of their intended times. */
  std::vector<CallRecord> run(const std::vector<LoadSpec>& aSpecs,
                              TimePoint aStart);

private:
  struct OpenCall;
  using OpenCallPtr = std::shared_ptr<OpenCall>;

  explicit LoadRunner(std::vector<std::string> aEntries)
    : entries(std::move(aEntries))
  {
  }
  void send(const OpenCallPtr& aCall, const std::string& aEntry);
  void noteEnd();

  std::vector<std::string> entries;
  std::mutex mutex;
  std::condition_variable changed;
  std::size_t open = 0;
  // Plain calls are timed by a thread that no stream's bytes delay. The
  // clients end before what their callbacks touch.
  std::unique_ptr<HttpClient> streams;
  std::unique_ptr<HttpClient> plains;
};

} // namespace poplartrack::bench
