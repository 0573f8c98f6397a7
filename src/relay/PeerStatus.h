#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "poplartrack/retry/Fingerprint.h"

namespace poplartrack {

/** Format version of PeerStatus; datagrams of other versions are ignored. */
constexpr std::uint32_t kPeerStatusFormat = 13;

/** Format version of a PeerStatus without load tables: crashes, served, loads,
 * links, accounts, demand and returns are empty, and the receiver keeps those
 * of the message before. It differs from every kPeerStatusFormat. */
constexpr std::uint32_t kPeerNoticeFormat = 2'001;

/** The sender's own work in flight at one replica; see ReplicaLoad. */
struct LoadRow
{
  std::string replica;
  std::uint32_t requests = 0;
  std::uint32_t tokenLayers = 0;
  std::uint32_t prefillTokens = 0;
  std::uint32_t pathStarts = 0;
  /** Of the requests, those that run none of the layers that are announced for
   * release there. 0 from a sender that does not know the announcement. */
  std::uint32_t outsideRelease = 0;
  MSGPACK_DEFINE(replica,
                 requests,
                 tokenLayers,
                 prefillTokens,
                 pathStarts,
                 outsideRelease);
};

constexpr std::uint64_t kBytesPerKilobyte = 1'000;

/** Kilobytes that the sender has sent between two availability zones since its
 * start. */
struct LinkRow
{
  std::string firstZone;
  std::string secondZone;
  std::uint64_t kilobytes = 0;
  MSGPACK_DEFINE(firstZone, secondZone, kilobytes);
};

/** The sender's own counts for the retry budget of a service, over the window
 * of the budget. */
struct RetryRow
{
  std::string service;
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;
  MSGPACK_DEFINE(service, requests, retries);
};

/** A replica crashed while it had a request; see CrashReport. */
struct CrashRow
{
  Fingerprint suspect;
  std::string replica;
  /** The replica had not begun to run the request, or only just. */
  bool early = false;
  /** The suspect is a prompt part, and accountPart is set. */
  bool isPart = false;
  Fingerprint accountPart{};
  bool familiar = false;
  /** How long ago the request broke off, in microseconds. */
  std::int64_t age = 0;
  MSGPACK_DEFINE(suspect, replica, early, isPart, accountPart, familiar, age);
};

/** A suspect in quarantine: relays send requests with it to no replica. */
struct QuarantineRow
{
  Fingerprint suspect;
  /** How long it has been quarantined, in microseconds. */
  std::int64_t age = 0;
  /** A SuspectKind. */
  std::uint8_t kind = 0;
  /** Of a prompt part: the part, whoever sends it. */
  Fingerprint part{};
  /** Trial runs that the sender knows of. */
  std::uint32_t trials = 0;
  MSGPACK_DEFINE(suspect, age, kind, part, trials);
};

/** The rate limit that a replica's latest answer to the sender reported. */
struct LimitRow
{
  std::string replica;
  /** Requests a second from all relays together; negative: no limit any
   * more. */
  double perSecond = -1;
  /** Age of that answer, in microseconds. */
  std::int64_t age = 0;
  MSGPACK_DEFINE(replica, perSecond, age);
};

/** Most rows of one kind below that a status message holds. */
constexpr std::size_t kMaxAccountRows = 32;
constexpr std::size_t kMaxDemandRows = 16;
constexpr std::size_t kMaxReturnRows = 64;
constexpr std::size_t kMaxReleaseRows = 8;
constexpr std::size_t kMaxEjectedRows = 16;

/** What one client account has at the sender of a model service that is short
 * of capacity. */
struct AccountRow
{
  std::string service;
  /** See accountHash(); 0: all accounts without a row of their own. */
  std::uint64_t account = 0;
  /** Tokens that its requests in flight reserve. */
  std::uint32_t inUse = 0;
  /** Tokens that its waiting requests need. */
  std::uint32_t waiting = 0;
  /** Tokens a second that it usually asks of the sender, rounded to two digits;
   * see UsualUse. 0 without history, for account 0, and from a sender that does
   * not know the field. */
  std::uint32_t usual = 0;
  MSGPACK_DEFINE(service, account, inUse, waiting, usual);
};

/** What the callers of the sender have asked of a model service lately, with
 * one urgency. */
struct DemandRow
{
  std::string service;
  /** Tokens a second, of prompts and of answers, rounded to two digits. */
  std::uint32_t promptTokens = 0;
  std::uint32_t answerTokens = 0;
  /** Thousandths of a request a second, rounded to two digits; 0 from an older
   * sender, whose rows are not divided by urgency either. */
  std::uint32_t requests = 0;
  /** From 0, the most urgent, to 9. */
  std::uint8_t urgency = 0;
  MSGPACK_DEFINE(service, promptTokens, answerTokens, requests, urgency);
};

/** A rejected caller that was told when to return. */
struct ReturnRow
{
  /** Lower half of the content's fingerprint. */
  std::uint32_t content = 0;
  /** Time until it returns, in ms; 0 if it is due already. */
  std::uint32_t dueMs = 0;
  /** See serviceHash(). */
  std::uint16_t service = 0;
  MSGPACK_DEFINE(content, dueMs, service);
};

/** The layers [from, to) that the holder of the placement lease will take from
 * a replica. New paths do not use them there. */
struct ReleaseRow
{
  std::string replica;
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  MSGPACK_DEFINE(replica, from, to);
};

/** Identifies the latest status message that the sender has received from the
 * addressee. It follows the PeerStatus in the datagram. The PeerStatus is the
 * same for every addressee; if it held the echoes for all of them, its size
 * would grow with the number of relays. */
struct PeerEcho
{
  /** The addressee's incarnation; 0 if it is not a known peer yet. */
  std::uint64_t incarnation = 0;
  /** When the addressee sent that message, on the addressee's clock, in
   * microseconds. */
  std::int64_t sentAt = 0;
  /** How long the sender has had that message, in microseconds; negative from a
   * sender that does not know the field. */
  std::int64_t heldFor = -1;
  MSGPACK_DEFINE(incarnation, sentAt, heldFor);
};

/** The status message of a relay. It reaches every other relay: directly, or
 * forwarded by a relay of the receiver's zone. */
struct PeerStatus
{
  /** kPeerStatusFormat or kPeerNoticeFormat. */
  std::uint32_t format = kPeerStatusFormat;
  /** Random number of this incarnation of the sender's process. An instance
   * that takes over its address has another clock. */
  std::uint64_t incarnation = 0;
  /** The sender's availability zone. */
  std::string zone;
  /** The sender's work in flight, by replica. */
  std::vector<LoadRow> loads;
  /** Replicas that are certainly lost: another replica reported that its work
   * is blocked on them, or their endpoint has restarted. */
  std::vector<std::string> lost;
  /** Replicas that are draining or were removed lately, according to the
   * sender's list. */
  std::vector<std::string> draining;
  /** Replicas that the sender cannot reach. The sender may be the one that is
   * cut off. */
  std::vector<std::string> unreachable;
  /** Degraded replicas with their slowdown: how many times longer than declared
   * their work takes. */
  std::map<std::string, double> slow;
  /** When the message was sent, on the sender's clock, in microseconds. */
  std::int64_t sentAt = 0;
  /** Version of the sender's configuration; 0 if it has none. */
  std::uint64_t config = 0;
  /** Age of the sender's proof that its configuration is the newest, in
   * microseconds; negative if it never had one. */
  std::int64_t configAge = -1;
  /** Version of the latest change in the sender's replica list. */
  std::uint64_t list = 0;
  /** The sender is a store reader. */
  bool polls = false;
  /** The latest poll of the sender failed. */
  bool pollsFail = false;
  /** The sender holds the placement lease. */
  bool holdsLease = false;
  /** Counts for the retry budgets, by service. */
  std::vector<RetryRow> retries;
  /** Kilobytes sent over zone links since the start of the sender. */
  std::vector<LinkRow> links;
  /** Fencing number of the placement lease that the sender held and released; 0
   * if none. */
  std::uint64_t releasedFence = 0;
  /** Recent crashes of replicas under requests, as known to the sender. */
  std::vector<CrashRow> crashes;
  /** The most recently quarantined suspects. */
  std::vector<QuarantineRow> quarantine;
  /** Contents and prompt parts under which replicas had crashed and that have
   * been cleared recently: a replica has completed a request with that content,
   * or begun to answer one with that part. */
  std::vector<Fingerprint> served;
  /** Rate limits of replicas, including those lifted recently. */
  std::vector<LimitRow> limits;
  /** Rate of the network link of the sender's instance, in Mbit/s. */
  std::uint32_t linkMbps = 0;
  /** The sender forwards status messages within its zone on request. */
  bool forwards = false;
  /** Replicas that have announced in an answer that they drain, and whose entry
   * in the sender's list does not say so. */
  std::vector<std::string> announcedDrains;
  /** Use by client account, the largest first; only while a service is short of
   * capacity. */
  std::vector<AccountRow> accounts;
  /** By service and urgency, those with the most tokens first. */
  std::vector<DemandRow> demand;
  /** Returns that were booked within the last second, the newest first. */
  std::vector<ReturnRow> returns;
  /** Announced releases; empty unless the sender holds the placement lease. */
  std::vector<ReleaseRow> releases;
  /** Replicas that the sender has ejected because requests that began there
   * failed. */
  std::vector<std::string> ejected;
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
                 limits,
                 linkMbps,
                 forwards,
                 announcedDrains,
                 accounts,
                 demand,
                 returns,
                 releases,
                 ejected);
};

/** The status message of a relay of another zone, as forwarded by a relay of
 * the receiver's zone. */
struct ForwardedStatus
{
  /** Address of the relay that sent it first. */
  std::string sender;
  /** How long the forwarder has had it, in microseconds. */
  std::int64_t age = 0;
  PeerStatus status;
  MSGPACK_DEFINE(sender, age, status);
};

/** Follows the PeerEcho in a datagram, if it has anything to say. */
struct ForwardSection
{
  /** The addressee is asked to forward the status message within its zone. */
  bool wanted = false;
  /** Messages that the sender forwards to the addressee. */
  std::vector<ForwardedStatus> rows;
  MSGPACK_DEFINE(wanted, rows);
};

} // namespace poplartrack
