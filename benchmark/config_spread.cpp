/**
 * What the configuration costs at growing sizes: how it spreads over many
 * keepers on a clock of their own, and how long a folder takes to merge,
 * check, write and read.
 *
 *   config_spread           all tables
 *   config_spread spread    messages, bytes, store reads and time in force
 *   config_spread folder    time and memory by accounts
 */
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

#include <malloc.h>

#include "harness/KeeperWorld.h"
#include "poplartrack/config/Folder.h"
#include "poplartrack/config/RevisionDocument.h"
#include "poplartrack/config/RevisionText.h"
#include "poplartrack/config/RevisionUpdate.h"

namespace {

using namespace poplartrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** The letter's target: 2,700 replicas for 370 nodes. */
constexpr std::size_t kTargetEntries = 370;
constexpr std::size_t kTargetSides = 2700;
constexpr std::array<std::size_t, 4> kEntryCounts{ 46, 92, 185, 370 };
constexpr int kBurst = 100;
constexpr std::array<std::size_t, 4> kAccountCounts{ 925, 1850, 3700, 7400 };
constexpr int kModels = 17;
constexpr int kRuns = 5;

double
secondsOf(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/** Until every keeper has the newest revision, in steps of 10 ms. */
Duration
timeToConverge(KeeperWorld& aWorld)
{
  const TimePoint from = aWorld.now();
  while (!aWorld.converged() && aWorld.now() - from < seconds{ 60 }) {
    aWorld.run(milliseconds{ 10 });
  }
  return aWorld.now() - from;
}

double
perSecond(std::uint64_t aCount, Duration aTime)
{
  return static_cast<double>(aCount) / secondsOf(aTime);
}

void
measureSpread(std::size_t aEntries, std::uint64_t aSeed)
{
  KeeperWorldOptions options;
  options.entries = aEntries;
  options.sides = aEntries * kTargetSides / kTargetEntries;
  options.seed = aSeed;
  KeeperWorld world{ options };
  timeToConverge(world);

  // Nothing changes: what polling costs.
  constexpr seconds kIdle{ 30 };
  const KeeperTraffic idleFrom = world.traffic();
  world.run(kIdle);
  const KeeperTraffic idle = world.traffic();

  // A burst of pushes, one each 20 ms.
  for (int i = 0; i < kBurst; ++i) {
    world.push();
    world.run(milliseconds{ 20 });
  }
  const Duration burst = milliseconds{ 20 } * kBurst;
  const Duration last = timeToConverge(world);
  const KeeperTraffic after = world.traffic();
  const auto processes = static_cast<double>(world.size());
  std::printf("%7zu %6zu %12.1f %12.1f %12.1f %14.0f %12.2f\n",
              aEntries,
              options.sides,
              perSecond(idle.storeReads - idleFrom.storeReads, kIdle),
              perSecond(after.storeReads - idle.storeReads, burst + last),
              static_cast<double>(after.peerMessages - idle.peerMessages) /
                processes,
              static_cast<double>(after.peerBytes + after.storeBytes -
                                  idle.peerBytes - idle.storeBytes) /
                processes,
              secondsOf(last));
}

void
spreadTable()
{
  std::printf("spread of a burst of %d pushes in 2 s\n", kBurst);
  std::printf("%7s %6s %12s %12s %12s %14s %12s\n",
              "entries",
              "sides",
              "idle reads/s",
              "busy reads/s",
              "fetches/proc",
              "bytes/proc",
              "in force s");
  for (const std::size_t entries : kEntryCounts) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      measureSpread(entries, seed);
    }
  }
}

std::vector<SettingsFile>
folderOf(std::size_t aAccounts)
{
  std::string models;
  for (int i = 0; i < kModels; ++i) {
    const std::string number = std::to_string(i);
    models.append("[models.model-")
      .append(number)
      .append("]\nlayers = 48\nversion = \"v1\"\n[models.model-")
      .append(number)
      .append(".versions.v1]\nweights = \"w\"\n");
  }
  std::string accounts;
  for (std::size_t i = 0; i < aAccounts; ++i) {
    accounts.append("[accounts.account-")
      .append(std::to_string(i))
      .append("]\nsecret_sha256 = \"")
      .append(64, 'a')
      .append("\"\nrequests_per_second = 50\ntokens_per_second = 20000\n"
              "highest_priority = \"high\"\n");
  }
  return { { "10-models.toml", models }, { "20-accounts.toml", accounts } };
}

template<typename Work>
double
medianMillis(Work&& aWork)
{
  std::vector<double> times;
  for (int i = 0; i < kRuns; ++i) {
    const auto start = std::chrono::steady_clock::now();
    aWork();
    times.push_back(std::chrono::duration<double, std::milli>(
                      std::chrono::steady_clock::now() - start)
                      .count());
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

/** Time for a document to take a step and check it. */
double
medianApplyMillis(const std::string& aText, const RevisionUpdate& aUpdate)
{
  std::vector<RevisionDocument> documents;
  documents.reserve(kRuns);
  for (int i = 0; i < kRuns; ++i) {
    documents.push_back(RevisionDocument::create(aText).value());
  }
  std::size_t next = 0;
  return medianMillis([&] { (void)documents[next++].apply(aUpdate); });
}

/** Bytes that the heap has handed out. */
std::size_t
heapBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void
measureFolder(std::size_t aAccounts)
{
  const std::vector<SettingsFile> files = folderOf(aAccounts);
  const double merge = medianMillis([&] { (void)mergeFolder(files); });
  Configuration merged = mergeFolder(files).value;
  merged.revision = 1;
  const std::string text = toRevisionText(merged);
  const double read = medianMillis([&] { (void)fromRevisionText(text); });

  Configuration next = merged;
  next.revision = 2;
  next.accounts.begin()->second.weight = 3;
  const std::string nextText = toRevisionText(next);
  const Result<RevisionUpdate> update = updateBetween(text, nextText);
  const double diff =
    medianMillis([&] { (void)updateBetween(text, nextText); });
  const double apply = medianApplyMillis(text, update.value());

  const std::size_t before = heapBytes();
  const Result<RevisionDocument> held = RevisionDocument::create(text);
  const std::size_t after = heapBytes();
  std::printf("%8zu %9.1f %9.1f %9.1f %9.1f %10zu %8zu %10zu\n",
              aAccounts,
              merge,
              read,
              diff,
              apply,
              text.size(),
              update.value().text.size(),
              held ? after - before : 0);
}

void
folderTable()
{
  std::printf("a folder of %d models, median of %d runs\n", kModels, kRuns);
  std::printf("%8s %9s %9s %9s %9s %10s %8s %10s\n",
              "accounts",
              "merge ms",
              "read ms",
              "diff ms",
              "apply ms",
              "text B",
              "step B",
              "held B");
  for (const std::size_t accounts : kAccountCounts) {
    measureFolder(accounts);
  }
}

} // namespace

int
main(int argc, char** argv)
{
  const std::string_view table = argc > 1 ? argv[1] : "";
  if (table != "folder") {
    spreadTable();
  }
  if (table != "spread") {
    folderTable();
  }
  return 0;
}
