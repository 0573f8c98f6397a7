#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <vector>

#include "poplartrack/fleet/AccountCapacity.h"

namespace poplartrack::fleettest {

/** Relays that start requests of accounts in rounds, share one capacity and
 * exchange their rows, in simulated time. */
class AccountWorld
{
public:
  static constexpr Duration kRound = std::chrono::milliseconds{ 25 };
  static constexpr Duration kInterval = std::chrono::milliseconds{ 200 };
  static constexpr Duration kMaxWait = std::chrono::milliseconds{ 1'200 };
  static constexpr std::size_t kMaxRows = 32;

  struct Request
  {
    std::size_t relay = 0;
    std::uint64_t account = 0;
    double tokens = 0;
    TimePoint since{};
    bool beyond = false;
    bool waited = false;
  };
  struct Message
  {
    std::size_t from = 0;
    std::size_t to = 0;
    TimePoint sentAt{};
    TimePoint arrivesAt{};
    std::vector<AccountUse> rows;
  };

  explicit AccountWorld(std::size_t aRelays)
    : accounts(aRelays)
    , queues(aRelays)
  {
  }

  void arrive(std::size_t aRelay, std::uint64_t aAccount, double aTokens)
  {
    std::deque<Request>& queue = this->queues[aRelay];
    queue.push_back({ aRelay, aAccount, aTokens, this->now });
    if (this->learns && queue.size() == 1) {
      this->serve(aRelay);
    }
    if (!queue.empty()) {
      queue.back().waited = true;
      this->accounts[aRelay].addWaiting("m", aAccount, aTokens);
    }
  }

  /** Ends requests, delivers and sends rows, refuses what has waited for too
   * long and starts what may start. */
  void round()
  {
    this->now += kRound;
    std::erase_if(this->running, [this](const Request& aRequest) {
      const bool ends = this->now - aRequest.since >= this->runTime;
      if (ends) {
        this->inUse -= aRequest.tokens;
        this->accounts[aRequest.relay].removeUse(
          "m", aRequest.account, aRequest.tokens);
        this->onEnd(aRequest);
      }
      return ends;
    });
    std::erase_if(this->messages, [this](const Message& aMessage) {
      const bool arrives = aMessage.arrivesAt <= this->now;
      if (arrives) {
        this->accounts[aMessage.to].onPeer(
          std::to_string(aMessage.from), aMessage.rows, this->now);
        this->onDelivered(aMessage);
      }
      return arrives;
    });
    const std::size_t relays = this->accounts.size();
    const std::size_t first = this->random() % relays;
    for (std::size_t i = first; i < first + relays; ++i) {
      const std::size_t relay = i % relays;
      this->accounts[relay].expire(this->now);
      this->send(relay);
      this->serve(relay);
    }
  }

  std::vector<AccountCapacity> accounts;
  std::vector<std::deque<Request>> queues;
  std::vector<Request> running;
  std::vector<Message> messages;
  std::mt19937 random{ 20261204 };
  TimePoint now{ std::chrono::seconds{ 100 } };
  double capacity = 0;
  double inUse = 0;
  bool shares = true;
  /** Relays start requests on arrival if they can, and learn what is usual. */
  bool learns = false;
  Duration runTime = std::chrono::seconds{ 3 };
  /** Returns the delay of a message; negative: it is lost. */
  std::function<Duration()> delay = [] { return Duration{ 1'000 }; };
  std::function<void(const Request&, const AccountShare&)> onStart =
    [](const Request&, const AccountShare&) {};
  std::function<void(const Request&)> onEnd = [](const Request&) {};
  std::function<void(const Message&)> onDelivered = [](const Message&) {};

private:
  void send(std::size_t aRelay)
  {
    const Duration phase = kRound * static_cast<int>(aRelay);
    if ((this->now.time_since_epoch() + phase) % kInterval != Duration{ 0 }) {
      return;
    }
    const auto rows = this->accounts[aRelay].rows(kMaxRows, this->now);
    for (std::size_t to = 0; to < this->accounts.size(); ++to) {
      const Duration delayed = this->delay();
      if (to != aRelay && delayed >= Duration{ 0 }) {
        this->messages.push_back(
          { aRelay, to, this->now, this->now + delayed, rows });
      }
    }
  }

  void serve(std::size_t aRelay)
  {
    AccountCapacity& own = this->accounts[aRelay];
    std::deque<Request>& queue = this->queues[aRelay];
    std::erase_if(queue, [&](const Request& aRequest) {
      const bool ends = this->now - aRequest.since >= kMaxWait;
      if (ends) {
        own.removeWaiting("m", aRequest.account, aRequest.tokens);
        own.onRefused("m", aRequest.account, this->now);
      }
      return ends;
    });
    std::stable_sort(queue.begin(),
                     queue.end(),
                     [](const Request& aLeft, const Request& aRight) {
                       return aLeft.beyond < aRight.beyond;
                     });
    std::erase_if(queue, [&](Request& aRequest) {
      const AccountShare share =
        this->shares ? own.accountShareOf("m", aRequest.account, this->now)
                     : AccountShare{};
      aRequest.beyond = !share.within;
      const bool fits = this->inUse + aRequest.tokens <= this->capacity;
      if (aRequest.beyond && (!own.mayProbe("m", this->now) ||
                              !own.onProbe("m", fits, this->now))) {
        return false;
      }
      if (!fits) {
        return false;
      }
      if (aRequest.waited) {
        own.removeWaiting("m", aRequest.account, aRequest.tokens);
      } else {
        own.onAccepted("m", aRequest.account, aRequest.tokens, this->now);
      }
      own.addUse("m", aRequest.account, aRequest.tokens);
      this->inUse += aRequest.tokens;
      aRequest.since = this->now;
      this->running.push_back(aRequest);
      this->onStart(aRequest, share);
      return true;
    });
  }
};

} // namespace poplartrack::fleettest
