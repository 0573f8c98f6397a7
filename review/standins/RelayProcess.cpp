#include "RelayProcess.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../../platform/WireNames.h"
#include "RawConnection.h"
#include "poplartrack/base/TcpSocket.h"

namespace poplartrack::review {
namespace {

constexpr std::chrono::milliseconds kWatchInterval{ 20 };
constexpr std::chrono::milliseconds kRestartDelay{ 500 };
/** GraceS of the small deployments. */
constexpr std::chrono::seconds kGrace{ 8 };
constexpr std::chrono::seconds kStartTimeout{ 15 };
constexpr mode_t kFileMode = 0600;

/** Ports below those that the kernel gives to outgoing connections: while the
 * relay is down, no connection of a caller may take its port. */
constexpr int kFirstPort = 12'000;
constexpr int kPorts = 18'000;

/** Returns a loopback address on which nobody listens. */
Address
freeAddress()
{
  // Cases that run side by side begin at different ports.
  constexpr int kPortsEach = 50;
  static int next = ::getpid() * kPortsEach % kPorts;
  while (true) {
    next = (next + 1) % kPorts;
    Address address{ "127.0.0.1",
                     static_cast<std::uint16_t>(kFirstPort + next) };
    if (listenTcp(address).ok()) {
      return address;
    }
  }
}

/** Fills in the template as the platform does, as far as it uses it: values,
 * and sections that are rendered because their value is there. */
std::string
fillIn(const std::string& aTemplate,
       const std::map<std::string, std::string>& aValues)
{
  std::istringstream lines{ aTemplate };
  std::string text;
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with("{{#") || line.starts_with("{{/")) {
      continue;
    }
    for (const auto& [name, value] : aValues) {
      const std::string placeholder = "{{" + name + "}}";
      for (std::size_t at = line.find(placeholder); at != std::string::npos;
           at = line.find(placeholder)) {
        line.replace(at, placeholder.size(), value);
      }
    }
    text += line + "\n";
  }
  return text;
}

std::string
contentOf(const std::string& aPath)
{
  std::ifstream stream{ aPath };
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

void
redirect(const std::string& aPath, int aDescriptor)
{
  const int file =
    ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (file >= 0) {
    ::dup2(file, aDescriptor);
  }
}

} // namespace

RelayProcess::RelayProcess(RelayProcessSettings aSettings, Record& aRecord)
  : settings(std::move(aSettings))
  , record(aRecord)
  , callersAt(freeAddress())
  , healthAt(freeAddress())
  , settingsPath(this->settings.folder + "/settings.toml")
{
  this->writeSettings();
  this->watcher = std::thread{ [this] { this->watch(); } };
}

RelayProcess::~RelayProcess()
{
  this->ending = true;
  this->signal(SIGKILL);
  this->watcher.join();
}

/** Sends a signal to the process, if there is one. */
void
RelayProcess::signal(int aSignal)
{
  if (const pid_t process = this->id; process > 0) {
    ::kill(process, aSignal);
  }
}

/** Writes the settings of an edge machine of a small deployment. */
void
RelayProcess::writeSettings()
{
  const Address peers = freeAddress();
  std::ofstream{ this->settingsPath }
    << fillIn(contentOf(this->settings.settingsTemplate),
              { { "NodeName", "edge-a-1" },
                { "Zone", "a" },
                { "Region", "r" },
                { "Ip", peers.host },
                { "PortRange.0", std::to_string(peers.port) },
                { "Listen.Front", toText(this->callersAt) },
                { "Listen.Ready", toText(this->healthAt) },
                { "Platform.Address", toText(this->settings.store) },
                { "Limits.MaxFds", "4100" },
                { "Limits.LinkMbps", "1000.0" },
                { "Bounds.DrainMs", "2000" },
                { "Bounds.GraceS", std::to_string(kGrace.count()) },
                { "Bounds.RevokeMs", "5000" },
                { "Bounds.ConfigDeadlineMs", "2000" },
                { "Bounds.StrictRevoke", "true" },
                { "Bounds.BudgetRatio", "0.2" },
                { "Bounds.BudgetWindowS", "10" },
                { "Bounds.BudgetSlack", "202" },
                { "Bounds.stall_ms", "2500" },
                { "HeartbeatMs", "1200" } });
}

void
RelayProcess::startProcess()
{
  const std::string output = this->settings.folder + "/relay.out";
  const pid_t process = ::fork();
  if (process < 0) {
    std::abort();
  }
  if (process == 0) {
    // Not left behind if this program is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    redirect(output, STDOUT_FILENO);
    redirect(output, STDERR_FILENO);
    ::execl(this->settings.program.c_str(),
            this->settings.program.c_str(),
            "relay",
            "--settings",
            this->settingsPath.c_str(),
            nullptr);
    constexpr int kNotFound = 127;
    ::_exit(kNotFound);
  }
  this->startedAt = std::chrono::steady_clock::now();
  this->id = process;
  this->record.write("relay starts, process " + std::to_string(process));
}

std::size_t
RelayProcess::residentMb() const
{
  std::ifstream stream{ "/proc/" + std::to_string(this->id.load()) + "/statm" };
  std::size_t all = 0;
  std::size_t resident = 0;
  std::size_t shared = 0;
  stream >> all >> resident >> shared;
  constexpr std::size_t kBytesPerMb = 1'048'576;
  return (resident - shared) *
         static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) / kBytesPerMb;
}

void
RelayProcess::watch()
{
  this->startProcess();
  while (true) {
    int status = 0;
    if (::waitpid(this->id, &status, WNOHANG) == this->id) {
      this->id = 0;
      this->record.write("relay has ended, status " + std::to_string(status));
      if (this->ending) {
        return;
      }
      std::this_thread::sleep_for(kRestartDelay);
      if (this->ending) {
        return;
      }
      this->startProcess();
    }
    const std::size_t memory = this->residentMb();
    this->highestMb = std::max(this->highestMb.load(), memory);
    if (memory > this->settings.memoryMb && this->killedProcess != this->id) {
      this->killedProcess = this->id;
      ++this->killedForMemory;
      this->record.write("relay has " + std::to_string(memory) + " MB of " +
                         std::to_string(this->settings.memoryMb) +
                         ": the platform kills it");
      this->signal(SIGKILL);
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
}

bool
RelayProcess::waitReady()
{
  const auto until = std::chrono::steady_clock::now() + kStartTimeout;
  const std::string question =
    "GET " + std::string{ wire_names::kReadyPath } +
    " HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n";
  while (std::chrono::steady_clock::now() < until) {
    constexpr std::chrono::milliseconds kPause{ 100 };
    std::this_thread::sleep_for(kPause);
    auto connection = RawConnection::connectTo(this->healthAt);
    std::string head;
    if (connection && connection->send(question, until) &&
        connection->readHead(head, until) == ReadEnd::Data &&
        head.starts_with("HTTP/1.1 200")) {
      return true;
    }
  }
  return false;
}

void
RelayProcess::stop()
{
  this->ending = true;
  const auto until = std::chrono::steady_clock::now() + kGrace;
  this->record.write("platform sends SIGTERM to the relay");
  this->signal(SIGTERM);
  while (this->id != 0) {
    if (std::chrono::steady_clock::now() >= until) {
      this->record.write("the grace time is over: SIGKILL");
      this->signal(SIGKILL);
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
}

} // namespace poplartrack::review
