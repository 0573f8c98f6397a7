#include "soak/SoakCaller.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cmath>
#include <cstdlib>
#include <utility>

#include "platform/WireNames.h"
#include "poplartrack/base/TcpSocket.h"
#include "soak/SoakClock.h"
#include "soak/SoakDesired.h"
#include "standins/lib/UsersReplica.h"

namespace poplartrack::soak {
namespace {

/** How long a caller waits for the whole answer. */
constexpr std::int64_t kPatienceMs = 6'000;
constexpr int kConnectMs = 1'000;

constexpr std::string_view kHeadEnd = "\r\n\r\n";

std::string
pathOf(RequestKind aKind)
{
  switch (aKind) {
    case RequestKind::Once:
      return "/once/x";
    case RequestKind::Again:
      return "/again/x";
    case RequestKind::Stream:
      return "/stream/x";
  }
  std::abort();
}

/** The body of a chunked answer; whole when its last chunk has come. */
std::pair<std::string, bool>
unchunked(std::string_view aText)
{
  std::string body;
  while (true) {
    const std::size_t line = aText.find("\r\n");
    if (line == std::string_view::npos) {
      return { body, false };
    }
    const std::size_t size =
      std::strtoul(std::string{ aText.substr(0, line) }.c_str(), nullptr, 16);
    if (size == 0) {
      return { body, aText.size() >= line + 4 };
    }
    if (aText.size() < line + 2 + size) {
      body.append(aText.substr(line + 2));
      return { body, false };
    }
    body.append(aText.substr(line + 2, size));
    aText.remove_prefix(std::min(aText.size(), line + 2 + size + 2));
  }
}

/** What is wrong with what came of a stream; empty: nothing. */
std::string
streamFault(const std::string& aId, const std::string& aBody, bool aWhole)
{
  std::string expected;
  const int count = standins::usersEventCount(aId);
  for (int i = 1; i <= count; ++i) {
    expected += standins::usersEvent(aId, i);
  }
  if (aWhole) {
    return aBody == expected ? "" : "a stream that is called whole is not";
  }
  return expected.starts_with(aBody) ? "" : "a broken stream has wrong bytes";
}

} // namespace

bool
SoakCaller::connect(const Address& aRelay)
{
  if (this->fd.valid() && this->connected == aRelay) {
    return true;
  }
  this->in.clear();
  Result<OwnedFd> made = connectTcp(aRelay);
  if (!made) {
    return false;
  }
  this->fd = std::move(made).value();
  this->connected = aRelay;
  pollfd entry{ this->fd.get(), POLLOUT, 0 };
  if (::poll(&entry, 1, kConnectMs) != 1 || connectError(this->fd.get()) != 0) {
    this->fd.reset();
    return false;
  }
  return true;
}

bool
SoakCaller::send(const std::string& aText)
{
  const ssize_t sent =
    ::send(this->fd.get(), aText.data(), aText.size(), MSG_NOSIGNAL);
  return sent == static_cast<ssize_t>(aText.size());
}

bool
SoakCaller::readMore()
{
  const std::int64_t left = this->giveUpAt - nowMillis();
  pollfd entry{ this->fd.get(), POLLIN, 0 };
  if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) != 1) {
    return false;
  }
  std::array<char, 4096> bytes{};
  const ssize_t got = ::recv(this->fd.get(), bytes.data(), bytes.size(), 0);
  if (got <= 0) {
    return false;
  }
  this->in.append(bytes.data(), static_cast<std::size_t>(got));
  return true;
}

bool
SoakCaller::chunked(std::size_t aHeadEnd) const
{
  return this->in.substr(0, aHeadEnd).find("chunked") != std::string::npos;
}

void
SoakCaller::readAnswer(const std::string& aId, CallRecord& aCall)
{
  while (this->in.find(kHeadEnd) == std::string::npos) {
    if (!this->readMore()) {
      return;
    }
  }
  constexpr std::size_t kStatusAt = 9;
  if (!this->in.starts_with("HTTP/1.1 ")) {
    aCall.wrong = "bytes that are no answer";
    return;
  }
  aCall.status = std::atoi(this->in.c_str() + kStatusAt);
  this->readBody(aId, aCall);
}

