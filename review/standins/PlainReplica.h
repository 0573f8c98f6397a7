#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <list>
#include <mutex>
#include <string>
#include <thread>

#include "RawConnection.h"
#include "Record.h"
#include "poplartrack/base/Address.h"
#include "poplartrack/base/OwnedFd.h"

namespace poplartrack::review {

/** How a replica works. */
struct PlainReplicaSettings
{
  std::string id;
  std::string service;
  std::chrono::milliseconds work{ 60 };
  std::size_t slots = 6;
  std::size_t queue = 24;
  std::size_t maxConnections = 110;
  /** Speed at which it reads the body of a request, on each connection. */
  ReadPace readPace;
  /** It answers with streams of events: "/.../N" asks for N of them. */
  bool streams = false;
  /** Each such stream stops in the middle of an event, halfway, and the
   * response ends there; 0: none. */
  int stopEvery = 0;
};

/** Returns event aNumber of a stream of aCount. */
std::string
eventText(std::size_t aNumber, std::size_t aCount);

/**
 * A replica of a plain service, as the platform's pages describe it: it reads
 * the whole request, takes a slot or a place in the queue or rejects the
 * request, works, and answers. A path "/.../N" asks for a body of N bytes.
 */
class PlainReplica
{
public:
  PlainReplica(PlainReplicaSettings aSettings, Record& aRecord);
  PlainReplica(const PlainReplica&) = delete;
  PlainReplica& operator=(const PlainReplica&) = delete;
  ~PlainReplica();

  [[nodiscard]] const PlainReplicaSettings& spec() const
  {
    return this->settings;
  }
  [[nodiscard]] const Address& address() const { return this->local; }

private:
  void acceptLoop();
  void serve(RawConnection aConnection);
  /** Answers one request; false when the connection is over. */
  bool serveOne(RawConnection& aConnection);
  /** Works on a request and sends the answer. */
  bool answerWhole(RawConnection& aConnection,
                   const std::string& aHead,
                   const std::string& aRequest);
  /** The same for a stream of events. Goes on after the Last-Event-Id of the
   * request. */
  bool answerStream(RawConnection& aConnection,
                    const std::string& aHead,
                    const std::string& aRequest);
  /** Waits for a slot; false if the queue is full, or the time is up. */
  bool takeSlot(SteadyTime aUntil);
  void returnSlot();

  PlainReplicaSettings settings;
  Record& record;
  Address local;
  OwnedFd listener;
  std::atomic<bool> stopping{ false };
  std::atomic<std::size_t> open{ 0 };
  std::atomic<int> streamsBegun{ 0 };

  std::mutex guard;
  std::condition_variable slotFree;
  std::size_t running = 0;
  std::size_t waiting = 0;

  std::list<std::thread> serving;
  std::thread accepting;
};

} // namespace poplartrack::review
