// The bodies of some requests contain the text of another request. Their
// Transfer-Encoding does not end with "chunked", so nothing tells where such a
// body ends. The request in the body must not run.

#include <cstdio>
#include <iostream>

#include "Site.h"

namespace {

using namespace review;

constexpr std::size_t kMaxBody = std::size_t{ 4 } << 20U;
constexpr int kRounds = 5;
constexpr Millis kAnswerTime{ 4'000 };

constexpr const char* kTenants =
  R"([{"Name":"retailer","ApiKeys":["key-one"],"Priority":1},)"
  R"({"Name":"reseller","ApiKeys":["key-two"],"Priority":1}])";

std::string
chunkOf(const std::string& aBytes)
{
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", aBytes.size());
  return size + aBytes + "\r\n0\r\n\r\n";
}

/** Sends a request of the retailer whose body is the text of another one. Reads
 * all that comes back on the channel. Returns whether anything did. */
bool
sendRound(const Site& aSite,
          Record& aRecord,
          const std::string& aCoding,
          const std::string& aOuter,
          const std::string& aInner)
{
  const std::string inner =
    requestText("POST", "/orders/inner", aInner, "key-two", "an order");
  const std::string head =
    "POST /orders/outer HTTP/1.1\r\nHost: " + std::string{ kHost } +
    "\r\nPoplartrack-Request-Id: " + aOuter +
    "\r\nPoplartrack-Deadline-Ms: 3000\r\nPoplartrack-Credential: key-one\r\n"
    "Transfer-Encoding: " +
    aCoding + "\r\n\r\n";
  Wire wire{ aSite.relay(0).front() };
  const std::string body = aCoding == "chunked" ? chunkOf(inner) : inner;
  if (!wire.isOpen() || !wire.write(head + body)) {
    return false;
  }
  aRecord.line("sent " + aOuter + " with Transfer-Encoding: " + aCoding +
               "; its body of " + std::to_string(inner.size()) +
               " bytes is the text of " + aInner);
  constexpr Millis kNext{ 500 };
  auto answer = wire.read(kAnswerTime);
  const bool answered = answer.has_value();
  while (answer) {
    aRecord.line("answered " + std::to_string(answer->status()) + " to " +
                 answer->field("Poplartrack-Request-Id").value_or("-"));
    answer = wire.read(kNext);
  }
  return answered;
}

int
runCase(Record& aRecord)
{
  Site site{ aRecord };
  site.putConfig(configText(1, kTenants, kMaxBody));
  if (!site.start()) {
    return kNotRun;
  }
  bool allAnswered = true;
  std::set<std::string> outer;
  std::set<std::string> inner;
  for (int i = 0; i < kRounds; ++i) {
    const std::string number = std::to_string(i);
    const std::string odd = i % 2 == 0 ? "identity" : "chunked, identity";
    const std::string coding = hasTrouble() ? odd : "chunked";
    outer.insert("outer-" + number);
    inner.insert("inner-" + number);
    allAnswered =
      sendRound(site, aRecord, coding, "outer-" + number, "inner-" + number) &&
      allAnswered;
  }
  const std::size_t smuggled = site.runsOf(inner).size();
  std::size_t cut = 0;
  for (const Run& run : site.runsOf(outer)) {
    cut += run.bodyBytes == 0 ? 1 : 0;
  }
  aRecord.line("ran from inside a body: " + std::to_string(smuggled) +
               "; ran without their body: " + std::to_string(cut));
  if (smuggled + cut > 0) {
    return kBroken;
  }
  // A relay that ends or is silent rejects nothing.
  const bool works = hasTrouble() || site.runsOf(outer).size() == kRounds;
  return allAnswered && works ? kHeld : kNotRun;
}

} // namespace

int
main(int argc, char** argv)
{
  if (argc != 2) {
    std::cerr << "usage: smuggled_request RECORD\n";
    return kNotRun;
  }
  Record record{ argv[1] };
  const int status = runCase(record);
  record.line("exit " + std::to_string(status));
  return status;
}
