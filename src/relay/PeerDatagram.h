#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "PeerStatus.h"
#include "ReplicaListUpdate.h"
#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/ForwardQueue.h"

namespace poplartrack {

/** Largest status message or replica list update, in bytes. */
constexpr std::size_t kMaxStatusBytes = std::size_t{ 32 } * 1024;

/** Most bytes of forwarded messages in a datagram. */
constexpr std::size_t kMaxForwardedBytes = std::size_t{ 16 } * 1024;

/** Largest status message that another relay is asked to forward, in bytes. It
 * fits into any datagram. */
constexpr std::size_t kMaxForwardableBytes = kMaxForwardedBytes / 2;

/** Largest datagram, in bytes: a status message, the PeerEcho and forwarded
 * messages. */
constexpr std::size_t kMaxDatagramBytes =
  kMaxStatusBytes + kMaxForwardedBytes + 1024;

/** Messages that have waited longer for a forwarder are dropped. */
constexpr Duration kMaxForwardAge = std::chrono::seconds{ 2 };

/** A datagram with a status message. */
struct PeerMessage
{
  PeerStatus status;
  PeerEcho echo;
  ForwardSection forward;
};

/** Returns whether this process knows the format of the message. */
bool
isKnownFormat(const PeerStatus& aStatus);

using PeerDatagram = std::variant<PeerMessage, ReplicaListUpdate>;

/** Parses a datagram of another relay. Returns nullopt if it is incomplete or
 * of another format. */
std::optional<PeerDatagram>
parsePeerDatagram(std::string_view aBytes);

/** A forwarded message, ready to be applied. */
struct ReceivedForward
{
  Address sender;
  Duration age{ 0 };
  PeerStatus status;
};

/** Checks a forwarded message. Returns nullopt if its sender or age is invalid,
 * or if the sender is of the zone of the receiver, which it reaches directly.
 * The ages in the status are those at the time of the receipt: nothing that is
 * forwarded counts as younger than it is. */
std::optional<ReceivedForward>
checkForwarded(ForwardedStatus aRow, std::string_view aZone);

/** A relay that has been silent for this long may have restarted. Two
 * forwarders never keep a message back for longer. */
constexpr Duration kMinRestartSilence = std::chrono::seconds{ 1 };

/**
 * Returns whether a forwarded message is newer than the latest one of its
 * sender. Incarnations have no order. A message of another one is taken as
 * newer only after a silence: otherwise a message that a restarted relay sent
 * before its restart, and that arrives late, would replace the ones after it.
 *
 * @param aKnown of the latest message
 * @param aSilence time since the latest message
 */
bool
isNewer(const PeerEcho& aKnown, Duration aSilence, const PeerStatus& aStatus);

using StatusQueue = ForwardQueue<PeerStatus>;

/** Packs a ForwardSection with the queued messages, those that have waited
 * longest first. What does not fit stays queued; what is too old is dropped.
 * Returns an empty string if there is none. */
std::string
packForwarded(StatusQueue& aQueue, TimePoint aNow);

/** Packs the ForwardSection that asks the addressee to forward the message. */
std::string
packForwardRequest();

} // namespace poplartrack
