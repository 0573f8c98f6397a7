#include "cli/RunRole.h"

#include <algorithm>
#include <iostream>

#include <glog/logging.h>

#include "cli/ProcessLoop.h"
#include "cli/RoleArguments.h"
#include "poplartrack/config/ProcessSettings.h"
#include "poplartrack/entry/EntryServer.h"
#include "poplartrack/side/SideServer.h"

namespace poplartrack {
namespace {

void
startLogging(const char* aProgram)
{
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(aProgram);
}

ExitCode
failStart(const Error& aError)
{
  std::cerr << "poplartrack: " << describe(aError) << '\n';
  return ExitCode::Usage;
}

/** Kept of the drain timeout for answering what is open at its end. */
constexpr Duration kEndingTime = std::chrono::milliseconds{ 500 };

ExitCode
drainEntry(EntryServer& aEntry, const TuningSettings& aTuning)
{
  aEntry.startDraining();
  // Until the balancer has noticed, callers still come and are served.
  waitUntilDone([] { return false; }, aTuning.drainGrace);
  aEntry.stopListening();
  const auto isDrained = [&aEntry] { return aEntry.drained(); };
  const Duration limit =
    std::max(aTuning.drainTimeout - kEndingTime, Duration{ 0 });
  const bool whole = waitUntilDone(isDrained, limit);
  if (!whole) {
    aEntry.endOpenRequests();
    waitUntilDone(isDrained, kEndingTime);
  }
  LOG(INFO) << (whole ? "entry: drained" : "entry: stopped with work open");
  return whole ? ExitCode::Ok : ExitCode::Refused;
}

ExitCode
drainSide(SideServer& aSide, const TuningSettings& aTuning)
{
  aSide.drain();
  const bool whole =
    waitUntilDone([&] { return aSide.drained(); }, aTuning.drainTimeout);
  LOG(INFO) << (whole ? "side: drained" : "side: stopped with work open");
  return whole ? ExitCode::Ok : ExitCode::Refused;
}

} // namespace

ExitCode
runEntry(int argc, char** argv)
{
  const RoleArguments arguments = parseRoleArguments(argc, argv, "entry");
  if (arguments.exit) {
    return *arguments.exit;
  }
  const Checked<ProcessSettings> settings =
    loadProcessSettings(arguments.settings, ProcessRole::Entry);
  if (!settings.ok()) {
    std::cerr << toText(settings.problems);
    return ExitCode::Usage;
  }
  startLogging("poplartrack-entry");
  blockStopSignals();
  const Result<std::unique_ptr<EntryServer>> entry =
    EntryServer::create(settings.value);
  if (!entry) {
    return failStart(entry.error());
  }
  std::cout << "ready name=" << settings.value.name
            << " callers=" << toText(entry.value()->callersAddress())
            << " wire=" << toText(entry.value()->wireAddress()) << std::endl;
  waitForStopSignal();
  return drainEntry(*entry.value(), settings.value.tuning);
}

ExitCode
runSide(int argc, char** argv)
{
  const RoleArguments arguments = parseRoleArguments(argc, argv, "side");
  if (arguments.exit) {
    return *arguments.exit;
  }
  const Checked<ProcessSettings> settings =
    loadProcessSettings(arguments.settings, ProcessRole::Side);
  if (!settings.ok()) {
    std::cerr << toText(settings.problems);
    return ExitCode::Usage;
  }
  startLogging("poplartrack-side");
  blockStopSignals();
  SideOptions options;
  options.name = settings.value.name;
  options.zone = settings.value.zone;
  options.region = settings.value.region;
  options.wire = settings.value.wire;
  options.metrics = settings.value.metrics;
  options.endpoint = settings.value.endpoint.name;
  options.endpointAddress = settings.value.endpoint.address;
  options.platform = settings.value.platform;
  const Result<std::unique_ptr<SideServer>> side = SideServer::create(options);
  if (!side) {
    return failStart(side.error());
  }
  std::cout << "ready name=" << settings.value.name
            << " metrics=" << toText(side.value()->metricsAddress())
            << " wire=" << toText(side.value()->wireAddress()) << std::endl;
  waitForStopSignal();
  return drainSide(*side.value(), settings.value.tuning);
}

} // namespace poplartrack
