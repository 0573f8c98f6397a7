#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace poplartrack {

/** Version of the datagram below; another one is ignored. */
constexpr std::uint32_t kPeerFormat = 5;

/** One replica's load in a datagram. */
struct LoadRow
{
  std::string replica;
  std::uint32_t requests = 0;
  double tokenLayers = 0;
  double readingTokens = 0;
  MSGPACK_DEFINE(replica, requests, tokenLayers, readingTokens);
};

/** What a relay tells the others. */
struct PeerWord
{
  std::uint32_t format = kPeerFormat;
  std::string sender;
  std::vector<LoadRow> loads;
  /** Replicas that another replica named as what its work waits for. */
  std::vector<std::string> lost;
  /** Replicas that the sender itself cannot reach. */
  std::vector<std::string> unreachable;
  /** Replicas that are slow, with how slow. */
  std::map<std::string, double> slow;
  /** When it was sent, on the sender's clock, in microseconds. */
  std::int64_t sentAt = 0;
  /** The latest sentAt that the sender has had of each other relay. */
  std::map<std::string, std::int64_t> heard;
  std::uint64_t config = 0;
  /** How long ago the sender's configuration was known to be the newest, in
   * microseconds; negative: never. */
  std::int64_t configAge = -1;
  /** Latest change of the replicas' list that the sender has. */
  std::uint64_t list = 0;
  /** The sender holds the placement lease. */
  bool leads = false;
  /** What it counted over the window of the retry budget. */
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;
  /** Fencing number of the placement lease that it held and gave up; 0: none.
   */
  std::uint64_t gaveUp = 0;
  MSGPACK_DEFINE(format,
                 sender,
                 loads,
                 lost,
                 unreachable,
                 slow,
                 sentAt,
                 heard,
                 config,
                 configAge,
                 list,
                 leads,
                 requests,
                 retries,
                 gaveUp);
};

} // namespace poplartrack
