/**
 * Streams through one relay while two of three replicas answer some of them
 * with bytes that do not end: what the relay's memory comes to, how many
 * streams are whole, and how long those take. The baseline is the row "none".
 *
 * endless_answers PROGRAM [FORM]: PROGRAM is the relay, of this or an earlier
 * version. It is killed when it takes more than its 260 MB.
 */
#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "harness/ChildProcess.h"
#include "harness/RawSocket.h"
#include "platform/WireNames.h"
#include "poplartrack/base/Clock.h"
#include "standins/lib/UsersStoreStandin.h"

namespace {

using namespace poplartrack;
using harness::RawListener;
using harness::RawSocket;
using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int kReplicas = 3;
constexpr int kFaultyReplicas = 2;
/** One stream in so many of a faulty replica is endless. */
constexpr int kEndlessEvery = 20;
constexpr int kCallers = 6;
constexpr int kStreamsEach = 50;
constexpr int kEvents = 40;
constexpr milliseconds kEventInterval{ 10 };
constexpr std::size_t kMemoryMb = 260;

/** One kind of bytes without end: a start, and what follows it again and again.
 * ID stands for the request's id. */
struct Form
{
  const char* name;
  std::string start;
  std::string repeated;
};

const std::string kAnswer = std::string{ "HTTP/1.1 200 OK\r\n" } +
                            std::string{ wire_names::kRequestId } + ": ID\r\n" +
                            std::string{ wire_names::kStamp } + ": s\r\n";
const std::string kChunked = kAnswer + "Transfer-Encoding: chunked\r\n\r\n";

std::vector<Form>
allForms()
{
  const std::string text(1'000, 'x');
  return {
    { "none", "", "" },
    { "whole answer", "HTTP/1.1 500 Failed\r\n\r\n", text },
    { "chunk extension", kChunked + "5;", text },
    { "size line", kChunked, "00000000" },
    { "trailers", kChunked + "0\r\n", "Name: value\r\n" },
    { "small events", kChunked, "9\r\ndata: x\n\n\r\n" },
    { "one event", kChunked, "3e8\r\n" + text + "\r\n" },
    { "other request",
      "HTTP/1.1 200 OK\r\n" + std::string{ wire_names::kRequestId } +
        ": other\r\n\r\n",
      text },
    { "status line", "HTTP/1.1 200 ", text },
    { "fields", "HTTP/1.1 200 OK\r\n", "Name: value\r\n" },
    { "interim", "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
  };
}

std::string
chunk(const std::string& aBytes)
{
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  return size.data() + aBytes + "\r\n";
}

std::string
fieldOf(const std::string& aHead, std::string_view aName)
{
  const std::size_t at = aHead.find(std::string{ aName } + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t from = at + aName.size() + 2;
  return aHead.substr(from, aHead.find("\r\n", from) - from);
}

/** A replica of a plain service that streams. */
class Replica
{
public:
  Replica(const Form& aForm, bool aFaulty)
    : form(aForm)
    , faulty(aFaulty)
    , accepting([this] { this->acceptAll(); })
  {
  }
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;
  ~Replica()
  {
    this->stopping = true;
    this->accepting.join();
    for (std::thread& thread : this->serving) {
      thread.join();
    }
  }

  [[nodiscard]] Address address() const { return this->listener.address(); }
  [[nodiscard]] std::size_t endlessBytes() const { return this->bytes; }
  [[nodiscard]] int endlessAnswers() const { return this->answers; }

private:
  void acceptAll()
  {
    while (!this->stopping) {
      if (auto next = this->listener.acceptWithin(milliseconds{ 50 })) {
        this->serving.emplace_back(
          [this, taken = std::move(*next)]() mutable { this->serve(taken); });
      }
    }
  }
  void serve(RawSocket& aConnection)
  {
    std::string head = aConnection.readUntil("\r\n\r\n");
    while (head.ends_with("\r\n\r\n")) {
      const std::string id = fieldOf(head, wire_names::kRequestId);
      const int run = ++this->runs;
      const bool isEndless = this->faulty && !this->form.repeated.empty() &&
                             run % kEndlessEvery == 0;
      if (!(isEndless ? this->sendEndless(aConnection, id)
                      : sendStream(aConnection, id, head))) {
        return;
      }
      head = aConnection.readUntil("\r\n\r\n");
    }
  }
  bool sendEndless(RawSocket& aConnection, const std::string& aId)
  {
    std::string start = this->form.start;
    if (const std::size_t at = start.find(": ID"); at != std::string::npos) {
      start.replace(at + 2, 2, aId);
    }
    std::string block;
    while (block.size() < 16'384) {
      block += this->form.repeated;
    }
    ++this->answers;
    bool isOpen = aConnection.send(start);
    while (isOpen && !this->stopping) {
      isOpen = aConnection.send(block);
      this->bytes += block.size();
    }
    return false;
  }
  static bool sendStream(RawSocket& aConnection,
                         const std::string& aId,
                         const std::string& aHead)
  {
    std::string start = kChunked;
    start.replace(start.find(": ID") + 2, 2, aId);
    const std::string after = fieldOf(aHead, wire_names::kLastEventId);
    bool isOpen = aConnection.send(start);
    for (int i = after.empty() ? 1 : std::stoi(after) + 1;
         isOpen && i <= kEvents;
         ++i) {
      std::this_thread::sleep_for(kEventInterval);
      isOpen = aConnection.send(
        chunk("id: " + std::to_string(i) + "\ndata: piece\n\n"));
    }
    return isOpen && aConnection.send("0\r\n\r\n");
  }

  const Form& form;
  bool faulty;
  RawListener listener;
  std::atomic<bool> stopping{ false };
  std::atomic<int> runs{ 0 };
  std::atomic<int> answers{ 0 };
  std::atomic<std::size_t> bytes{ 0 };
  std::vector<std::thread> serving;
  std::thread accepting;
};

/** Returns a figure of the process's status page, in KB; 0 if it has ended. */
std::size_t
statusKb(pid_t aProcess, const std::string& aName)
{
  std::ifstream page{ "/proc/" + std::to_string(aProcess) + "/status" };
  std::string line;
  while (std::getline(page, line)) {
    if (line.starts_with(aName + ":")) {
      return std::stoul(line.substr(aName.size() + 1));
    }
  }
  return 0;
}

void
pushFleet(standins::UsersStoreStandin& aStore,
          const std::vector<std::unique_ptr<Replica>>& aReplicas)
{
  const Json route{ { "Name", "words" },     { "Host", "words.example" },
                    { "Prefix", "/words/" }, { "Kind", "streaming" },
                    { "Service", "words" },  { "TimeoutMs", 20'000 },
                    { "SloMs", 500 },        { "GapAimMs", 200 },
                    { "Attempts", 2 },       { "Resumable", true } };
  aStore.put(std::string{ wire_names::kOperatorTable },
             std::string{ wire_names::kConfigKey },
             Json{ { "Version", 1 },
                   { "Routes", { route } },
                   { "Services", { { { "Name", "words" } } } } }
               .dump());
  int number = 0;
  for (const auto& replica : aReplicas) {
    aStore.put(std::string{ wire_names::kReplicaTable },
               "i-" + std::to_string(++number),
               Json{ { "Service", "words" },
                     { "Address", toText(replica->address()) },
                     { "Zone", "a" },
                     { "Version", "1" },
                     { "Slots", 64 },
                     { "State", "ready" },
                     { "Sequence", 1 } }
                 .dump());
  }
}

/** What the callers of one run saw. */
struct Seen
{
  std::mutex guard;
  int whole = 0;
  std::vector<double> seconds;
};

/** Requests streams one after the other, and records those that are whole. */
void
requestStreams(const Address& aRelay, int aCaller, int aStreams, Seen& aSeen)
{
  for (int i = 0; i < aStreams; ++i) {
    const TimePoint from = runtimeNow();
    std::optional<RawSocket> caller = RawSocket::tryConnect(aRelay);
    if (!caller) {
      return;
    }
    caller->send("POST /words/x HTTP/1.1\r\nHost: words.example\r\n" +
                 std::string{ wire_names::kRequestId } + ": c" +
                 std::to_string(aCaller) + "-" + std::to_string(i) + "\r\n" +
                 std::string{ wire_names::kDeadline } +
                 ": 20000\r\nContent-Length: 0\r\n\r\n");
    const std::string answer = caller->readUntil("\r\n0\r\n\r\n");
    const bool isWhole =
      answer.ends_with("\r\n0\r\n\r\n") &&
      answer.find("id: " + std::to_string(kEvents) + "\n") != std::string::npos;
    const std::scoped_lock lock{ aSeen.guard };
    if (isWhole) {
      ++aSeen.whole;
      aSeen.seconds.push_back(
        std::chrono::duration<double>(runtimeNow() - from).count());
    }
  }
}

/** Starts the relay; its callers connect at the address. */
std::unique_ptr<harness::ChildProcess>
startRelay(const std::string& aProgram,
           const std::string& aFolder,
           const Address& aStore,
           const Address& aCallers)
{
  const std::string settings = aFolder + "/relay.toml";
  std::ofstream{ settings }
    << "[process]\nname = \"relay\"\nzone = \"a\"\n"
    << "region = \"r\"\n[listen]\ncallers = \"" << toText(aCallers)
    << "\"\nhealth = \"" << toText(harness::deadAddress()) << "\"\npeers = \""
    << toText(harness::deadAddress()) << "\"\n[store]\naddress = \""
    << toText(aStore) << "\"\n[limits]\nmemory_mb = " << kMemoryMb << "\n";
  auto started =
    harness::ChildProcess::start({ aProgram, "relay", "--settings", settings },
                                 aFolder + "/out",
                                 aFolder + "/err");
  return started ? std::move(started).value() : nullptr;
}

/** Kills the process when it takes more than its memory, until aStop. Returns
 * the most that it took, in MB. */
std::size_t
watchMemory(harness::ChildProcess& aRelay, const std::atomic<bool>& aStop)
{
  constexpr std::size_t kKbPerMb = 1'024;
  std::size_t most = 0;
  while (!aStop && most <= kMemoryMb) {
    most = std::max(most, statusKb(aRelay.processId(), "VmHWM") / kKbPerMb);
    std::this_thread::sleep_for(milliseconds{ 5 });
  }
  if (most > kMemoryMb) {
    aRelay.signal(SIGKILL);
  }
  return most;
}

/** Waits until the relay serves a stream. */
bool
awaitService(const Address& aRelay)
{
  constexpr int kTries = 200;
  for (int i = 0; i < kTries; ++i) {
    Seen seen;
    requestStreams(aRelay, -1 - i, 1, seen);
    if (seen.whole > 0) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds{ 50 });
  }
  return false;
}

void
play(const std::string& aProgram, const Form& aForm)
{
  const std::string folder =
    std::filesystem::temp_directory_path() /
    ("endless-" + std::to_string(runtimeNow().time_since_epoch().count()));
  std::filesystem::create_directories(folder);
  standins::UsersStoreStandin store;
  store.faults.longPolls = true;
  std::vector<std::unique_ptr<Replica>> replicas;
  replicas.reserve(kReplicas);
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(aForm, i < kFaultyReplicas));
  }
  pushFleet(store, replicas);
  const Address callers = harness::deadAddress();
  const auto relay = startRelay(aProgram, folder, store.address(), callers);
  if (!relay || !awaitService(callers)) {
    std::printf("%-16s the relay does not serve\n", aForm.name);
    return;
  }
  Seen seen;
  std::atomic<bool> stop{ false };
  std::size_t most = 0;
  std::thread watch{ [&] { most = watchMemory(*relay, stop); } };
  std::vector<std::thread> threads;
  threads.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    threads.emplace_back(
      [&, i] { requestStreams(callers, i, kStreamsEach, seen); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  stop = true;
  watch.join();
  std::size_t bytes = 0;
  int answers = 0;
  for (const auto& replica : replicas) {
    bytes += replica->endlessBytes();
    answers += replica->endlessAnswers();
  }
  std::sort(seen.seconds.begin(), seen.seconds.end());
  const auto at = [&seen](double aPart) {
    return seen.seconds.empty()
             ? 0.0
             : seen.seconds[static_cast<std::size_t>(
                 aPart * static_cast<double>(seen.seconds.size() - 1))];
  };
  constexpr double kBytesPerMb = 1e6;
  std::printf("%-16s %4d of %d %8.2f %8.2f %8zu%s %8d %10.1f\n",
              aForm.name,
              seen.whole,
              kCallers * kStreamsEach,
              at(0.5),
              at(0.95),
              most,
              most > kMemoryMb ? " (killed)" : "",
              answers,
              static_cast<double>(bytes) / kBytesPerMb);
  std::fflush(stdout);
  relay->signal(SIGKILL);
  std::filesystem::remove_all(folder);
}

} // namespace

int
main(int argc, char** argv)
{
  if (argc < 2) {
    std::fprintf(stderr, "usage: endless_answers PROGRAM [FORM]\n");
    return 2;
  }
  std::printf("%-16s %11s %8s %8s %8s %8s %10s\n",
              "form",
              "whole",
              "p50, s",
              "p95, s",
              "MB",
              "endless",
              "MB taken");
  for (const Form& form : allForms()) {
    if (argc < 3 || form.name == std::string{ argv[2] }) {
      play(argv[1], form);
    }
  }
  return 0;
}
