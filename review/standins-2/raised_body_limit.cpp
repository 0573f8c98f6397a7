// The operator raises MaxBodyBytes while clients keep their channels open.
// Their next requests have bodies that only the new desired state allows.

#include <iostream>
#include <thread>

#include "Site.h"

namespace {

using namespace review;

constexpr std::size_t kMegabyte = std::size_t{ 1 } << 20U;
constexpr std::size_t kOldLimit = kMegabyte;
constexpr std::size_t kNewLimit = 4 * kMegabyte;
constexpr std::size_t kBodyBytes = kMegabyte * 3 / 2;
constexpr std::size_t kClients = 20;
constexpr Millis kAnswerTime{ 4'000 };
/** ConfigDeadlineMs is 2,000; IdleTimeoutMs is 15,000. */
constexpr Millis kAfterChange{ 4'000 };
constexpr int kOk = 200;
constexpr int kTooLarge = 413;

constexpr const char* kTenants =
  R"([{"Name":"retailer","ApiKeys":["key-one"],"Priority":1}])";

/** Statuses that a group of requests was answered with. */
struct Outcome
{
  std::size_t served = 0;
  std::size_t denied = 0;
};

/** Sends one request on each channel. */
Outcome
sendOn(std::vector<std::unique_ptr<Wire>>& aWires,
       Record& aRecord,
       const std::string& aPhase,
       std::size_t aBytes)
{
  Outcome outcome;
  const std::string body(aBytes, 'b');
  for (std::size_t i = 0; i < aWires.size(); ++i) {
    const std::string id = aPhase + "-" + std::to_string(i);
    const std::string request =
      requestText("POST", "/lookups/query", id, "key-one", body);
    // A relay may answer before it has read the body, and close.
    static_cast<void>(aWires[i]->write(request));
    const int status = statusOf(aWires[i]->read(kAnswerTime));
    outcome.served += status == kOk ? 1 : 0;
    outcome.denied += status == kTooLarge ? 1 : 0;
    aRecord.line("sent " + id + " with a body of " + std::to_string(aBytes) +
                 " bytes, answered " + std::to_string(status));
  }
  return outcome;
}

std::vector<std::unique_ptr<Wire>>
openChannels(const Site& aSite)
{
  std::vector<std::unique_ptr<Wire>> wires;
  for (std::size_t i = 0; i < kClients; ++i) {
    wires.push_back(
      std::make_unique<Wire>(aSite.relay(i % aSite.relayCount()).front()));
  }
  return wires;
}

int
runCase(Record& aRecord)
{
  Site site{ aRecord };
  site.putConfig(configText(1, kTenants, hasTrouble() ? kOldLimit : kNewLimit));
  if (!site.start()) {
    return kNotRun;
  }
  auto kept = openChannels(site);
  constexpr std::size_t kSmall = 100;
  if (sendOn(kept, aRecord, "small", kSmall).served != kClients) {
    return kNotRun;
  }
  if (hasTrouble()) {
    site.putConfig(configText(2, kTenants, kNewLimit));
  }
  std::this_thread::sleep_for(kAfterChange);
  const Outcome onKept = sendOn(kept, aRecord, "kept", kBodyBytes);
  auto fresh = openChannels(site);
  const Outcome onNew = sendOn(fresh, aRecord, "new", kBodyBytes);
  // DENIED: more than 5 + one in 500 of all requests.
  constexpr std::size_t kRequests = 3 * kClients;
  constexpr std::size_t kAllowed = 5 + kRequests / 500;
  const std::size_t denied = onKept.denied + onNew.denied;
  aRecord.line("on kept channels: " + std::to_string(onKept.served) +
               " served, " + std::to_string(onKept.denied) +
               " denied; on new ones: " + std::to_string(onNew.served) +
               " served, " + std::to_string(onNew.denied) + " denied");
  if (denied > kAllowed) {
    return kBroken;
  }
  // Requests that end in another way show nothing.
  const std::size_t judged = onKept.served + onNew.served + denied;
  return judged == 2 * kClients ? kHeld : kNotRun;
}

} // namespace

int
main(int argc, char** argv)
{
  if (argc != 2) {
    std::cerr << "usage: raised_body_limit RECORD\n";
    return kNotRun;
  }
  Record record{ argv[1] };
  const int status = runCase(record);
  record.line("exit " + std::to_string(status));
  return status;
}
