#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "poplartrack/fleet/StatusRepeat.h"
#include "poplartrack/fleet/StatusTargets.h"
#include "relay/PeerDatagram.h"

namespace poplartrack::relaytest {

/** How the status messages of a simulated fleet travel. */
struct SpreadOptions
{
  std::size_t relays = 100;
  std::size_t zones = 5;
  /** If not, each relay sends to each other one. */
  bool forwards = true;
  /** Part of the datagrams that is lost, and part that arrives twice. */
  double loss = 0;
  double duplicates = 0;
  /** Datagrams arrive within this time, in any order. */
  Duration maxDelay{ 0 };
  std::uint32_t seed = 1;
};

/** Status messages in a simulated fleet, on a clock of its own. */
class StatusSpread
{
public:
  /** Interval of a relay's messages within its zone. */
  static constexpr Duration kInterval = std::chrono::milliseconds{ 200 };
  static constexpr Duration kStep = std::chrono::milliseconds{ 20 };
  /** A relay forgets another one after this silence. */
  static constexpr Duration kPeerTimeout = std::chrono::seconds{ 2 };

  /** Datagrams and bytes that were sent. */
  struct Traffic
  {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t zoneMessages = 0;
    std::uint64_t zoneBytes = 0;
  };

  explicit StatusSpread(const SpreadOptions& aOptions)
    : options(aOptions)
    , random(aOptions.seed)
    , arriving(static_cast<std::size_t>(aOptions.maxDelay / kStep) + 2)
  {
    for (std::size_t i = 0; i < aOptions.relays; ++i) {
      Relay relay;
      relay.address = { "10.0.0.1", static_cast<std::uint16_t>(i + 1) };
      relay.zone = i % aOptions.zones;
      relay.status.incarnation = i + 1;
      relay.status.zone = std::to_string(relay.zone);
      relay.status.forwards = aOptions.forwards;
      relay.phase = i % static_cast<std::size_t>(kInterval / kStep);
      relay.known.resize(aOptions.relays);
      this->relays.push_back(std::move(relay));
    }
  }

  void run(Duration aTime)
  {
    for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
      this->step();
    }
  }

  /** Changes the status of a relay: it has served one more request. */
  void change(std::size_t aRelay)
  {
    Relay& relay = this->relays[aRelay];
    if (relay.status.retries.empty()) {
      relay.status.retries.push_back(RetryRow{ "model", 0, 0 });
    }
    ++relay.status.retries[0].requests;
  }
  /** A relay that is down neither sends nor receives. */
  void setDown(std::size_t aRelay, bool aDown)
  {
    this->relays[aRelay].down = aDown;
  }
  /** Nothing passes between a zone that is cut off and the others. */
  void setCut(std::size_t aZone, bool aCut) { this->cutZones[aZone] = aCut; }

  /** What a relay knows of another one's requests; 0 if it does not know it. */
  [[nodiscard]] std::uint32_t known(std::size_t aRelay,
                                    std::size_t aOther) const
  {
    return this->relays[aRelay].known[aOther].requests;
  }
  [[nodiscard]] std::uint32_t actual(std::size_t aRelay) const
  {
    const auto& retries = this->relays[aRelay].status.retries;
    return retries.empty() ? 0 : retries[0].requests;
  }
  /** Whether a relay counts another one as running. */
  [[nodiscard]] bool hears(std::size_t aRelay, std::size_t aOther) const
  {
    const Known& known = this->relays[aRelay].known[aOther];
    return known.echo.incarnation != 0 &&
           this->now - known.receivedAt <= kPeerTimeout;
  }

  Traffic traffic;

private:
  struct Known
  {
    PeerEcho echo;
    TimePoint receivedAt{};
    std::uint32_t requests = 0;
  };
  struct Relay
  {
    Address address;
    std::size_t zone = 0;
    bool down = false;
    PeerStatus status;
    std::size_t phase = 0;
    std::uint32_t runs = 0;
    std::vector<Known> known;
    StatusRepeat repeat;
    StatusQueue queue;
  };
  struct Message
  {
    std::size_t sender = 0;
    PeerStatus status;
    std::vector<ReceivedForward> rows;
    bool wanted = false;
  };
  using MessagePtr = std::shared_ptr<const Message>;
  struct Arrival
  {
    std::size_t receiver = 0;
    MessagePtr message;
  };

  [[nodiscard]] bool chance(double aProbability)
  {
    return aProbability > 0 && std::uniform_real_distribution<double>{}(
                                 this->random) < aProbability;
  }
  [[nodiscard]] std::size_t indexOf(const Address& aRelay) const
  {
    return aRelay.port - 1U;
  }
  [[nodiscard]] bool isCut(std::size_t aZone) const
  {
    const auto found = this->cutZones.find(aZone);
    return found != this->cutZones.end() && found->second;
  }

  void step()
  {
    this->now += kStep;
    ++this->steps;
    const std::vector<Arrival> due =
      std::exchange(this->arriving[this->steps % this->arriving.size()], {});
    for (const Arrival& arrival : due) {
      this->receive(arrival.receiver, *arrival.message);
    }
    const auto perInterval = static_cast<std::size_t>(kInterval / kStep);
    for (std::size_t i = 0; i < this->relays.size(); ++i) {
      if (!this->relays[i].down &&
          this->relays[i].phase == this->steps % perInterval) {
        this->broadcast(i);
      }
    }
  }

