// An operator takes all API keys of the only tenant away. Requests with these
// keys, with keys that never were, and without a key must not run.

#include <iostream>
#include <thread>

#include "Site.h"

namespace {

using namespace review;

constexpr std::size_t kMaxBody = std::size_t{ 4 } << 20U;
constexpr std::size_t kClients = 10;
constexpr Millis kAnswerTime{ 4'000 };
/** RevokeMs is 5,000. */
constexpr Millis kAfterRevoke{ 6'000 };

constexpr const char* kBothKeys =
  R"([{"Name":"retailer","ApiKeys":["key-one","key-two"],"Priority":1}])";
constexpr const char* kOneKey =
  R"([{"Name":"retailer","ApiKeys":["key-two"],"Priority":1}])";
constexpr const char* kNoKey =
  R"([{"Name":"retailer","ApiKeys":[],"Priority":1}])";

/** Sends requests with one key, alternately to the relays, on new channels.
 * Returns their ids. Clears aAllAnswered if one gets no answer. */
std::set<std::string>
sendWith(const Site& aSite,
         Record& aRecord,
         const std::string& aPhase,
         const std::string& aKey,
         bool& aAllAnswered)
{
  std::set<std::string> ids;
  for (std::size_t i = 0; i < kClients; ++i) {
    const std::string id = aPhase + "-" + (aKey.empty() ? "without" : aKey) +
                           "-" + std::to_string(i);
    ids.insert(id);
    Wire wire{ aSite.relay(i % aSite.relayCount()).front() };
    const std::string target = std::string{ kOrders } + std::to_string(i);
    const bool sent =
      wire.isOpen() &&
      wire.write(requestText("POST", target, id, aKey, "an order"));
    const auto answer = sent ? wire.read(kAnswerTime) : std::nullopt;
    aAllAnswered = aAllAnswered && answer.has_value();
    aRecord.line("sent " + id + ", answered " +
                 std::to_string(statusOf(answer)));
  }
  return ids;
}

int
runCase(Record& aRecord)
{
  Site site{ aRecord };
  int version = 1;
  site.putConfig(configText(version, kBothKeys, kMaxBody));
  if (!site.start()) {
    return kNotRun;
  }
  bool allAnswered = true;
  const auto first = sendWith(site, aRecord, "before", "key-one", allAnswered);
  const auto second = sendWith(site, aRecord, "before", "key-two", allAnswered);
  const auto unknown =
    sendWith(site, aRecord, "before", "never-a-key", allAnswered);
  const bool worked = site.runsOf(first).size() == kClients &&
                      site.runsOf(second).size() == kClients &&
                      site.runsOf(unknown).empty();
  if (!worked) {
    aRecord.line("the keys do not work before the revocation");
    return kNotRun;
  }
  if (hasTrouble()) {
    constexpr Millis kGap{ 1'500 };
    site.putConfig(configText(++version, kOneKey, kMaxBody));
    std::this_thread::sleep_for(kGap);
    site.putConfig(configText(++version, kNoKey, kMaxBody));
  }
  std::this_thread::sleep_for(kAfterRevoke);
  const auto revoked = sendWith(site, aRecord, "after", "key-one", allAnswered);
  const auto alsoRevoked =
    sendWith(site, aRecord, "after", "key-two", allAnswered);
  const auto never =
    sendWith(site, aRecord, "after", "never-a-key", allAnswered);
  const auto without = sendWith(site, aRecord, "after", "", allAnswered);
  const std::size_t keyRuns =
    site.runsOf(revoked).size() + site.runsOf(alsoRevoked).size();
  const std::size_t revokedRuns = hasTrouble() ? keyRuns : 0;
  const std::size_t unknownRuns = site.runsOf(never).size();
  aRecord.line(
    "ran with a revoked key: " + std::to_string(revokedRuns) +
    ", with a key that never was: " + std::to_string(unknownRuns) +
    ", without a key: " + std::to_string(site.runsOf(without).size()));
  if (revokedRuns + unknownRuns > 0) {
    return kBroken;
  }
  // Silence shows nothing, nor do keys that no longer work without a change.
  const bool works = hasTrouble() || keyRuns == 2 * kClients;
  return allAnswered && works ? kHeld : kNotRun;
}

} // namespace

int
main(int argc, char** argv)
{
  if (argc != 2) {
    std::cerr << "usage: revoke_last_key RECORD\n";
    return kNotRun;
  }
  Record record{ argv[1] };
  const int status = runCase(record);
  record.line("exit " + std::to_string(status));
  return status;
}
