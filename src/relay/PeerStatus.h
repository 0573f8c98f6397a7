#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "poplartrack/retry/Fingerprint.h"

namespace poplartrack {

/** Version of the datagrams below; another one is ignored. */
constexpr std::uint32_t kPeerFormat = 12;

/** One replica's load in a datagram. */
struct LoadRow
{
  std::string replica;
  std::uint32_t requests = 0;
  std::uint32_t tokenLayers = 0;
  std::uint32_t prefillTokens = 0;
  std::uint32_t pathStarts = 0;
  MSGPACK_DEFINE(replica, requests, tokenLayers, prefillTokens, pathStarts);
};

/** What the sender has sent between two availability zones, in kB. */
struct LinkRow
{
  std::string one;
  std::string other;
  std::uint64_t kilobytes = 0;
  MSGPACK_DEFINE(one, other, kilobytes);
};

/** What the sender counted for a service's retry budget. */
struct RetryRow
{
  std::string service;
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;
  MSGPACK_DEFINE(service, requests, retries);
};

/** A replica that ended under a request. */
struct CrashRow
{
  Fingerprint request;
  std::string replica;
  bool early = false;
  MSGPACK_DEFINE(request, replica, early);
};

/** A request that is sent to no replica. */
struct QuarantineRow
{
  Fingerprint request;
  /** How long it has been so, in microseconds. */
  std::int64_t age = 0;
  MSGPACK_DEFINE(request, age);
};

/** What a replica's latest answer to the sender said of its limit. */
struct LimitRow
{
  std::string replica;
  /** Requests a second from all relays; negative: it limits them no more. */
  double perSecond = -1;
  /** How long ago, in microseconds. */
  std::int64_t age = 0;
  MSGPACK_DEFINE(replica, perSecond, age);
};

/** The latest word of the addressed relay that the sender has. It follows the
 * word in the datagram: all else is the same for everybody. With the echoes for
 * all in each word, words would grow with the relays. */
struct PeerEcho
{
  /** The addressed relay's life; 0: not heard yet. */
  std::uint64_t incarnation = 0;
  /** When it sent that word, on its own clock, in microseconds. */
  std::int64_t sentAt = 0;
  MSGPACK_DEFINE(incarnation, sentAt);
};

/** What a relay tells the others. */
struct PeerStatus
{
  std::uint32_t format = kPeerFormat;
  /** Names one life of the sender's process: a machine that takes over its
   * address has another clock. */
  std::uint64_t incarnation = 0;
  /** The sender's availability zone. */
  std::string zone;
  std::vector<LoadRow> loads;
  /** Replicas that another replica named as what its work waits for. */
  std::vector<std::string> lost;
  /** Replicas that leave or have left, as the sender's list says. */
  std::vector<std::string> draining;
  /** Replicas that the sender itself cannot reach. */
  std::vector<std::string> unreachable;
  /** Replicas that are slow, with how slow. */
  std::map<std::string, double> slow;
  /** When it was sent, on the sender's clock, in microseconds. */
  std::int64_t sentAt = 0;
  std::uint64_t config = 0;
  /** How long ago the sender's configuration was known to be the newest, in
   * microseconds; negative: never. */
  std::int64_t configAge = -1;
  /** Latest change of the replicas' list that the sender has. */
  std::uint64_t list = 0;
  /** The sender looks at the store, and whether its latest look failed. */
  bool polls = false;
  bool pollsFail = false;
  /** The sender holds the placement lease. */
  bool holdsLease = false;
  /** What it counted over the window of the retry budgets. */
  std::vector<RetryRow> retries;
  /** What it sent between zones since its start. */
  std::vector<LinkRow> links;
  /** Fencing number of the placement lease that it held and gave up; 0: none.
   */
  std::uint64_t releasedFence = 0;
  /** Replicas that ended under requests lately, as far as the sender knows. */
  std::vector<CrashRow> crashes;
  /** All requests that are sent to no replica. */
  std::vector<QuarantineRow> quarantine;
  /** Requests that a replica ran to a good end lately, and that replicas had
   * ended under before. */
  std::vector<Fingerprint> served;
  /** Replicas that limit what they take, or have done so until lately. */
  std::vector<LimitRow> limits;
  MSGPACK_DEFINE(format,
                 incarnation,
                 zone,
                 loads,
                 lost,
                 draining,
                 unreachable,
                 slow,
                 sentAt,
                 config,
                 configAge,
                 list,
                 polls,
                 pollsFail,
                 holdsLease,
                 retries,
                 links,
                 releasedFence,
                 crashes,
                 quarantine,
                 served,
                 limits);
};

} // namespace poplartrack
