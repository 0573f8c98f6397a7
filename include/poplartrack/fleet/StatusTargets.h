#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "poplartrack/base/Address.h"

namespace poplartrack {

/** A relay of another availability zone. */
struct RemoteRelay
{
  Address address;
  std::string zone;
  /** Whether it forwards status messages within its zone on request. */
  bool forwards = false;
};

/** Largest number of forwarding relays of another zone that a status message is
 * sent to directly. */
constexpr std::size_t kMaxDirectPerZone = 8;

/** Forwarders in each zone with more forwarding relays. Two, so that the loss
 * of one costs nothing. */
constexpr std::size_t kForwardersPerZone = 2;

/** The relays of other zones that a status message is sent to. */
struct StatusTargets
{
  std::vector<Address> direct;
  /** They are asked to forward it to the other relays of their zone. */
  std::vector<Address> forwarders;
};

/**
 * Chooses the relays of other zones that a relay sends its status to. If each
 * relay sent to each other one, the messages between zones would grow with the
 * square of the fleet; with forwarders they grow with the number of relays
 * times the number of zones. Forwarders are chosen by rendezvous hashing:
 * without an agreement each relay of a zone forwards for about as many senders
 * as the others, and the choice of a sender changes only when one of its
 * forwarders comes or goes. Relays that do not forward are sent to directly.
 *
 * @param aOwn the address of this relay
 * @param aRelays the known relays of all other zones, in any order
 */
StatusTargets
chooseStatusTargets(const Address& aOwn, std::span<const RemoteRelay> aRelays);

} // namespace poplartrack
