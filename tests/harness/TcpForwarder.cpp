#include "TcpForwarder.h"

#include <sys/eventfd.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <utility>

#include <glog/logging.h>

#include "poplartrack/base/TcpSocket.h"

namespace poplartrack::harness {

TcpForwarder::TcpForwarder(const Address& aTarget)
  : target(aTarget)
  , event(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
  PCHECK(this->event.valid());
  Result<OwnedFd> listening = listenTcp(Address{ "127.0.0.1", 0 });
  CHECK(listening.ok()) << describe(listening.error());
  this->listener = std::move(listening).value();
  this->local = localAddress(this->listener.get()).value();
  this->thread = std::thread{ [this] { this->run(); } };
}

TcpForwarder::~TcpForwarder()
{
  {
    const std::scoped_lock lock{ this->mutex };
    this->stopping = true;
  }
  const std::uint64_t one = 1;
  PCHECK(::write(this->event.get(), &one, sizeof one) == sizeof one);
  this->thread.join();
}

void
TcpForwarder::cut()
{
  this->change([](ForwardRules& aRules) { aRules.cut = true; });
}

void
TcpForwarder::freeze()
{
  this->change([](ForwardRules& aRules) { aRules.frozen = true; });
}

void
TcpForwarder::heal()
{
  this->change([](ForwardRules& aRules) {
    aRules.cut = false;
    aRules.frozen = false;
  });
}

void
TcpForwarder::delay(Duration aDelay)
{
  this->change([aDelay](ForwardRules& aRules) { aRules.delay = aDelay; });
}

void
TcpForwarder::limit(std::size_t aBytesPerSecond)
{
  this->change([aBytesPerSecond](ForwardRules& aRules) {
    aRules.bytesPerSecond = aBytesPerSecond;
  });
}

void
TcpForwarder::cutAnswers(std::size_t aBytes)
{
  this->change([aBytes](ForwardRules& aRules) { aRules.answerBytes = aBytes; });
}

void
TcpForwarder::change(const std::function<void(ForwardRules&)>& aChange)
{
  std::unique_lock lock{ this->mutex };
  aChange(this->wanted);
  const std::uint64_t version = ++this->wantedVersion;
  const std::uint64_t one = 1;
  PCHECK(::write(this->event.get(), &one, sizeof one) == sizeof one);
  this->applied.wait(lock, [&] { return this->appliedVersion >= version; });
}

void
TcpForwarder::run()
{
  while (this->takeRules()) {
    this->acceptAll();
    if (!this->rules.frozen) {
      this->moveBytes();
    }
    this->waitForWork();
  }
  for (const auto& connection : this->connections) {
    connection->reset();
  }
}

/** Puts the newest rules in force. False when the forwarder is to end. */
bool
TcpForwarder::takeRules()
{
  const std::scoped_lock lock{ this->mutex };
  this->rules = this->wanted;
  if (this->rules.cut) {
    for (const auto& connection : this->connections) {
      connection->reset();
    }
    this->connections.clear();
  }
  this->appliedVersion = this->wantedVersion;
  this->applied.notify_all();
  return !this->stopping;
}

void
TcpForwarder::acceptAll()
{
  if (this->rules.frozen) {
    return;
  }
  while (true) {
    OwnedFd client{ ::accept4(
      this->listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC) };
    if (!client.valid()) {
      return;
    }
    this->admit(std::move(client));
  }
}

void
TcpForwarder::admit(OwnedFd aClient)
{
  if (this->rules.cut) {
    resetAndClose(aClient);
    return;
  }
  setNoDelay(aClient.get());
  Result<OwnedFd> onward = connectTcp(this->target);
  CHECK(onward.ok()) << describe(onward.error());
  this->connections.push_back(std::make_unique<ForwardedConnection>(
    std::move(aClient), std::move(onward).value()));
}

void
TcpForwarder::moveBytes()
{
  const TimePoint now = SystemClock{}.now();
  std::erase_if(this->connections, [&](const auto& aConnection) {
    if (aConnection->move(this->rules, now)) {
      return false;
    }
    aConnection->reset();
    return true;
  });
}

void
TcpForwarder::waitForWork()
{
  const TimePoint now = SystemClock{}.now();
  std::vector<pollfd> polls{ pollfd{ this->event.get(), POLLIN, 0 } };
  std::optional<TimePoint> until;
  if (!this->rules.frozen) {
    polls.push_back(pollfd{ this->listener.get(), POLLIN, 0 });
    for (const auto& connection : this->connections) {
      connection->addPolls(polls, now);
      const std::optional<TimePoint> due = connection->nextDue();
      if (due && *due > now && (!until || *due < *until)) {
        until = due;
      }
    }
  }
  timespec wait{};
  if (until) {
    constexpr std::int64_t kMicrosPerSecond = 1'000'000;
    constexpr std::int64_t kNanosPerMicro = 1'000;
    const std::int64_t micros = (*until - now).count();
    wait.tv_sec = micros / kMicrosPerSecond;
    wait.tv_nsec = micros % kMicrosPerSecond * kNanosPerMicro;
  }
  ::ppoll(polls.data(), polls.size(), until ? &wait : nullptr, nullptr);
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t got =
    ::read(this->event.get(), &count, sizeof count);
}

} // namespace poplartrack::harness
