#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <poll.h>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/OwnedFd.h"

namespace poplartrack::harness {

/** How a TcpForwarder treats its connections at present. */
struct ForwardRules
{
  bool cut = false;
  bool frozen = false;
  Duration delay{ 0 };
  std::size_t bytesPerSecond = 0;
  /** Bytes that pass of the answer to each request that comes from now on; 0:
   * no limit. */
  std::size_t answerBytes = 0;
};

/** Closes a socket so that its peer sees a reset. */
void
resetAndClose(OwnedFd& aFd);

/** The bytes on their way in one direction. */
class ForwardedBytes
{
public:
  /** Reads what the source has. False when it was reset. */
  bool readFrom(int aFd, const ForwardRules& aRules, TimePoint aNow);
  /** Writes what is due. False when the sink was reset. */
  bool writeTo(int aFd, TimePoint aNow);

  /** Lets this many further bytes pass, and then the end. */
  void endAfter(std::size_t aBytes) { this->left = aBytes; }

  [[nodiscard]] bool wantsRead() const;
  /** How many bytes have been read. */
  [[nodiscard]] std::size_t total() const { return this->readBytes; }
  /** When the next bytes are due; nothing when there are none. */
  [[nodiscard]] std::optional<TimePoint> nextDue() const;
  [[nodiscard]] bool finished() const { return this->closed; }

private:
  struct Piece
  {
    TimePoint due;
    std::string bytes;
  };

  void push(std::string aBytes, const ForwardRules& aRules, TimePoint aNow);

  void endNow(const ForwardRules& aRules, TimePoint aNow);

  std::deque<Piece> pieces;
  std::size_t held = 0;
  std::size_t readBytes = 0;
  std::optional<std::size_t> left;
  TimePoint freeAt{};
  bool ended = false;
  bool closed = false;
};

/** A client's connection and the one to the target. */
class ForwardedConnection
{
public:
  ForwardedConnection(OwnedFd aClient, OwnedFd aTarget)
    : client(std::move(aClient))
    , target(std::move(aTarget))
  {
  }

  /** Moves what is due. False when the connection is over. */
  bool move(const ForwardRules& aRules, TimePoint aNow);
  /** Closes both sides so that the peers see a reset. */
  void reset();
  /** Adds what the connection waits for to a poll() list. */
  void addPolls(std::vector<pollfd>& aPolls, TimePoint aNow) const;
  [[nodiscard]] std::optional<TimePoint> nextDue() const;

private:
  OwnedFd client;
  OwnedFd target;
  bool connected = false;
  ForwardedBytes up;
  ForwardedBytes down;
};

} // namespace poplartrack::harness