void
SoakCaller::readBody(const std::string& aId, CallRecord& aCall)
{
  const std::size_t head = this->in.find(kHeadEnd) + kHeadEnd.size();
  std::string body;
  bool whole = false;
  if (this->chunked(head)) {
    do {
      std::tie(body, whole) =
        unchunked(std::string_view{ this->in }.substr(head));
    } while (!whole && this->readMore());
  } else {
    const std::size_t at = this->in.find("ontent-Length: ");
    const std::size_t length =
      at < head ? std::strtoul(this->in.c_str() + at + 15, nullptr, 10) : 0;
    while (this->in.size() < head + length && this->readMore()) {
    }
    body = this->in.substr(head);
    whole = body.size() >= length;
    if (body.size() > length) {
      aCall.wrong = "bytes behind the answer";
    }
  }
  if (const std::size_t at = this->in.find("etry-After: "); at < head) {
    constexpr double kMsPerSecond = 1'000;
    const double seconds = std::strtod(this->in.c_str() + at + 12, nullptr);
    aCall.retryAfter =
      std::chrono::milliseconds{ std::llround(seconds * kMsPerSecond) };
  }
  this->complete = whole;
  constexpr int kOk = 200;
  aCall.whole = whole && aCall.status == kOk;
  if (aCall.status != kOk || !aCall.wrong.empty()) {
    return;
  }
  if (aCall.kind == RequestKind::Stream) {
    aCall.wrong = streamFault(aId, body, whole);
  } else if (whole && body != standins::usersAnswer(aId)) {
    aCall.wrong = "another answer than the replica's";
  }
}

CallRecord
SoakCaller::call(const Address& aRelay, const std::string& aKey)
{
  const auto kind = static_cast<RequestKind>(this->random() % 3);
  const std::string key = this->drawKey();
  if (!this->odd) {
    return this->call(aRelay, kind, aKey.empty() ? key : aKey);
  }
  return this->call(aRelay, kind, key, this->drawBodyBytes());
}

std::string
SoakCaller::drawKey()
{
  const bool second = this->random() % 4 == 0;
  if (this->odd && this->random() % 4 == 0) {
    return second ? "" : "nobodys-key";
  }
  return second ? "key-2" : "key-1";
}

std::size_t
SoakCaller::drawBodyBytes()
{
  constexpr std::array<std::size_t, 4> kSizes{
    2, kLoweredBody, kUsualBody, kRaisedBody
  };
  return kSizes.at(this->random() % kSizes.size());
}

CallRecord
SoakCaller::call(const Address& aRelay,
                 RequestKind aKind,
                 const std::string& aKey,
                 std::size_t aBodyBytes)
{
  const std::string id = this->name + "-" + std::to_string(++this->count);
  CallRecord call{ aKind, aKey, 0, false, {}, toText(aRelay), nowMillis() };
  if (!this->connect(aRelay)) {
    return call;
  }
  call.bodyBytes = aBodyBytes;
  call.alone = this->onlyOfAccount && !this->gaveUp;
  this->record.began(id, call);
  this->giveUpAt = nowMillis() + kPatienceMs;
  const std::string text =
    "POST " + pathOf(aKind) + " HTTP/1.1\r\nHost: soak.example\r\n" +
    std::string{ wire_names::kRequestId } + ": " + id + "\r\n" +
    (aKey.empty() ? "" : std::string{ wire_names::kApiKey } + ": " + aKey) +
    (aKey.empty() ? "" : "\r\n") + std::string{ wire_names::kDeadline } + ": " +
    std::to_string(kPatienceMs) + "\r\n" + std::string{ wire_names::kTokens } +
    ": 40,60\r\n" +
    (aKind == RequestKind::Stream ? std::string{ wire_names::kPromptParts } +
                                      ": " + this->parts + id + ":20\r\n"
                                  : std::string{}) +
    "Content-Length: " + std::to_string(aBodyBytes) + "\r\n\r\n" +
    std::string(aBodyBytes, 'x');
  this->complete = false;
  if (this->send(text)) {
    this->readAnswer(id, call);
  }
  call.endedAt = nowMillis();
  this->gaveUp = call.endedAt >= this->giveUpAt;
  const bool keep =
    this->complete && this->in.find("onnection: close") == std::string::npos;
  this->in.clear();
  // A connection is kept until the relay closes it, or an answer is missing.
  if (!keep) {
    this->fd.reset();
  }
  this->record.ended(id, call);
  return call;
}

} // namespace poplartrack::soak
