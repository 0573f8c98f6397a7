#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "AcceptLoop.h"

namespace poplartrack::relaytest {

/** A replica that answers each request from its head and closes the connection.
 * It keeps the heads. */
class AnsweringReplica
{
public:
  /** Returns the bytes of the answer to a request with this head. */
  using Answer = std::function<std::string(const std::string& aHead)>;

  explicit AnsweringReplica(Answer aAnswer)
  {
    this->loop.start(
      [this, answer = std::move(aAnswer)](harness::RawSocket& aConnection) {
        const std::string head = aConnection.readUntil("\r\n\r\n");
        {
          const std::scoped_lock lock{ this->guard };
          this->received.push_back(head);
        }
        aConnection.send(answer(head));
      });
  }

  [[nodiscard]] Address address() const { return this->loop.address(); }
  /** Returns the heads of the requests received so far. */
  [[nodiscard]] std::vector<std::string> heads() const
  {
    const std::scoped_lock lock{ this->guard };
    return this->received;
  }

private:
  mutable std::mutex guard;
  std::vector<std::string> received;
  // Declared last, since its thread uses the members above.
  AcceptLoop loop;
};

} // namespace poplartrack::relaytest
