#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"

namespace poplartrack {

/**
 * Status messages that this relay has been asked to forward within its zone,
 * until its own next message carries them: the latest one of each sender. Each
 * message has two forwarders. The one that sends later sees that the other has
 * forwarded it and drops it; both send it only if they do so at the same time,
 * or if the message of the first is lost on its way to the second. Pure; not
 * thread-safe.
 *
 * @tparam Status has the fields incarnation and sentAt
 */
template<typename Status>
class ForwardQueue
{
public:
  struct Entry
  {
    Address sender;
    TimePoint receivedAt;
    Status status;
  };

  /** Queues a message. It replaces an older one of its sender. */
  void push(const Address& aSender, Status aStatus, TimePoint aNow)
  {
    const auto found = this->waiting.find(aSender);
    const bool outdated =
      found != this->waiting.end() &&
      found->second.status.incarnation == aStatus.incarnation &&
      found->second.status.sentAt >= aStatus.sentAt;
    if (!outdated) {
      this->waiting.insert_or_assign(
        aSender, Entry{ aSender, aNow, std::move(aStatus) });
    }
  }

  /** Another forwarder has sent this message, so all relays of the zone have it
   * or a newer one. */
  void onForwarded(const Address& aSender, const Status& aStatus)
  {
    const auto found = this->waiting.find(aSender);
    if (found != this->waiting.end() &&
        found->second.status.incarnation == aStatus.incarnation &&
        found->second.status.sentAt <= aStatus.sentAt) {
      this->waiting.erase(found);
    }
  }

  /** Removes and returns all messages. */
  std::vector<Entry> take()
  {
    std::vector<Entry> taken;
    taken.reserve(this->waiting.size());
    for (auto& [sender, entry] : this->waiting) {
      taken.push_back(std::move(entry));
    }
    this->waiting.clear();
    return taken;
  }

  [[nodiscard]] std::size_t size() const { return this->waiting.size(); }

private:
  std::map<Address, Entry> waiting;
};

} // namespace poplartrack