  void broadcast(std::size_t aRelay)
  {
    Relay& relay = this->relays[aRelay];
    relay.status.sentAt = this->now.time_since_epoch().count();
    msgpack::sbuffer packed;
    msgpack::pack(packed, relay.status);
    msgpack::pack(packed, PeerEcho{ 1, relay.status.sentAt });
    auto inZone = std::make_shared<Message>();
    inZone->sender = aRelay;
    inZone->status = relay.status;
    const std::string section = packForwarded(relay.queue, this->now);
    if (!section.empty()) {
      ForwardSection rows;
      msgpack::unpack(section.data(), section.size()).get().convert(rows);
      for (ForwardedStatus& row : rows.rows) {
        if (auto checked = checkForwarded(row, relay.status.zone)) {
          inZone->rows.push_back(std::move(*checked));
        }
      }
    }
    const MessagePtr shared = std::move(inZone);
    std::vector<RemoteRelay> others;
    for (std::size_t i = 0; i < this->relays.size(); ++i) {
      const Relay& other = this->relays[i];
      if (i != aRelay && other.zone == relay.zone) {
        this->send(aRelay, i, shared, packed.size() + section.size());
      } else if (i != aRelay) {
        const bool forwards = this->options.forwards && this->hears(aRelay, i);
        others.push_back({ other.address, other.status.zone, forwards });
      }
    }
    if (relay.runs++ % 2 == 0 && this->isDue(relay)) {
      this->sendToOtherZones(aRelay, others, packed.size());
    }
  }

  [[nodiscard]] bool isDue(Relay& aRelay)
  {
    PeerStatus content = aRelay.status;
    content.sentAt = 0;
    msgpack::sbuffer bytes;
    msgpack::pack(bytes, content);
    return aRelay.repeat.shouldSend({ bytes.data(), bytes.size() }, this->now);
  }

  void sendToOtherZones(std::size_t aRelay,
                        const std::vector<RemoteRelay>& aOthers,
                        std::size_t aBytes)
  {
    const Relay& relay = this->relays[aRelay];
    const StatusTargets targets = chooseStatusTargets(relay.address, aOthers);
    const auto direct = std::make_shared<const Message>(
      Message{ aRelay, relay.status, {}, false });
    const auto wanted = std::make_shared<const Message>(
      Message{ aRelay, relay.status, {}, true });
    for (const Address& target : targets.direct) {
      this->send(aRelay, this->indexOf(target), direct, aBytes);
    }
    for (const Address& target : targets.forwarders) {
      this->send(aRelay,
                 this->indexOf(target),
                 wanted,
                 aBytes + packForwardRequest().size());
    }
  }

  void send(std::size_t aFrom,
            std::size_t aTo,
            const MessagePtr& aMessage,
            std::size_t aBytes)
  {
    const std::size_t from = this->relays[aFrom].zone;
    const std::size_t to = this->relays[aTo].zone;
    ++this->traffic.messages;
    this->traffic.bytes += aBytes;
    if (from != to) {
      ++this->traffic.zoneMessages;
      this->traffic.zoneBytes += aBytes;
    }
    if ((from != to && (this->isCut(from) || this->isCut(to))) ||
        this->chance(this->options.loss)) {
      return;
    }
    const int copies = this->chance(this->options.duplicates) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      std::uniform_int_distribution<std::size_t> delay{
        1, this->arriving.size() - 1
      };
      this
        ->arriving[(this->steps + delay(this->random)) % this->arriving.size()]
        .push_back(Arrival{ aTo, aMessage });
    }
  }

  void receive(std::size_t aRelay, const Message& aMessage)
  {
    Relay& relay = this->relays[aRelay];
    if (relay.down) {
      return;
    }
    this->apply(relay, aMessage.sender, aMessage.status, this->now);
    if (aMessage.wanted) {
      relay.queue.push(
        this->relays[aMessage.sender].address, aMessage.status, this->now);
    }
    for (const ReceivedForward& row : aMessage.rows) {
      relay.queue.onForwarded(row.sender, row.status);
      const std::size_t sender = this->indexOf(row.sender);
      const Known& known = relay.known[sender];
      if (isNewer(known.echo, this->now - known.receivedAt, row.status)) {
        this->apply(relay, sender, row.status, this->now - row.age);
      }
    }
  }

  void apply(Relay& aRelay,
             std::size_t aSender,
             const PeerStatus& aStatus,
             TimePoint aReceivedAt)
  {
    aRelay.known[aSender] =
      Known{ { aStatus.incarnation, aStatus.sentAt },
             aReceivedAt,
             aStatus.retries.empty() ? 0 : aStatus.retries[0].requests };
  }

  SpreadOptions options;
  std::mt19937 random;
  /** Datagrams under way, by the step at which they arrive. */
  std::vector<std::vector<Arrival>> arriving;
  std::vector<Relay> relays;
  std::map<std::size_t, bool> cutZones;
  TimePoint now{ std::chrono::hours{ 1 } };
  std::size_t steps = 0;
};

} // namespace poplartrack::relaytest
