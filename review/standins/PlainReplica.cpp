#include "PlainReplica.h"

#include <array>
#include <charconv>
#include <cstdlib>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include "../../platform/WireNames.h"
#include "poplartrack/base/TcpSocket.h"

namespace poplartrack::review {
namespace {

constexpr std::chrono::seconds kIdleTimeout{ 4 };
/** A replica cuts off an answer that stays unread for this long. */
constexpr std::chrono::seconds kUnreadTimeout{ 5 };
constexpr std::chrono::milliseconds kRequestTimeout{ 30'000 };
constexpr std::chrono::milliseconds kEventInterval{ 10 };

std::size_t
numberIn(std::string_view aText)
{
  std::size_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

/** Returns the number after the last slash of the target of a request. */
std::size_t
countIn(std::string_view aHead)
{
  const std::size_t begin = aHead.find(' ') + 1;
  const std::string_view target =
    aHead.substr(begin, aHead.find(' ', begin) - begin);
  return numberIn(target.substr(target.rfind('/') + 1));
}

std::string
answerHead(const std::string& aStatus,
           const std::string& aRequest,
           const std::string& aField,
           std::size_t aSize)
{
  return "HTTP/1.1 " + aStatus + "\r\n" +
         std::string{ wire_names::kRequestId } + ": " + aRequest + "\r\n" +
         aField +
         "\r\nKeep-Alive: timeout=" + std::to_string(kIdleTimeout.count()) +
         "\r\nContent-Length: " + std::to_string(aSize) + "\r\n\r\n";
}

std::string
stampField(const std::string& aRequest)
{
  return std::string{ wire_names::kStamp } + ": stamp-" + aRequest;
}

/** Returns the time that a request leaves the replica. */
std::chrono::milliseconds
deadlineOf(std::string_view aHead)
{
  const std::string text = fieldOf(aHead, wire_names::kDeadline);
  return text.empty() ? kRequestTimeout
                      : std::chrono::milliseconds{ numberIn(text) };
}

/** Formats a chunk of a body; an empty one is the last. */
std::string
chunkOf(const std::string& aBytes)
{
  constexpr int kHexadecimal = 16;
  std::array<char, 2 * sizeof(std::size_t)> size{};
  const auto end =
    std::to_chars(
      size.data(), size.data() + size.size(), aBytes.size(), kHexadecimal)
      .ptr;
  return std::string(size.data(), end) + "\r\n" + aBytes + "\r\n";
}

/** Opens a listener whose connections have small buffers. */
OwnedFd
openListener()
{
  OwnedFd fd{ ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
  limitBuffers(fd.get(), kReceiveBufferBytes);
  const auto address = toSocketAddress(Address{ "127.0.0.1", 0 });
  if (!address ||
      ::bind(fd.get(),
             reinterpret_cast<const sockaddr*>(&*address),
             sizeof *address) != 0 ||
      ::listen(fd.get(), SOMAXCONN) != 0) {
    std::abort();
  }
  return fd;
}

} // namespace

std::string
eventText(std::size_t aNumber, std::size_t aCount)
{
  return "id: " + std::to_string(aNumber) + "\ndata: piece " +
         std::to_string(aNumber) + " of " + std::to_string(aCount) + "\n\n";
}

PlainReplica::PlainReplica(PlainReplicaSettings aSettings, Record& aRecord)
  : settings(std::move(aSettings))
  , record(aRecord)
  , listener(openListener())
{
  this->local = localAddress(this->listener.get()).value();
  this->accepting = std::thread{ [this] { this->acceptLoop(); } };
}

PlainReplica::~PlainReplica()
{
  this->stopping = true;
  this->accepting.join();
  for (std::thread& thread : this->serving) {
    thread.join();
  }
}

void
PlainReplica::acceptLoop()
{
  constexpr int kPollMs = 50;
  while (!this->stopping) {
    pollfd entry{ this->listener.get(), POLLIN, 0 };
    if (::poll(&entry, 1, kPollMs) <= 0) {
      continue;
    }
    OwnedFd fd{ ::accept4(
      this->listener.get(), nullptr, nullptr, SOCK_CLOEXEC) };
    if (!fd.valid()) {
      continue;
    }
    setNoDelay(fd.get());
    RawConnection connection{ std::move(fd) };
    if (this->open >= this->settings.maxConnections) {
      connection.reset();
      continue;
    }
    ++this->open;
    this->serving.emplace_back([this, taken = std::move(connection)]() mutable {
      this->serve(std::move(taken));
      --this->open;
    });
  }
}

void
PlainReplica::serve(RawConnection aConnection)
{
  while (!this->stopping && this->serveOne(aConnection)) {
  }
}

bool
PlainReplica::serveOne(RawConnection& aConnection)
{
  const auto now = [] { return std::chrono::steady_clock::now(); };
  std::string head;
  if (aConnection.readHead(head, now() + kIdleTimeout) != ReadEnd::Data) {
    return false;
  }
  const std::string request = fieldOf(head, wire_names::kRequestId);
  const std::size_t size = numberIn(fieldOf(head, "Content-Length"));
  std::size_t read = 0;
  const ReadEnd body = aConnection.readBody(
    size, this->settings.readPace, now() + kRequestTimeout, read);
  if (body != ReadEnd::Data) {
    this->record.write("replica " + this->settings.id + " got " +
                       std::to_string(read) + " of " + std::to_string(size) +
                       " bytes of " + request + ": " +
                       std::string{ nameOf(body) });
    return false;
  }
  const std::string notRun = std::string{ wire_names::kNotRun } + ": true";
  const std::string expected = fieldOf(head, wire_names::kExpectReplica);
  if (!expected.empty() && expected != this->settings.id) {
    return aConnection.send(
      answerHead("421 Misdirected Request", request, notRun, 0),
      now() + kUnreadTimeout);
  }
  if (!this->takeSlot(now() + deadlineOf(head))) {
    return aConnection.send(
      answerHead("503 Service Unavailable", request, notRun, 0),
      now() + kUnreadTimeout);
  }
  if (head.starts_with("GET /health ")) {
    this->returnSlot();
    return aConnection.send(
      answerHead(
        "200 OK", request, "Poplartrack-Replica-Id: " + this->settings.id, 0),
      now() + kUnreadTimeout);
  }
  this->record.onRun(this->settings.id, request);
  const bool sent = this->settings.streams
                      ? this->answerStream(aConnection, head, request)
                      : this->answerWhole(aConnection, head, request);
  this->returnSlot();
  return sent;
}

bool
PlainReplica::answerWhole(RawConnection& aConnection,
                          const std::string& aHead,
                          const std::string& aRequest)
{
  std::this_thread::sleep_for(this->settings.work);
  const std::size_t size = countIn(aHead);
  const std::string answer =
    answerHead("200 OK", aRequest, stampField(aRequest), size) +
    std::string(size, 'a');
  return aConnection.send(answer,
                          std::chrono::steady_clock::now() + kUnreadTimeout);
}

bool
PlainReplica::answerStream(RawConnection& aConnection,
                           const std::string& aHead,
                           const std::string& aRequest)
{
  const auto send = [&aConnection](const std::string& aBytes) {
    return aConnection.send(aBytes,
                            std::chrono::steady_clock::now() + kUnreadTimeout);
  };
  const std::size_t count = countIn(aHead);
  const std::size_t after = numberIn(fieldOf(aHead, wire_names::kLastEventId));
  const int run = ++this->streamsBegun;
  const bool stops =
    this->settings.stopEvery > 0 && run % this->settings.stopEvery == 0;
  bool connected =
    send("HTTP/1.1 200 OK\r\n" + std::string{ wire_names::kRequestId } + ": " +
         aRequest + "\r\n" + stampField(aRequest) +
         "\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n");
  for (std::size_t number = after + 1; number <= count && connected; ++number) {
    std::this_thread::sleep_for(kEventInterval);
    const std::string event = eventText(number, count);
    if (stops && number > count / 2) {
      this->record.write("replica " + this->settings.id + " stops in event " +
                         std::to_string(number) + " of " + aRequest);
      connected = send(chunkOf(event.substr(0, event.size() / 2)));
      break;
    }
    connected = send(chunkOf(event));
  }
  return connected && send(chunkOf(""));
}

bool
PlainReplica::takeSlot(SteadyTime aUntil)
{
  std::unique_lock lock{ this->guard };
  if (this->running == this->settings.slots &&
      this->waiting == this->settings.queue) {
    return false;
  }
  ++this->waiting;
  const bool inTime = this->slotFree.wait_until(
    lock, aUntil, [this] { return this->running < this->settings.slots; });
  --this->waiting;
  if (!inTime) {
    return false;
  }
  ++this->running;
  return true;
}

void
PlainReplica::returnSlot()
{
  {
    const std::scoped_lock lock{ this->guard };
    --this->running;
  }
  this->slotFree.notify_one();
}

} // namespace poplartrack::review
