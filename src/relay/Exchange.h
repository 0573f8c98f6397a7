#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "MessageParser.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/LayerPath.h"
#include "poplartrack/fleet/RelayConfig.h"
#include "poplartrack/relay/EventSplitter.h"
#include "poplartrack/retry/Fingerprint.h"

namespace poplartrack {

/** Tokens that a request names, and what it is expected to need. */
struct TokenNeed
{
  double prompt = 0;
  double answer = 0;
};

/** One request of a caller, from its last byte to the end of its answer. */
struct Exchange
{
  std::uint64_t id = 0;
  std::uint64_t caller = 0;
  MessageHead head;
  std::string body;
  std::string requestId;
  /** What it asks for, once somebody wanted to know; see contentOf. */
  std::optional<Fingerprint> content;
  /** Keeps route and account alive. */
  std::shared_ptr<const RelayConfig> config;
  const RelayRoute* route = nullptr;
  const RelayAccount* account = nullptr;
  /** Sent only while the configuration is known to be fresh. */
  bool keyed = false;
  const RelayService* service = nullptr;
  TimePoint arrived{};
  /** How long the caller will wait, from its arrival, if it says so. */
  std::optional<Duration> deadline;
  /** The caller's deadline or the route's timeout, whichever is first. */
  TimePoint giveUpAt{};
  TokenNeed need;

  /** Connection of the present attempt; 0: none. */
  std::uint64_t connection = 0;
  std::string replica;
  LayerPath path;
  double reservedTokens = 0;
  bool loadRecorded = false;
  /** Its prompt is booked as being read. */
  bool prefillRecorded = false;
  /** Replicas that may have run it, without the present attempt. */
  int runs = 0;
  /** Attempts sent, also those that were refused. */
  int sends = 0;
  /** Replicas that refused or failed it already. */
  std::set<std::string> avoid;
  TimePoint sentAt{};
  /** When the first event of the present attempt came. */
  std::optional<TimePoint> runningSince;
  /** Its next attempt is a retry that the budget has not paid for yet. */
  bool needsRetryBudget = false;
  /** Waits for a path or for the retry budget since then. */
  std::optional<TimePoint> waitingSince;

  /** Requests a second to which the present attempt's replica limits all
   * relays, as its answer says. */
  std::optional<double> reportedLimit;

  /** The head of the answer went to the caller. */
  bool answering = false;
  bool streaming = false;
  EventSplitter splitter;
  /** Last event that went to the caller. */
  std::optional<std::uint64_t> lastEvent;
  std::uint32_t events = 0;
  TimePoint lastProgress{};
  Duration longestPause{ 0 };
  /** Progress is overdue and the cause is being asked for. */
  bool overdue = false;
  TimePoint overdueHandledAt{};
  std::uint32_t repairs = 0;
  /** When it was last ordered onto another path; until it moves again. */
  std::optional<TimePoint> repairedAt;
  Duration firstEvent{ 0 };
};

} // namespace poplartrack
