#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "ForwardedConnection.h"
#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/base/OwnedFd.h"

namespace poplartrack::harness {

/**
 * A TCP link that a test can break: listens on a loopback port and forwards
 * each connection to a target. Every change is in force when its call returns:
 * no byte that the forwarder had not passed on by then is under the old rule.
 * Failures of the forwarder itself end the test program.
 */
class TcpForwarder
{
public:
  explicit TcpForwarder(const Address& aTarget);
  TcpForwarder(const TcpForwarder&) = delete;
  TcpForwarder& operator=(const TcpForwarder&) = delete;
  /** Resets all connections. */
  ~TcpForwarder();

  /** Where to connect instead of the target. */
  [[nodiscard]] Address address() const { return this->local; }

  /** Resets all connections, and each new one at once. */
  void cut();
  /** Passes nothing on and closes nothing, as a path that drops every packet
   * or a peer that is stopped. New connections are left waiting. */
  void freeze();
  /** Ends cut and freeze: held bytes go on. */
  void heal();
  /** Each byte read from now on arrives this much later (one way). */
  void delay(Duration aDelay);
  /** Bytes a second that pass in each direction of each connection; 0 for no
   * limit. */
  void limit(std::size_t aBytesPerSecond);
  /** Passes so many bytes of the answer to each request that comes from now on,
   * and then closes its connection, as a peer that stops within the head of its
   * answer. 0: no longer. */
  void cutAnswers(std::size_t aBytes);

private:
  void change(const std::function<void(ForwardRules&)>& aChange);
  void run();
  bool takeRules();
  void waitForWork();
  void acceptAll();
  void admit(OwnedFd aClient);
  void moveBytes();

  Address target;
  Address local;
  OwnedFd listener;
  OwnedFd event;
  std::mutex mutex;
  std::condition_variable applied;
  ForwardRules wanted;
  std::uint64_t wantedVersion = 0;
  std::uint64_t appliedVersion = 0;
  bool stopping = false;
  // All below belongs to the forwarder's thread.
  ForwardRules rules;
  std::vector<std::unique_ptr<ForwardedConnection>> connections;
  std::thread thread;
};

} // namespace poplartrack::harness
